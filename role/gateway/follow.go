package gateway

import (
	"context"
	"time"

	"github.com/grademill/grademill/decide/endpoint"
	"github.com/grademill/grademill/decide/freshness"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/state/mirror"
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

// members are the records of the store; only the mirror's goroutine uses them.
type members struct {
	endpoints map[string]endpoint.Endpoint
	usage     map[string]*usage
	// changed is set when the fleet must be made anew.
	changed bool
}

// follow keeps the gateway's view of the store current until ctx ends.
func (g *Gateway) follow(ctx context.Context) {
	g.members = members{endpoints: make(map[string]endpoint.Endpoint), usage: make(map[string]*usage)}
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
		g.forget(id)
		return
	}
	former, known := g.members.endpoints[id]
	if former == e {
		return
	}
	if former.Follows(e) {
		g.Log.Info().Str("endpoint", id).Int64("born", e.Born).Int64("known", former.Born).Uint64("revision", p.Revision).
			Msg("record of a former life of an endpoint is passed over")
		return
	}
	if known && e.Follows(former) {
		g.startedAgain(former, e)
	}
	g.members.endpoints[id] = e
	g.members.changed = true
	g.Log.Info().Str("endpoint", id).Int64("born", e.Born).Str("service", e.Service).Str("address", e.Address).Str("hall", e.Hall).
		Bool("leaving", e.Leaving).Stringer("layers", e.Layers).Str("card", e.Card).
		Uint64("revision", p.Revision).Msg("endpoint changed")
}

// gone takes in that a key has gone.
func (g *Gateway) gone(key string) {
	if key == leaderKey {
		g.led.Store(false)
		g.Log.Info().Msg("nobody gives orders")
		return
	}
	if g.announcer.Gone(key) || g.quarantine.Gone(key, time.Now()) {
		return
	}
	if id, ok := g.Records.EndpointID(key); ok {
		g.forget(id)
	}
}

// forget drops an endpoint that has no record.
func (g *Gateway) forget(id string) {
	e, known := g.members.endpoints[id]
	if !known {
		return
	}
	g.pool.Drop(e.Address)
	g.probes.Forget(e.Address)
	if u := g.members.usage[id]; u != nil && u.down() { // its record has lapsed, too
		g.endedAfterSilence(&backend{Endpoint: e, use: u}, time.Now())
	}
	delete(g.members.endpoints, id)
	delete(g.members.usage, id)
	g.members.changed = true
	g.Log.Info().Str("endpoint", id).Msg("endpoint gone")
}

// startedAgain ends a former life of an endpoint that has started again under its ID: what ran
// there is lost, and nothing that was known or ordered counts for the new life.
func (g *Gateway) startedAgain(former, e endpoint.Endpoint) {
	g.pool.Drop(former.Address)
	g.probes.Forget(former.Address)
	g.Log.Info().Str("endpoint", e.ID).Int64("born", e.Born).Int64("former", former.Born).Msg("endpoint has started again")
	if u := g.members.usage[e.ID]; u != nil {
		delete(g.members.usage, e.ID)
		g.lifeEnded(&backend{Endpoint: former, use: u}, time.Now())
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
	g.members.changed = true // it may name other services
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
	g.Log.Info().Int("endpoints", len(g.members.endpoints)).Dur("proof_age_ms", g.proofAge()).
		Msg("a part of the store has been read")
}

// rebuild makes the fleet anew if endpoints have changed.
func (g *Gateway) rebuild() {
	if g.members.changed {
		g.members.changed = false
		g.fleet.Store(newFleet(g.backends()))
	}
}

// confirm notes that all that had been written at a time is known.
func (g *Gateway) confirm(sent time.Time) {
	g.rebuild()
	if g.failing.Swap(false) || !g.loaded.Load() {
		g.currentSince.Store(time.Now().UnixNano())
	}
	g.proof.Store(max(g.proof.Load(), sent.UnixNano()))
	if g.partition.Asked() {
		g.gossip.News() // those that have lost the store wait for a proof from after that
	}
	if !g.loaded.Swap(true) {
		g.Log.Info().Int("endpoints", len(g.members.endpoints)).Msg("the store has been read")
	}
}

// backends returns the endpoints of the services that the configuration names. Others may have
// the address of one of these.
func (g *Gateway) backends() []*backend {
	c := g.catalog.Load()
	all := make([]*backend, 0, len(g.members.endpoints))
	for id, e := range g.members.endpoints {
		if c != nil && c.Services[e.Service] == nil {
			continue
		}
		if g.members.usage[id] == nil {
			g.members.usage[id] = newUsage()
		}
		all = append(all, &backend{Endpoint: e, use: g.members.usage[id]})
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
