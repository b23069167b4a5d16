// Package member tracks the entries of a fleet. A Set combines the platform's list, which lags
// and has outages, with the messages of the entries themselves.
package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/grademill/grademill/wire"
)

// Set is a set of known entries. The zero Set is empty. It is not safe for concurrent use.
type Set struct {
	// Retention is how long an entry that is not on the platform's list stays known after it
	// was last heard of.
	Retention time.Duration

	state  map[string]*state
	all    []*wire.Peer // sorted by address; replaced, never modified
	shared []*wire.Peer // the members of all that Shared returns
}

// state is what a Set knows of one entry.
type state struct {
	peer   *wire.Peer
	listed bool
	// heardDirectly is whether a message came from the entry itself, and not only a report of
	// it by others.
	heardDirectly bool
	heard         time.Time
}

// ApplyHostList records the platform's list. An empty list carries no information and is
// ignored.
func (s *Set) ApplyHostList(now time.Time, peers []*wire.Peer) {
	if len(peers) == 0 {
		return
	}
	for _, k := range s.state {
		k.listed = false
	}
	for _, p := range peers {
		k := s.add(p)
		k.listed = true
	}
	s.Expire(now)
	s.rebuild()
}

// RecordDirect records a message from an entry itself.
func (s *Set) RecordDirect(now time.Time, p *wire.Peer) {
	k := s.add(p)
	first := !k.heardDirectly
	k.heardDirectly = true
	k.heard = now
	if first {
		s.rebuild()
	}
}

// RecordReported records an entry reported by another one. Shared leaves the entry out until a
// message comes from the entry itself: otherwise two processes could keep a dead entry alive
// by reporting it to each other.
func (s *Set) RecordReported(now time.Time, p *wire.Peer) {
	if _, old := s.state[p.GetAddress()]; old {
		return
	}
	s.add(p).heard = now
	s.rebuild()
}

// Expire removes entries that are not on the list and have not been heard of for longer than
// Retention.
func (s *Set) Expire(now time.Time) {
	changed := false
	for address, k := range s.state {
		if !k.listed && now.Sub(k.heard) > s.Retention {
			delete(s.state, address)
			changed = true
		}
	}
	if changed {
		s.rebuild()
	}
}

// All returns the entries, sorted by address. The caller must not modify the slice.
func (s *Set) All() []*wire.Peer {
	return s.all
}

// Shared returns the entries to report to others, sorted by address: those on the list, and
// those heard directly. The caller must not modify the slice.
func (s *Set) Shared() []*wire.Peer {
	return s.shared
}

func (s *Set) add(p *wire.Peer) *state {
	if s.state == nil {
		s.state = make(map[string]*state)
	}
	k := s.state[p.GetAddress()]
	if k == nil {
		k = new(state)
		s.state[p.GetAddress()] = k
	}
	k.peer = p
	return k
}

// rebuild replaces the slices that All and Shared return.
func (s *Set) rebuild() {
	var all, shared []*wire.Peer
	for _, k := range s.state {
		all = append(all, k.peer)
		if k.listed || k.heardDirectly {
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
