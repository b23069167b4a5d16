// Package member keeps which entries there are: from the platform's list, which
// lags and has outages, and from the entries themselves.
package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/grademill/grademill/wire"
)

// Set is the entries known. The zero Set is empty. It is not safe for
// concurrent use.
type Set struct {
	// Keep is how long an entry counts that is not on the platform's list,
	// since it was last heard.
	Keep time.Duration

	known  map[string]*known
	all    []*wire.Peer // sorted by address; replaced, never changed
	shared []*wire.Peer // the part of all that is passed on
}

type known struct {
	peer   *wire.Peer
	listed bool
	// spoke is whether the entry has spoken itself; others told of it otherwise.
	spoke bool
	heard time.Time
}

// Listed takes in the platform's list. An empty list is no news.
func (s *Set) Listed(now time.Time, peers []*wire.Peer) {
	if len(peers) == 0 {
		return
	}
	for _, k := range s.known {
		k.listed = false
	}
	for _, p := range peers {
		k := s.add(p)
		k.listed = true
	}
	s.Expire(now)
	s.publish()
}

// Heard takes in an entry that has spoken itself.
func (s *Set) Heard(now time.Time, p *wire.Peer) {
	k := s.add(p)
	fresh := !k.spoke
	k.spoke = true
	k.heard = now
	if fresh {
		s.publish()
	}
}

// Told takes in an entry that another has told of. It is not passed on until it
// has spoken itself: two processes cannot keep a dead one alive by telling each
// other of it.
func (s *Set) Told(now time.Time, p *wire.Peer) {
	if _, old := s.known[p.GetAddress()]; old {
		return
	}
	s.add(p).heard = now
	s.publish()
}

// Expire forgets entries that are not on the list and have been silent.
func (s *Set) Expire(now time.Time) {
	changed := false
	for address, k := range s.known {
		if !k.listed && now.Sub(k.heard) > s.Keep {
			delete(s.known, address)
			changed = true
		}
	}
	if changed {
		s.publish()
	}
}

// All returns the entries, sorted by address. The slice must not be changed.
func (s *Set) All() []*wire.Peer {
	return s.all
}

// Shared returns the entries to tell others of: those on the list, and those
// that have spoken themselves. The slice must not be changed.
func (s *Set) Shared() []*wire.Peer {
	return s.shared
}

func (s *Set) add(p *wire.Peer) *known {
	if s.known == nil {
		s.known = make(map[string]*known)
	}
	k := s.known[p.GetAddress()]
	if k == nil {
		k = new(known)
		s.known[p.GetAddress()] = k
	}
	k.peer = p
	return k
}

// publish makes the slices anew.
func (s *Set) publish() {
	var all, shared []*wire.Peer
	for _, k := range s.known {
		all = append(all, k.peer)
		if k.listed || k.spoke {
			shared = append(shared, k.peer)
		}
	}
	s.all = byAddress(all)
	s.shared = byAddress(shared)
}

func byAddress(peers []*wire.Peer) []*wire.Peer {
	slices.SortFunc(peers, func(a, b *wire.Peer) int { return cmp.Compare(a.GetAddress(), b.GetAddress()) })
	return peers
}
