package gateway

import (
	"strings"
	"sync"

	"github.com/grademill/grademill/port/kv"
)

// The keys that gateways write.
const (
	// peerPrefix and a name hold the address of a gateway, under a lease.
	peerPrefix = "grademill/gateways/"
	// giverKey holds the name of the gateway that gives orders, under a lease.
	giverKey = "grademill/giver"
)

// peers are the gateways that have announced themselves.
type peers struct {
	mu sync.Mutex
	// addresses are by name; guarded by mu.
	addresses map[string]string
	// giver is the gateway that gives orders, empty for none; guarded by mu.
	giver string
}

// put takes in a pair of the store, if it is about a gateway.
func (p *peers) put(pair kv.Pair) bool {
	name, ok := strings.CutPrefix(pair.Key, peerPrefix)
	if !ok {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addresses == nil {
		p.addresses = make(map[string]string)
	}
	p.addresses[name] = string(pair.Value)
	return true
}

// gone takes in that a key has gone, if it is about a gateway.
func (p *peers) gone(key string) bool {
	name, ok := strings.CutPrefix(key, peerPrefix)
	if !ok {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.addresses, name)
	return true
}

// assumedPeers is the number of gateways while none is known.
const assumedPeers = 5

// count returns the number of gateways, this one included.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.addresses) == 0 {
		return assumedPeers
	}
	return len(p.addresses)
}

// others returns the addresses of the other gateways.
func (p *peers) others(self string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]string, 0, len(p.addresses))
	for name, address := range p.addresses {
		if name != self {
			list = append(list, address)
		}
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
