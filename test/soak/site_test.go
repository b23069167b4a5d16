package soak_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// Names and sizes used in the configuration.
const (
	host    = "club.example"
	records = "records"
	model   = "assistant"
	files   = "files"
	layers  = 8
)

// backends are the simulated store and endpoints behind the gateways, each endpoint behind a proxied link.
type backends struct {
	t    *testing.T
	site *site.Site
	// slots is the number of requests that an engine runs at once, 0 for the default.
	slots int

	mu sync.Mutex // guards the fields below
	// all holds every endpoint ever started; live holds those in service, with their
	// links.
	all  []*site.Endpoint
	live map[*site.Endpoint]*proxy
	// left holds the times at which endpoints announced their departure or lost their record.
	left map[*site.Endpoint]time.Time
	// crashes holds the times at which the poison request crashed endpoints.
	crashes []time.Time
	// keys are the valid keys; revoked maps the other keys to the times of their revocation, and granted the later keys
	// to those before which no gateway knew them.
	keys    map[string]bool
	granted map[string]time.Time
	revoked map[string]time.Time
	version int
	started int
	// limits are the limits of the configuration, dropped the prefixes of the routes that it lacks, and grown is the
	// number of routes that nobody uses.
	limits               map[string]any
	dropped, everDropped map[string]bool
	grown                int
	// weight is the percentage of the requests of the idempotent route that goes to the service files, which the
	// configuration lacks at 0.
	weight int
	// timeout is that of the routes, and timeouts holds it as of each version.
	timeout  time.Duration
	timeouts []timeoutFrom
}

// timeoutFrom is the time-out of the routes from when a version was written.
type timeoutFrom struct {
	at      time.Time
	timeout time.Duration
}

const (
	// routeTimeout is the usual time-out of the routes, and routeAttempts the number of attempts of those that may be
	// tried again.
	routeTimeout  = 8 * time.Second
	routeAttempts = 2
)

// usualLimits returns the usual limits of the configuration.
func usualLimits() map[string]any {
	return map[string]any{"max_body_bytes": 100000, "idle_timeout_ms": 15000}
}

// newBackends starts a store, three plain endpoints and eight engines in two halls.
// Each engine runs up to slots requests at once, 0 for the default.
func newBackends(t *testing.T, slots int) *backends {
	s, err := site.New(layers)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	b := &backends{
		t: t, site: s, slots: slots, live: make(map[*site.Endpoint]*proxy), left: make(map[*site.Endpoint]time.Time),
		keys: map[string]bool{"k0": true, "k1": true, "k2": true}, granted: make(map[string]time.Time), revoked: make(map[string]time.Time),
		limits: usualLimits(), timeout: routeTimeout, everDropped: make(map[string]bool),
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

// add starts a new endpoint behind a link.
func (b *backends) add(service, hall string) {
	b.mu.Lock()
	b.started++
	e := &site.Endpoint{ID: fmt.Sprintf("e%d", b.started), Started: 1, Service: service, Hall: hall, EventInterval: 15 * time.Millisecond}
	b.mu.Unlock()
	if service == model {
		e.Card, e.Slots = "big", b.slots
	}
	b.enter(e)
}

// enter opens an endpoint, puts a link in front of it and announces it.
func (b *backends) enter(e *site.Endpoint) {
	require.NoError(b.t, b.site.Open(e))
	link, err := newProxy(e.Address())
	require.NoError(b.t, err)
	e.Public = link.address
	b.site.Register(e)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, e)
	b.live[e] = link
}

// pick returns a random live endpoint of a service and its link, or nil when fewer than two are live.
func (b *backends) pick(r *rand.Rand, service string) (*site.Endpoint, *proxy) {
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

// engines returns the live endpoints of the model.
func (b *backends) engines() []*site.Endpoint { return b.ofService(model) }

// ofService returns the live endpoints of a service.
func (b *backends) ofService(service string) []*site.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*site.Endpoint
	for _, e := range b.all {
		if b.live[e] != nil && e.Service == service {
			list = append(list, e)
		}
	}
	return list
}

// crash kills an endpoint without notice; its record expires later, and a new
// endpoint replaces it.
func (b *backends) crash(e *site.Endpoint) {
	e.Silence()
	b.mu.Lock()
	delete(b.live, e)
	b.mu.Unlock()
	time.Sleep(1500 * time.Millisecond)
	b.site.Withdraw(e)
	b.add(e.Service, e.Hall)
}

// restartDelay is how long an endpoint crashed by the poison request stays down.
const restartDelay = time.Second

// restartCrashed makes an endpoint that a poison request crashes restart with the same ID and without state.
func (b *backends) restartCrashed() {
	b.site.BeforeCrash = func(e *site.Endpoint) {
		b.mu.Lock()
		link := b.live[e]
		delete(b.live, e)
		b.crashes = append(b.crashes, time.Now())
		b.mu.Unlock()
		if link != nil { // nil if the endpoint was removed before
			link.refuse()
			time.AfterFunc(restartDelay, func() { b.enter(e.NextIncarnation()) })
		}
	}
}

// lateRecord is the largest delay of a record that was written before the departure and arrives after it.
const lateRecord = 4 * time.Second

// release starts a replacement and then makes an endpoint leave, which goes on serving. If announced is
// set, the endpoint reports its departure itself, and an older record of it arrives after a delay of
// late. Otherwise its record is withdrawn.
func (b *backends) release(e *site.Endpoint, announced bool, late time.Duration) {
	b.add(e.Service, e.Hall)
	time.Sleep(700 * time.Millisecond)
	b.mu.Lock()
	delete(b.live, e)
	b.left[e] = time.Now()
	b.mu.Unlock()
	if announced {
		e.SetSignals(site.Signals{Leaving: true})
		b.site.Leave(e)
		time.AfterFunc(late, func() { b.site.Announce(e) })
	} else {
		b.site.Withdraw(e)
	}
}

// revoke revokes one key and adds a new one, so that a valid key always remains.
func (b *backends) revoke() {
	b.change(func() {
		for key := range b.keys {
			b.revokeKey(key)
			break
		}
		b.grantKey(fmt.Sprintf("k%d", 100+b.version))
	})
}

// revokeTeam removes the team of guests with all its keys if it is there, and else adds it.
func (b *backends) revokeTeam() {
	b.change(func() {
		guests := 0
		for key := range b.keys {
			if strings.HasPrefix(key, guestKey) {
				b.revokeKey(key)
				guests++
			}
		}
		for i := range 3 {
			if guests == 0 {
				b.grantKey(fmt.Sprintf("%s%d-%d", guestKey, b.version, i))
			}
		}
	})
}

// grantKey adds a key to those that are valid; b.mu is held.
func (b *backends) grantKey(key string) {
	b.keys[key], b.granted[key] = true, time.Now()
}

// revokeKey removes a key from those that are valid; b.mu is held.
func (b *backends) revokeKey(key string) {
	delete(b.keys, key)
	b.revoked[key] = time.Now().Add(time.Second) // in the future, so that configure replaces it with the time of its write
}

// change applies a change of the configuration and writes it.
func (b *backends) change(f func()) {
	b.mu.Lock()
	f()
	b.mu.Unlock()
	b.configure()
}

// idleLimit returns the idle limit of the newest configuration.
func (b *backends) idleLimit() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.limits["idle_timeout_ms"].(int)) * time.Millisecond
}

// timeoutAt returns the shortest time-out that a request sent at a time may meet.
func (b *backends) timeoutAt(at time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	shortest := callerDeadline
	for i, t := range b.timeouts {
		replaced := i+1 < len(b.timeouts) && b.timeouts[i+1].at.Add(reconnectBound).Before(at)
		if !replaced && t.at.Before(at) {
			shortest = min(shortest, t.timeout)
		}
	}
	return shortest
}

// guestKey begins the keys of the team that comes and goes.
const guestKey = "g"

// key returns a random valid key, or now and then one that may be revoked.
func (b *backends) key(r *rand.Rand) string {
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

// configure writes the next version of the configuration and records when revoked keys became invalid.
func (b *backends) configure() {
	b.mu.Lock()
	b.version += 2
	var keys, guests []string
	for key := range b.keys {
		if strings.HasPrefix(key, guestKey) {
			guests = append(guests, key)
		} else {
			keys = append(keys, key)
		}
	}
	version, limits, grown, weight, timeout := b.version, maps.Clone(b.limits), b.grown, b.weight, b.timeout
	dropped := maps.Clone(b.dropped)
	for prefix, gone := range dropped {
		b.everDropped[prefix] = b.everDropped[prefix] || gone
	}
	b.timeouts = append(b.timeouts, timeoutFrom{time.Now(), timeout})
	b.mu.Unlock()
	route := func(prefix, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "host": host, "path_prefix": prefix, "kind": kind, "service": service,
			"timeout_ms": timeout.Milliseconds(), "slo_ms": 400, "gap_aim_ms": 200, "attempts": attempts, "resumable": resumable,
		}
	}
	all := []map[string]any{
		route("/renew/", "non_idempotent", records, 1, false), route("/freeze/", "idempotent", records, routeAttempts, false),
		route("/plan/", "streaming", model, routeAttempts, true), route("/once/", "streaming", model, 1, false),
	}
	services := []any{
		map[string]any{"name": records},
		map[string]any{"name": model, "engine": map[string]any{
			"slots": 64, "kv_token_bytes": 80000, "step_ms": 1, "read_per_s": 100000, "layers": layers, "layer_mb": 1000,
			"kinds": []any{map[string]any{"name": "big", "mb": 8000, "pace": 1, "read_x": 1}},
		}},
	}
	if weight > 0 {
		services = append(services, map[string]any{"name": files})
		all[1]["split"] = []any{map[string]any{"service": records, "weight": 100 - weight}, map[string]any{"service": files, "weight": weight}}
	}
	teams := []any{map[string]any{"name": "desk", "api_keys": keys}}
	if guests != nil {
		teams = append(teams, map[string]any{"name": "guests", "api_keys": guests})
	}
	for i := range grown {
		all = append(all, route(fmt.Sprintf("/unused-%d/", i), "idempotent", records, 2, false))
	}
	routes := slices.DeleteFunc(all, func(r map[string]any) bool { return dropped[r["path_prefix"].(string)] })
	b.site.Store.Set("op/config", map[string]any{
		"version":  version,
		"routes":   routes,
		"services": services,
		"limits":   limits,
		"tenants":  teams,
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, at := range b.revoked {
		if at.After(time.Now()) {
			b.revoked[key] = time.Now()
		}
	}
}
