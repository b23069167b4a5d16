// Package gateway is the daemon between callers and endpoints that speak HTTP
// and walk the chain of a model themselves. It chooses where a request goes,
// passes the answer on as it comes, and carries a stream over to another chain
// when one breaks.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/grademill/grademill/adapter/hostclock"
	"github.com/grademill/grademill/adapter/probe"
	"github.com/grademill/grademill/adapter/upstream"
	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/endpoint"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/port/exchange"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/port/runner"
	"github.com/grademill/grademill/role/admission"
	"github.com/grademill/grademill/role/announcer"
	"github.com/grademill/grademill/role/gossip"
	"github.com/grademill/grademill/role/membership"
	"github.com/grademill/grademill/role/partition"
	"github.com/grademill/grademill/role/quarantine"
	"github.com/grademill/grademill/role/throttling"
	"github.com/grademill/grademill/state/budgets"
	"github.com/grademill/grademill/state/lines"
	"github.com/grademill/grademill/state/peers"
	"github.com/grademill/grademill/state/turnstile"
	"github.com/grademill/grademill/state/watchcache"
)

// Records decodes what others keep in the store.
type Records struct {
	// Catalog is the key of the configuration.
	Catalog string
	// DecodeCatalog decodes the configuration.
	DecodeCatalog func([]byte) (*catalog.Catalog, error)
	// EndpointID returns the endpoint that a key is the record of.
	EndpointID func(key string) (string, bool)
	// DecodeEndpoint decodes the record of an endpoint.
	DecodeEndpoint func(id string, text []byte) (endpoint.Endpoint, error)
}

// Store is what a gateway needs of the store.
type Store interface {
	kv.Feed
	announcer.Store
	// Grant makes a lease that lapses unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// KeepAlive renews a lease, or returns a kv.NotFoundError when it lapsed.
	KeepAlive(ctx context.Context, lease string) error
	// Revoke ends a lease; its keys go with it.
	Revoke(ctx context.Context, lease string) error
}

// Gateway is one gateway. Set the exported fields before Run.
type Gateway struct {
	// Name is unique in the fleet, Hall is its data hall.
	Name, Hall string
	// Address is where other gateways reach it: digests by UDP, questions for changes of
	// the store by TCP.
	Address string
	// FlatFleet is the size of a fleet up to which every gateway tells every other one all
	// and asks the store itself, 0 for overlay.FlatSize.
	FlatFleet int
	// LinkRate is what the host's link carries, in bytes a second, 0 when it is not
	// known: what gateways tell each other has a bounded part of it.
	LinkRate float64
	// Store holds the configuration, the records of endpoints and what gateways
	// must agree on. Records decodes what others write there.
	Store   Store
	Records Records
	// Dialect translates headers, Runners gives orders to endpoints.
	Dialect exchange.Dialect
	Runners runner.Control
	// Revocation is how soon a key that was taken away must not work anywhere:
	// requests with a key are served only while the configuration is known to
	// have been current less than that ago, with a margin.
	Revocation time.Duration
	// RetryShare, RetryReserve and RetryWindow bound what all gateways together
	// send again to a service.
	RetryShare   float64
	RetryReserve int
	RetryWindow  time.Duration
	Log          zerolog.Logger
	// Clock reads the clock by which proofs age: it goes on while the host is suspended. Nil
	// for that of the host.
	Clock func() time.Time
	// Silence returns why a question to an endpoint is given up: see probe.Prober.
	Silence func(answered <-chan struct{}) error
	// Meter counts what is done.
	Meter Meter

	catalog atomic.Pointer[catalog.Catalog]
	fleet   atomic.Pointer[fleet]
	// proof is when the question was sent whose answer showed the newest
	// configuration, in nanoseconds by Clock.
	proof   atomic.Int64
	started time.Time
	// read is set once the store has been read as it was at some time, loaded once as it was at a
	// time that is known.
	read     atomic.Bool
	loaded   atomic.Bool
	draining atomic.Bool
	// failing is set while calls of the store fail, partition tells whether they do for this
	// gateway alone.
	failing   atomic.Bool
	partition partition.Detector
	// refreshed ends the rest between two questions for changes.
	refreshed chan struct{}
	// running counts the requests in flight; it is closed before the process
	// ends.
	running turnstile.Turnstile
	pool    upstream.Pool
	peers   peers.Table
	gossip  gossip.Gossip
	// quarantine are the requests that are kept from endpoints.
	quarantine quarantine.Quarantine
	// throttling heeds what endpoints say of the requests that they take.
	throttling throttling.Throttling
	// announcer keeps this gateway in the store.
	announcer announcer.Announcer
	// feed is where the store's changes come from, cache what others may ask of them.
	feed   watchcache.Feed
	cache  watchcache.Cache
	probes probe.Prober
	lines  lines.Lines

	// leading is set while this gateway gives orders, led while the store says that
	// any does.
	leading, led atomic.Bool
	// directedAt is when the gateway that gives orders was last heard of, and leaderNear
	// when it was by itself, in nanoseconds of Unix time.
	directedAt, leaderNear atomic.Int64
	// currentSince is when the store was first read, or read again after it did not
	// answer, in nanoseconds of Unix time.
	currentSince atomic.Int64
	// line is where requests of models wait for room.
	line admission.Line[*seat]

	// retries are this gateway's part of what may be sent again.
	retries budgets.Budgets
	// membership keeps the endpoints, members their usages.
	membership membership.Membership
	members    members
}

// noProof is the age of the proof of a gateway that has none yet: beyond all bounds.
const noProof = time.Hour

// Run follows the store until ctx ends. The handler serves meanwhile.
func (g *Gateway) Run(ctx context.Context) {
	g.started = time.Now()
	if g.Clock == nil {
		g.Clock = hostclock.Now
	}
	g.cache.Now = g.Clock
	g.proof.Store(g.Clock().Add(-noProof).UnixNano())
	g.retries.Share, g.retries.Reserve, g.retries.Window = g.RetryShare, g.RetryReserve, g.RetryWindow
	g.retries.Size = g.peers.Size
	g.fleet.Store(new(fleet))
	g.initMembership()
	g.initPartition()
	g.peers.Counter = g.counter
	g.probes.Control, g.probes.Silence, g.probes.Reference = g.Runners, g.Silence, g.reference
	g.initGossip()
	g.initThrottling()
	g.initQuarantine()
	g.initFeed()
	g.pool.Opened = g.Meter.Connection
	var group sync.WaitGroup
	group.Go(func() { g.follow(ctx) })
	group.Go(func() { g.serveChanges(ctx) })
	group.Go(func() { g.pool.Run(ctx) })
	group.Go(func() { g.lead(ctx) })
	group.Go(func() { g.announcer.Run(ctx) })
	group.Go(func() { g.gossip.Run(ctx) })
	group.Go(func() { g.quarantine.Run(ctx) })
	group.Go(func() { g.revive(ctx) })
	group.Go(func() { g.survey(ctx) })
	group.Go(func() { g.line.Run(ctx) })
	group.Wait()
}

// The units of links.
const (
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// initGossip sets up the exchange of digests, and how the others find this gateway.
func (g *Gateway) initGossip() {
	self := overlay.Member{Name: g.Name, Address: g.Address, Hall: g.Hall, LinkMegabits: uint32(g.LinkRate * bitsPerByte / bitsPerMegabit)}
	g.announcer = announcer.Announcer{
		Self: self, Store: g.Store, Peers: &g.peers, Overlay: g.gossip.Overlay,
		Ready: &g.read, Ending: &g.draining, Log: g.Log,
	}
	g.gossip = gossip.Gossip{
		Self: self, Incarnation: uint64(g.started.UnixNano()), Local: g, Peers: &g.peers, LinkRate: g.LinkRate, FlatUpTo: g.FlatFleet,
		Sent: g.Meter.Digest, Log: g.Log,
	}
	g.gossip.Init()
}

// counter returns where the shares of the other gateways at an endpoint are summed.
func (g *Gateway) counter(endpoint string) peers.Counter {
	if b := g.fleet.Load().byID[endpoint]; b != nil {
		return b.use
	}
	return nil
}

// Ready reports whether the gateway can serve: it knows the configuration, has
// proof that it is current, and is not about to stop. It stops being ready some
// time before it has to refuse requests, so that callers are led elsewhere.
func (g *Gateway) Ready() bool {
	return g.loaded.Load() && !g.draining.Load() && !g.partition.Alone() && g.catalog.Load() != nil &&
		g.policy().Ready(g.proofAge())
}

// Drain makes the gateway not ready, and has it give up the right to give orders.
func (g *Gateway) Drain() {
	g.draining.Store(true)
}

// CallerLimits returns what the configuration lets callers do. Callers of a gateway
// that alone has lost the store should make new connections.
func (g *Gateway) CallerLimits() catalog.Limits {
	c := g.catalog.Load()
	if c == nil {
		return catalog.Limits{}
	}
	limits := c.Limits
	if g.partition.Alone() {
		limits.IdleTimeout = restPartitioned
	}
	return limits
}

// Running returns the number of requests in flight.
func (g *Gateway) Running() int {
	return g.running.Count()
}

// Close refuses further requests if none is in flight, and reports whether it
// has. With force it does so in any case.
func (g *Gateway) Close(force bool) bool {
	return g.running.Close(force)
}

// ReadyHandler answers 200 while the gateway is ready.
func (g *Gateway) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
