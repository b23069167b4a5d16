package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/decide/endpoint"
	"github.com/grademill/grademill/decide/freshness"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/state/mirror"
	"github.com/grademill/grademill/state/roster"
)

// The figures of following the store.
const (
	// changesSettle takes changes that come together in one answer; it is small
	// beside the seconds in which a change must be in force.
	changesSettle = 600 * time.Millisecond
	// lapseGrace is how long after an outage of the store a record that lapsed
	// may be missing: endpoints that live are back within two seconds.
	lapseGrace = 2200 * time.Millisecond
)

// members are the endpoints that the store names.
type members struct {
	roster roster.Roster
	// reconfigured is set when a configuration has come that may name other services.
	reconfigured atomic.Bool

	mu    sync.Mutex // guards usage, and that one fleet is made at a time
	usage map[string]*usage
}

// takeUsage forgets the usage of an endpoint and returns it, nil for none.
func (m *members) takeUsage(id string) *usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.usage[id]
	delete(m.usage, id)
	return u
}

// follow keeps the gateway's view of the store current until ctx ends.
func (g *Gateway) follow(ctx context.Context) {
	g.members.usage = make(map[string]*usage)
	m := mirror.Mirror{
		Feed: &g.feed, Wait: g.policy().Wait(), Settle: min(changesSettle, g.policy().Wait()), Grace: lapseGrace,
		Now: g.Clock, Refresh: g.refreshed, Put: g.put, Gone: g.gone, Partial: g.partial, Confirm: g.confirm, Log: g.Log,
		Lost: func(err error) {
			g.failing.Store(true)
			g.gossip.News() // so that the others find out whether they have lost it, too
			g.Log.Warn().Err(err).Dur("proof_age_ms", g.proofAge()).Msg("the store does not answer")
		},
	}
	m.Run(ctx)
}

// put takes in a pair of the store.
func (g *Gateway) put(p kv.Pair) {
	if p.Key == g.Records.Catalog {
		g.configure(p)
		return
	}
	if p.Key == leaderKey {
		g.led.Store(true)
		return
	}
	if g.announcer.Put(p) || g.quarantine.Put(p, time.Now()) {
		return
	}
	id, ok := g.Records.EndpointID(p.Key)
	if !ok {
		return
	}
	e, err := g.Records.DecodeEndpoint(id, p.Value)
	if err != nil {
		g.Log.Warn().Str("endpoint", id).Err(err).Uint64("revision", p.Revision).Msg("record not understood, it names no endpoint")
		if r, known := g.members.roster.Drop(id); known {
			g.forget(r)
		}
		return
	}
	change, former := g.members.roster.Put(roster.Record{Endpoint: e, Revision: p.Revision, Since: time.Now()})
	switch change {
	case roster.Same:
		return
	case roster.Outlived:
		g.Log.Info().Str("endpoint", id).Int64("born", e.Born).Int64("known", former.Born).Uint64("revision", p.Revision).
			Msg("record of a former life of an endpoint is passed over")
		return
	case roster.Restarted:
		g.startedAgain(former, e)
	}
	g.Log.Info().Str("endpoint", id).Int64("born", e.Born).Str("service", e.Service).Str("address", e.Address).Str("hall", e.Hall).
		Bool("leaving", e.Leaving).Stringer("layers", e.Layers).Str("card", e.Card).
		Uint64("revision", p.Revision).Uint64("former_revision", former.Revision).Msg("endpoint changed")
	if left := g.members.roster.Departed(id); !e.Leaving && left.Covers(e, p.Revision) {
		g.Log.Warn().Str("endpoint", id).Int64("born", e.Born).Uint64("revision", p.Revision).Uint64("left_revision", left.Revision).
			Bool("announced", left.Announced).Msg("record of an endpoint that has left says otherwise, it gets no new work")
	}
}

// gone takes in that a key has gone.
func (g *Gateway) gone(key string, revision uint64) {
	if key == leaderKey {
		g.led.Store(false)
		g.Log.Info().Msg("nobody gives orders")
		return
	}
	if g.announcer.Gone(key) || g.quarantine.Gone(key, time.Now()) {
		return
	}
	if id, ok := g.Records.EndpointID(key); ok {
		if r, known := g.members.roster.Remove(id, revision, time.Now()); known {
			g.forget(r)
		}
	}
}

// forget drops all that is known of an endpoint that has no record any more.
func (g *Gateway) forget(r roster.Record) {
	e := r.Endpoint
	g.pool.Drop(e.Address)
	g.probes.Forget(e.Address)
	if u := g.members.takeUsage(e.ID); u != nil && u.down() { // its record has lapsed, too
		g.endedAfterSilence(&backend{Record: r, use: u}, time.Now())
	}
	g.Log.Info().Bool("leaving", e.Leaving).Uint64("former_revision", r.Revision).Dur("record_age_ms", time.Since(r.Since)).
		Str("endpoint", e.ID).Msg("endpoint gone")
}

// startedAgain ends a former life of an endpoint that has started again under its ID: what ran
// there is lost, and nothing that was known or ordered counts for the new life.
func (g *Gateway) startedAgain(former roster.Record, e endpoint.Endpoint) {
	g.pool.Drop(former.Address)
	g.probes.Forget(former.Address)
	g.Log.Info().Str("endpoint", e.ID).Int64("born", e.Born).Int64("former", former.Born).Msg("endpoint has started again")
	if u := g.members.takeUsage(e.ID); u != nil {
		g.lifeEnded(&backend{Record: former, use: u}, time.Now())
	}
}

// configure puts a configuration in force, unless a later one is.
func (g *Gateway) configure(p kv.Pair) {
	c, err := g.Records.DecodeCatalog(p.Value)
	if err != nil {
		g.Log.Error().Err(err).Uint64("revision", p.Revision).Msg("configuration not understood, the former one stays in force")
		return
	}
	if now := g.catalog.Load(); now != nil && c.Version <= now.Version {
		return
	}
	g.catalog.Store(c)
	g.members.reconfigured.Store(true)
	g.Log.Info().Uint64("version", c.Version).Uint64("revision", p.Revision).Msg("configuration is in force")
}

// partial notes that a part of what had been written at a time is known: the gateway is not
// ready yet, but who comes to it may be served. Where all gateways start at once callers have
// nowhere else to go.
func (g *Gateway) partial(sent time.Time) {
	g.rebuild()
	if g.catalog.Load() == nil {
		return
	}
	g.proof.Store(max(g.proof.Load(), sent.UnixNano()))
	g.Log.Info().Int("endpoints", g.members.roster.Size()).Dur("proof_age_ms", g.proofAge()).
		Msg("a part of the store has been read")
}

// rebuild makes the fleet anew if endpoints have changed.
func (g *Gateway) rebuild() {
	g.members.mu.Lock()
	defer g.members.mu.Unlock()
	changed, reconfigured := g.members.roster.TakeChanged(), g.members.reconfigured.Swap(false)
	if !changed && !reconfigured {
		return
	}
	f := newFleet(g.backends())
	g.fleet.Store(f)
	g.Meter.Fleet(f.size())
}

// confirm notes that all that had been written at a time is known.
func (g *Gateway) confirm(sent time.Time) {
	g.rebuild()
	g.Meter.Store(g.cache.At())
	if g.failing.Swap(false) || !g.loaded.Load() {
		g.currentSince.Store(time.Now().UnixNano())
	}
	g.proof.Store(max(g.proof.Load(), sent.UnixNano()))
	if g.partition.Asked() {
		g.gossip.News() // those that have lost the store wait for a proof from after that
	}
	if !g.loaded.Swap(true) {
		g.Log.Info().Int("endpoints", g.members.roster.Size()).Msg("the store has been read")
	}
}

// backends returns the endpoints of the services that the configuration names. Others may have
// the address of one of these. The lock of the members is held.
func (g *Gateway) backends() []*backend {
	c := g.catalog.Load()
	records := g.members.roster.Records()
	all := make([]*backend, 0, len(records))
	for _, r := range records {
		if c != nil && c.Services[r.Service] == nil {
			continue
		}
		if g.members.usage[r.ID] == nil {
			g.members.usage[r.ID] = newUsage()
		}
		all = append(all, &backend{Record: r, use: g.members.usage[r.ID]})
	}
	return all
}

// proofAge returns how long ago the configuration in force was certainly the
// newest. The time for which the host was suspended counts.
func (g *Gateway) proofAge() time.Duration {
	return time.Duration(g.Clock().UnixNano() - g.proof.Load())
}

// policy returns what the age of the proof allows.
func (g *Gateway) policy() freshness.Policy {
	return freshness.Policy{Revocation: g.Revocation}
}

// fresh reports whether requests with a key may be served by the proof that a request met.
func (g *Gateway) fresh(q *query) bool {
	return g.policy().Serves(q.proofAge)
}
