// Package gateway is the daemon that routes requests of callers to HTTP endpoints. It chooses the
// endpoint of a plain service or the chain of endpoints that run a model, passes the answer on as
// it arrives, and resumes a stream on another chain when its chain breaks.
//
// Set the exported fields of a Gateway, start Run, and serve callers with ServeHTTP.
package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/grademill/grademill/adapter/contain"
	"github.com/grademill/grademill/adapter/hostclock"
	"github.com/grademill/grademill/adapter/probe"
	"github.com/grademill/grademill/adapter/upstream"
	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/endpoint"
	"github.com/grademill/grademill/decide/grace"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/decide/placement"
	"github.com/grademill/grademill/port/exchange"
	"github.com/grademill/grademill/port/runner"
	"github.com/grademill/grademill/role/admission"
	"github.com/grademill/grademill/role/announcer"
	"github.com/grademill/grademill/role/gossip"
	"github.com/grademill/grademill/role/leader"
	"github.com/grademill/grademill/role/membership"
	"github.com/grademill/grademill/role/overload"
	"github.com/grademill/grademill/role/partition"
	"github.com/grademill/grademill/role/quarantine"
	"github.com/grademill/grademill/role/throttling"
	"github.com/grademill/grademill/state/cell"
	"github.com/grademill/grademill/state/inflight"
	"github.com/grademill/grademill/state/linklimit"
	"github.com/grademill/grademill/state/peers"
	"github.com/grademill/grademill/state/proof"
	"github.com/grademill/grademill/state/retrybudgets"
	"github.com/grademill/grademill/state/watchcache"
)

// Decoders decodes the entries that other components write to the store.
type Decoders struct {
	// Catalog is the key under which the store holds the catalog, the configuration of gateways.
	Catalog string
	// DecodeCatalog decodes the configuration.
	DecodeCatalog func([]byte) (*catalog.Catalog, error)
	// EndpointID returns the ID of the endpoint whose record a key holds.
	EndpointID func(key string) (string, bool)
	// DecodeEndpoint decodes the record of an endpoint.
	DecodeEndpoint func(id string, text []byte) (endpoint.Endpoint, error)
}

// Store is the part of the store's interface that a gateway uses.
type Store interface {
	watchcache.Store
	announcer.Store
	leader.Store
}

// Gateway serves requests of callers. Set the exported fields before Run.
type Gateway struct {
	// Name is unique in the fleet, Hall is the gateway's data hall.
	Name, Hall string
	// Address is where other gateways reach this one: by UDP for digests, by TCP for requests for
	// changes of the store.
	Address string
	// FlatFleet is the size of a fleet up to which every gateway sends its digests to every other
	// one and asks the store itself, 0 for overlay.FlatSize.
	FlatFleet int
	// LinkRate is the capacity of the host's link in bytes per second, 0 when unknown. The traffic
	// between gateways uses a bounded share of it.
	LinkRate float64
	// Store holds the configuration, the records of endpoints and the state on which gateways must
	// agree. Decoders decodes the entries that others write there.
	Store    Store
	Decoders Decoders
	// Dialect translates headers, Runners gives orders to endpoints.
	Dialect exchange.Dialect
	Runners runner.Control
	// Revocation is the time after which a revoked key must not work anywhere: requests with a key
	// are served only while the configuration is known to have been current less than that ago,
	// with a margin.
	Revocation time.Duration
	// RetryShare, RetryReserve and RetryWindow bound the retries that all gateways together send to
	// a service.
	RetryShare   float64
	RetryReserve int
	RetryWindow  time.Duration
	// FirstStart is set if the whole fleet starts for the first time, so that no former process of
	// this host can have sent retries.
	FirstStart bool
	// StopTimeout is how long a gateway may go on sending after it has begun to stop.
	StopTimeout time.Duration
	// EvenRoom is that of placement.Planner.
	EvenRoom bool
	// Overload configures what the gateway does while a model service is short of room.
	Overload Overload
	Log      zerolog.Logger
	// Clock reads the clock that measures the age of freshness proofs: it continues while the host
	// is suspended. Nil means the clock of the host.
	Clock func() time.Time
	// AwaitAnswer waits for the answer of an endpoint to a check. It returns nil once answered is
	// closed, or else the reason to give up. Nil means the default of package probe.
	AwaitAnswer func(answered <-chan struct{}) error
	// Meter counts the gateway's operations.
	Meter Meter

	catalog atomic.Pointer[catalog.Catalog]
	fleet   atomic.Pointer[fleet]
	// proof is the freshness proof of the configuration: when the question was sent whose answer
	// showed that it is the newest, by Clock.
	proof   proof.Proof
	started time.Time
	// read is set once the whole store has been read, even in a state that may be outdated; loaded
	// once everything written to it up to a known time has been read.
	read     atomic.Bool
	loaded   atomic.Bool
	draining atomic.Bool
	// stop is the planned stop, zero as long as there is none.
	stop cell.Cell[grace.Stop]
	// failing is set while calls to the store fail, partition detects whether they fail for this
	// gateway alone.
	failing   atomic.Bool
	partition partition.Detector
	// refreshed ends the pause between two requests for changes.
	refreshed chan struct{}
	// running counts the requests in flight; it is closed before the process ends.
	running inflight.Counter
	pool    upstream.Pool
	peers   peers.Table
	gossip  gossip.Gossip
	// quarantine keeps requests that may crash endpoints from being sent.
	quarantine quarantine.Quarantine
	// throttling follows the limits and backoff periods that endpoints ask for.
	throttling throttling.Throttling
	// announcer keeps the announcement of this gateway in the store.
	announcer announcer.Announcer
	// feed is the source of the store's changes, cache holds those that others may ask for.
	feed      watchcache.Feed
	cache     watchcache.Cache
	probes    probe.Prober
	linklimit linklimit.LinkLimiter

	// leader gives orders while this gateway holds the right to; hasLeaderKey is set while the store
	// holds the key of any leader.
	leader       leader.Leader
	hasLeaderKey atomic.Bool
	// leaderHeardAt is when the gateway that gives orders was last heard of, and leaderDirectAt
	// when a digest of its own last said so, in nanoseconds of Unix time.
	leaderHeardAt, leaderDirectAt atomic.Int64
	// currentSince is when the store was first read, or read again after an outage, in nanoseconds
	// of Unix time.
	currentSince atomic.Int64
	// queue is where requests of models wait for room.
	queue admission.Queue[*reservation]

	// faults keeps a fault in the search for a chain from ending the process.
	faults contain.Guard
	// planMoves replaces placement.Planner.Plan in tests; nil otherwise.
	planMoves func(*catalog.Model, []placement.Card) []placement.Move
	// overload decides which requests are admitted while the fleet is short of room.
	overload overload.Control
	// retries is this gateway's share of the retry budget.
	retries retrybudgets.Budgets
	// membership tracks the endpoints, members their usages.
	membership membership.Membership
	members    members
}

// Run follows the store until ctx ends. ServeHTTP may be called meanwhile.
func (g *Gateway) Run(ctx context.Context) {
	g.started = time.Now()
	if g.Clock == nil {
		g.Clock = hostclock.Now
	}
	g.cache.Now = g.Clock
	g.retries.Share, g.retries.Reserve, g.retries.Window = g.RetryShare, g.RetryReserve, g.RetryWindow
	g.retries.Size = func() int { return g.peers.KnownSize(!g.failing.Load()) }
	g.retries.Overlap = g.StopTimeout
	if !g.FirstStart {
		g.retries.Start = g.Clock()
	}
	g.fleet.Store(new(fleet))
	g.faults.Log, g.faults.Count = g.Log, g.Meter.Fault
	g.initMembership()
	g.initPartition()
	g.peers.Counter = g.counter
	g.probes.Control, g.probes.AwaitAnswer, g.probes.Reference = g.Runners, g.AwaitAnswer, g.reference
	g.initGossip()
	g.initThrottling()
	g.initQuarantine()
	g.initFeed()
	g.initOverload()
	g.initLeader()
	g.pool.OnDial = g.Meter.Connection
	var group sync.WaitGroup
	group.Go(func() { g.follow(ctx) })
	group.Go(func() { g.serveChanges(ctx) })
	group.Go(func() { g.pool.Run(ctx) })
	group.Go(func() { g.leader.Run(ctx) })
	group.Go(func() { g.announcer.Run(ctx) })
	group.Go(func() { g.gossip.Run(ctx) })
	group.Go(func() { g.quarantine.Run(ctx) })
	group.Go(func() { g.revive(ctx) })
	group.Go(func() { g.survey(ctx) })
	group.Go(func() { g.queue.Run(ctx) })
	group.Wait()
}

// Units of link rates.
const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// initGossip sets up the exchange of digests, and the announcement of this gateway.
func (g *Gateway) initGossip() {
	self := overlay.Member{Name: g.Name, Address: g.Address, Hall: g.Hall, LinkMegabits: uint32(g.LinkRate * bitsPerByte / bitsPerMegabit)}
	g.announcer = announcer.Announcer{
		Self: self, Store: g.Store, Peers: &g.peers, Overlay: g.gossip.Overlay,
		Ready: &g.read, Ending: &g.draining, Log: g.Log,
	}
	g.gossip = gossip.Gossip{
		Self: self, Incarnation: uint64(g.started.UnixNano()), Local: g, Peers: &g.peers, LinkRate: g.LinkRate, FlatFleetSize: g.FlatFleet,
		Sent: g.Meter.Digest, Log: g.Log,
	}
	g.gossip.Init()
}

// counter returns the usage that sums the shares of the other gateways at an endpoint.
func (g *Gateway) counter(endpoint string) peers.Counter {
	if b := g.fleet.Load().ByID[endpoint]; b != nil {
		return b.use
	}
	return nil
}

// Ready reports whether the gateway can serve: it knows the configuration, has a freshness proof
// for it, and is not about to stop. It stops being ready some time before it has to refuse
// requests, so that callers are directed elsewhere.
func (g *Gateway) Ready() bool {
	return g.loaded.Load() && !g.draining.Load() && !g.partition.Alone() && g.catalog.Load() != nil &&
		g.policy().Ready(g.proofAge())
}

// Drain makes the gateway not ready before a stop, and has it give up the right to give orders.
func (g *Gateway) Drain(s grace.Stop) {
	g.stop.Update(func(grace.Stop) grace.Stop { return s })
	g.draining.Store(true)
}

// CallerLimits returns the limits of the configuration for callers. Callers of a gateway that alone
// has lost the store should open new connections, so their idle timeout is short.
func (g *Gateway) CallerLimits() catalog.Limits {
	c := g.catalog.Load()
	if c == nil {
		return catalog.Limits{}
	}
	limits := c.Limits
	if g.partition.Alone() {
		limits.IdleTimeout = idleTimeoutPartitioned
	}
	return limits
}

// Running returns the number of requests in flight.
func (g *Gateway) Running() int { return g.running.Count() }

// Close makes the gateway refuse all further requests, unless one is in flight and force is not
// set. It reports whether it has done so.
func (g *Gateway) Close(force bool) bool {
	return g.running.Close(force)
}
