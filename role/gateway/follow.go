package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/grademill/grademill/decide/freshness"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/role/leader"
	"github.com/grademill/grademill/state/mirror"
)

// Timing of following the store.
const (
	// changesSettle is the time for which changes are batched into one answer; it is small compared
	// with the seconds within which a change must be in force.
	changesSettle = 600 * time.Millisecond
	// lapseGrace is how long after an outage of the store a lapsed record may be missing: live
	// endpoints write theirs again within two seconds.
	lapseGrace = 2200 * time.Millisecond
	// gatherPause is how long a gateway that knows no other one waits for the gateways that start
	// at the same time to announce themselves; those of a whole fleet do within 0.3 s. gatherReads
	// is how many times it reads the store, whose pages may be stale, to find them before it asks
	// the store for changes itself.
	gatherPause = 400 * time.Millisecond
	gatherReads = 4
)

// follow keeps the gateway's view of the store current until ctx ends.
func (g *Gateway) follow(ctx context.Context) {
	m := mirror.Mirror{
		Feed: &g.feed, WatchTimeout: g.policy().WatchTimeout(), MinInterval: min(changesSettle, g.policy().WatchTimeout()), Grace: lapseGrace,
		Now: g.Clock, Refresh: g.refreshed, Put: g.put, Removed: g.gone, Applied: g.rebuild, ConfirmPartial: g.partial, Unhurried: g.fleetStarting, Unproven: g.unproven, Confirm: g.confirm,
		Log: g.Log,
		StoreFailed: func(err error) {
			g.failing.Store(true)
			g.gossip.SendSoon() // so that the others check whether they have lost it too
			g.Log.Warn().Err(err).Dur("proof_age_ms", g.proofAge()).Msg("the store does not answer")
		},
	}
	m.Run(ctx)
}

// put handles a key-value pair of the store.
func (g *Gateway) put(p kv.Pair) {
	if p.Key == g.Decoders.Catalog {
		g.configure(p)
		return
	}
	if p.Key == leader.Key {
		g.hasLeaderKey.Store(true)
		return
	}
	if g.announcer.Put(p) || g.quarantine.Put(p, time.Now()) {
		return
	}
	g.membership.Put(p)
}

// gone handles the removal of a key.
func (g *Gateway) gone(key string, revision uint64) {
	if key == leader.Key {
		g.hasLeaderKey.Store(false)
		g.Log.Info().Msg("nobody gives orders")
		return
	}
	if g.announcer.Removed(key, revision) || g.quarantine.Removed(key, revision, time.Now()) {
		return
	}
	g.membership.Removed(key, revision)
}

// configure puts a configuration in force, unless a later one already is.
func (g *Gateway) configure(p kv.Pair) {
	c, err := g.Decoders.DecodeCatalog(p.Value)
	g.proof.Withhold(err != nil) // it may take away a key
	if err != nil {
		g.Log.Error().Err(err).Uint64("revision", p.Revision).Msg("configuration not understood, the previous one stays in force without a new proof")
		return
	}
	current := g.catalog.Load()
	if current != nil && c.Version <= current.Version {
		return
	}
	g.catalog.Store(c)
	g.members.reconfigured.Store(true)
	g.Meter.Keys(c.Keys.Len(), c.Keys.Required())
	level := zerolog.InfoLevel
	if current != nil && current.Keys.Len() > 0 && c.Keys.Len() == 0 { // from now on nobody or anyone is served
		level = zerolog.WarnLevel
	}
	g.Log.WithLevel(level).Uint64("version", c.Version).Uint64("revision", p.Revision).
		Int("keys", c.Keys.Len()).Bool("keys_required", c.Keys.Required()).Msg("configuration is in force")
}

// partial records that the keys of the store up to last are known as of the given time. The gateway
// is not ready yet, but serves callers that come to it once the configuration is among these keys:
// when all gateways start at once, callers have nowhere else to go.
func (g *Gateway) partial(sent time.Time, last string) {
	g.rebuild()
	if g.catalog.Load() == nil || last < g.Decoders.Catalog {
		return
	}
	g.proof.Confirm(sent)
	open, left := g.membership.Roster.Size()
	g.Log.Info().Int("endpoints", open+left).Dur("proof_age_ms", g.proofAge()).
		Msg("a part of the store has been read")
}

// fleetStarting reports whether no gateway is announced, not even a former incarnation of this one:
// then the fleet is starting, and has no callers yet.
func (g *Gateway) fleetStarting() bool {
	return g.announcer.Known() == 0
}

// unproven records that the store has been read, in a possibly outdated state, readings times. It
// returns how long to pause and whether to read again: while no other gateway is known, the store
// is read up to gatherReads times. After that the changes since are requested, from another gateway
// if one is known.
func (g *Gateway) unproven(readings int) (pause time.Duration, again bool) {
	g.read.Store(true)
	if len(g.peers.Members(g.Name)) == 0 {
		return gatherPause, readings < gatherReads
	}
	return 0, false
}

// confirm records that everything written to the store up to the given time is known.
func (g *Gateway) confirm(sent time.Time) {
	g.rebuild()
	g.Meter.Store(g.cache.At())
	g.read.Store(true)
	if g.failing.Swap(false) || !g.loaded.Load() {
		g.currentSince.Store(time.Now().UnixNano())
	}
	stale := !g.policy().MayServe(g.proofAge())
	if g.proof.Confirm(sent); stale {
		g.Log.Info().Uint64("revision", g.cache.At()).Dur("proof_age_ms", g.proofAge()).Msg("configuration is known to be current again")
	}
	if g.partition.PeersAsking() {
		g.gossip.SendSoon() // gateways that have lost the store wait for a proof from after that
	}
	if !g.loaded.Swap(true) {
		open, left := g.membership.Roster.Size()
		g.Log.Info().Int("endpoints", open+left).Msg("the store has been read")
	}
}

// proofAge returns the age of the freshness proof: how long ago the configuration in force was
// certainly the newest. It includes the time for which the host was suspended.
func (g *Gateway) proofAge() time.Duration { return g.proof.Age(g.Clock()) }

// policy returns what a gateway may do at a given age of the freshness proof.
func (g *Gateway) policy() freshness.Policy { return freshness.Policy{Revocation: g.Revocation} }

// fresh reports whether requests with a key may be served at the proof age of this request.
func (g *Gateway) fresh(q *query) bool { return g.policy().MayServe(q.proofAge) }
