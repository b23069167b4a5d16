package gateway

import (
	"strings"
	"sync"
	"time"

	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/wire/gossip"
)

// The keys that gateways write.
const (
	// peerPrefix, a name and an incarnation hold the address of a gateway, under
	// a lease.
	peerPrefix = "grademill/gateways/"
	// giverKey holds the name of the gateway that gives orders, under a lease.
	giverKey = "grademill/giver"
)

// peers are the other gateways, by what the store and they themselves say.
type peers struct {
	mu sync.Mutex // guards what follows
	// announced are the addresses in the store, by key.
	announced map[string]string
	// known are the gateways that were heard of lately, by name.
	known map[string]*peer
	// giver is the gateway that gives orders, empty for none.
	giver string
}

// peer is a gateway that was heard of.
type peer struct {
	address     string
	incarnation uint64
	number      uint64
	at          time.Time
	hall        string
	// proven is when its configuration was certainly current; zero while the store
	// does not answer it.
	proven time.Time
	shares map[*usage]share
}

// share is what one gateway has at an endpoint.
type share struct {
	active, held, reading int64
}

// put takes in a pair of the store, if it is about a gateway.
func (p *peers) put(pair kv.Pair) bool {
	if !strings.HasPrefix(pair.Key, peerPrefix) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.announced == nil {
		p.announced = make(map[string]string)
	}
	p.announced[pair.Key] = string(pair.Value)
	return true
}

// gone takes in that a key has gone, if it is about a gateway.
func (p *peers) gone(key string) bool {
	if !strings.HasPrefix(key, peerPrefix) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.announced, key)
	return true
}

// heard takes in a digest, unless a newer one of that gateway has come.
func (p *peers) heard(d *gossip.Digest, from string, shares map[*usage]share, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known == nil {
		p.known = make(map[string]*peer)
	}
	old := p.known[d.GetGateway()]
	if old != nil && (d.GetIncarnation() < old.incarnation ||
		d.GetIncarnation() == old.incarnation && d.GetNumber() <= old.number) {
		return
	}
	old.count(-1)
	next := &peer{
		address: from, incarnation: d.GetIncarnation(), number: d.GetNumber(), at: now, hall: d.GetHall(), shares: shares,
	}
	if d.GetProven() {
		next.proven = now.Add(-time.Duration(d.GetProofAgeMillis()) * time.Millisecond)
	}
	next.count(1)
	p.known[d.GetGateway()] = next
}

// count adds the shares of a gateway to the endpoints, sign times.
func (p *peer) count(sign int64) {
	if p == nil {
		return
	}
	for use, s := range p.shares {
		use.othersActive.Add(sign * s.active)
		use.othersHeld.Add(sign * s.held)
		use.othersReading.Add(sign * s.reading)
	}
}

// expire forgets the gateways that have been silent for a time.
func (p *peers) expire(now time.Time, silence time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, one := range p.known {
		if now.Sub(one.at) > silence {
			one.count(-1)
			delete(p.known, name)
		}
	}
}

// current reports whether another gateway is in touch with the store at now, by
// the age of its proof, and whether one in a hall is.
func (p *peers) current(now time.Time, hall string, late func(age time.Duration) bool) (anywhere, near bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.known {
		if one.proven.IsZero() || late(now.Sub(one.proven)) {
			continue
		}
		anywhere = true
		near = near || one.hall == hall
	}
	return anywhere, near
}

// alone reports whether no other gateway has been heard of lately.
func (p *peers) alone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known) == 0
}

// allHeard reports whether every other gateway that is announced has been heard of
// lately.
func (p *peers) allHeard(self string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.announced {
		name, _, _ := strings.Cut(strings.TrimPrefix(key, peerPrefix), "/")
		if name != self && p.known[name] == nil {
			return false
		}
	}
	return true
}

// assumedPeers is the number of gateways while none is known.
const assumedPeers = 5

// count returns the number of gateways, this one included.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := max(len(p.announced), len(p.known)+1)
	if n == 1 {
		return assumedPeers
	}
	return n
}

// others returns the addresses of the other gateways, announced or heard.
func (p *peers) others(self string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := make(map[string]bool)
	var list []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			list = append(list, address)
		}
	}
	for key, address := range p.announced {
		if !strings.HasPrefix(key, peerPrefix+self+"/") {
			add(address)
		}
	}
	for _, one := range p.known {
		add(one.address)
	}
	return list
}

// setGiver notes which gateway gives orders, empty for none.
func (p *peers) setGiver(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.giver = name
}

// giverHeld reports whether a gateway gives orders.
func (p *peers) giverHeld() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.giver != ""
}
