package soak_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// The names of the configuration.
const (
	host    = "club.example"
	records = "records"
	model   = "assistant"
	layers  = 8
)

// backs are the stand-ins behind the gateways, each behind a link.
type backs struct {
	t    *testing.T
	site *site.Site
	// slots is the number of requests that a card takes at once, 0 for the usual.
	slots int

	mu sync.Mutex // guards what follows
	// all are the endpoints that ever were, live those that were not ended, with
	// their links.
	all  []*site.Endpoint
	live map[*site.Endpoint]*proxy
	// left are the times at which endpoints said that they leave.
	left map[*site.Endpoint]time.Time
	// endings are the times at which endpoints ended under a request.
	endings []time.Time
	// keys are in force; revoked are the times at which the others were not.
	keys    map[string]bool
	revoked map[string]time.Time
	version int
	started int
}

// newBacks starts a store, three plain endpoints and eight cards in two halls, each of
// which takes so many requests at once, 0 for the usual number.
func newBacks(t *testing.T, slots int) *backs {
	s, err := site.New(layers)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	b := &backs{
		t: t, site: s, slots: slots, live: make(map[*site.Endpoint]*proxy), left: make(map[*site.Endpoint]time.Time),
		keys: map[string]bool{"k0": true, "k1": true, "k2": true}, revoked: make(map[string]time.Time),
	}
	b.configure()
	for range 3 {
		b.add(records, "north")
	}
	for range 4 {
		b.add(model, "north")
	}
	for range 4 {
		b.add(model, "south")
	}
	return b
}

// add starts an endpoint behind a link.
func (b *backs) add(service, hall string) {
	b.mu.Lock()
	b.started++
	e := &site.Endpoint{ID: fmt.Sprintf("e%d", b.started), Born: 1, Service: service, Hall: hall, EventEvery: 15 * time.Millisecond}
	b.mu.Unlock()
	if service == model {
		e.Card, e.Slots = "big", b.slots
	}
	b.enter(e)
}

// enter announces an endpoint behind a link.
func (b *backs) enter(e *site.Endpoint) {
	require.NoError(b.t, b.site.Open(e))
	link, err := newProxy(e.Address())
	require.NoError(b.t, err)
	e.Public = link.address
	b.site.Enter(e)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, e)
	b.live[e] = link
}

// pick returns a live endpoint of a service, nil when only one is left.
func (b *backs) pick(r *rand.Rand, service string) (*site.Endpoint, *proxy) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*site.Endpoint
	for _, e := range b.all {
		if b.live[e] != nil && e.Service == service {
			list = append(list, e)
		}
	}
	if len(list) < 2 {
		return nil, nil
	}
	e := list[r.IntN(len(list))]
	return e, b.live[e]
}

// crash ends an endpoint without a word; its record lapses later, and another
// takes its place.
func (b *backs) crash(e *site.Endpoint) {
	e.Kill()
	b.mu.Lock()
	delete(b.live, e)
	b.mu.Unlock()
	time.Sleep(1500 * time.Millisecond)
	b.site.Withdraw(e)
	b.add(e.Service, e.Hall)
}

// doomed is the time after which an endpoint that a request has ended is back.
const doomed = time.Second

// doom has a request with a body end each endpoint that begins to run it: it comes back under
// its ID, and knows nothing.
func (b *backs) doom(body string) {
	b.site.Ending = func(e *site.Endpoint) {
		b.mu.Lock()
		link := b.live[e]
		delete(b.live, e)
		b.endings = append(b.endings, time.Now())
		b.mu.Unlock()
		if link != nil { // else it was taken away
			link.refuse()
			time.AfterFunc(doomed, func() { b.enter(e.Next()) })
		}
	}
	b.site.Doom(body)
}

// lateRecord is by how much a record that an endpoint wrote before it said that it leaves may come after it.
const lateRecord = 4 * time.Second

// release replaces an endpoint: the new one comes first, the old one leaves. It goes on serving. One that
// says that it leaves has written a record before that comes late.
func (b *backs) release(e *site.Endpoint, says bool, late time.Duration) {
	b.add(e.Service, e.Hall)
	time.Sleep(700 * time.Millisecond)
	b.mu.Lock()
	delete(b.live, e)
	b.left[e] = time.Now()
	b.mu.Unlock()
	if says {
		e.Say(site.Says{Leaving: true})
		b.site.Leave(e)
		time.AfterFunc(late, func() { b.site.Announce(e) })
	} else {
		b.site.Withdraw(e)
	}
}

// revoke takes a key away, but never the last one, and gives another.
func (b *backs) revoke() {
	b.mu.Lock()
	for key := range b.keys {
		delete(b.keys, key)
		b.revoked[key] = time.Now().Add(time.Second) // until it is written below
		break
	}
	b.keys[fmt.Sprintf("k%d", 100+b.version)] = true
	b.mu.Unlock()
	b.configure()
}

// key returns any key that was ever in force.
func (b *backs) key(r *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []string
	for key := range b.keys {
		list = append(list, key)
	}
	if r.IntN(5) == 0 {
		for key := range b.revoked {
			list = append(list, key)
		}
	}
	return list[r.IntN(len(list))]
}

// configure writes the next version of the configuration.
func (b *backs) configure() {
	b.mu.Lock()
	b.version += 2
	var keys []string
	for key := range b.keys {
		keys = append(keys, key)
	}
	version := b.version
	b.mu.Unlock()
	route := func(prefix, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "host": host, "path_prefix": prefix, "kind": kind, "service": service,
			"timeout_ms": 8000, "slo_ms": 400, "gap_aim_ms": 200, "attempts": attempts, "resumable": resumable,
		}
	}
	b.site.Store.Set("op/config", map[string]any{
		"version": version,
		"routes": []any{
			route("/renew/", "non_idempotent", records, 1, false), route("/freeze/", "idempotent", records, 2, false),
			route("/plan/", "streaming", model, 2, true), route("/once/", "streaming", model, 1, false),
		},
		"services": []any{
			map[string]any{"name": records},
			map[string]any{"name": model, "engine": map[string]any{
				"slots": 64, "kv_token_bytes": 80000, "step_ms": 1, "read_per_s": 100000, "layers": layers, "layer_mb": 1000,
				"kinds": []any{map[string]any{"name": "big", "mb": 8000, "pace": 1, "read_x": 1}},
			}},
		},
		"limits":  map[string]any{"max_body_bytes": 100000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "desk", "api_keys": keys}},
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, at := range b.revoked {
		if at.After(time.Now()) {
			b.revoked[key] = time.Now()
		}
	}
}
