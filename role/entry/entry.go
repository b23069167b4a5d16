// Package entry implements the entry, the process between callers and agents. It admits requests,
// chooses a chain of endpoints for each, owns each request until its final answer, and accepts the
// operators' changes of the configuration.
//
// Set the exported fields of [Entry], then call Prepare and Run. Callers are served through the
// methods of [router.Router].
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/grademill/grademill/adapter/link"
	"github.com/grademill/grademill/adapter/listen"
	"github.com/grademill/grademill/adapter/meter"
	"github.com/grademill/grademill/adapter/process"
	"github.com/grademill/grademill/adapter/rpc"
	"github.com/grademill/grademill/decide/member"
	"github.com/grademill/grademill/decide/route"
	"github.com/grademill/grademill/decide/timeout"
	"github.com/grademill/grademill/decide/view"
	"github.com/grademill/grademill/port/hosts"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/port/router"
	"github.com/grademill/grademill/role/drain"
	"github.com/grademill/grademill/role/gate"
	"github.com/grademill/grademill/state/claimlog"
	"github.com/grademill/grademill/state/configlog"
	"github.com/grademill/grademill/state/configreplica"
	"github.com/grademill/grademill/state/retrybudgets"
)

// Entry is one entry process. Set the exported fields, then call Prepare and Run.
type Entry struct {
	// Name is the entry's name, unique in the fleet.
	Name string
	// Hall is the data hall of the host.
	Hall string
	// Address is the address for connections from peers.
	Address string
	// Peers are the addresses of the entries to contact at start.
	Peers []string
	// Store is the platform's key-value service.
	Store kv.Store
	// Hosts reads the platform's list of hosts.
	Hosts hosts.Lister
	// Links holds the one-way latencies between data halls.
	Links route.Links
	// MaxQueue is the maximum number of requests of a service that wait.
	MaxQueue int
	// MaxDeadline bounds the deadline of every request.
	MaxDeadline time.Duration
	// MinStall and MaxStall bound how long an attempt may make no progress before it counts as
	// stalled.
	MinStall, MaxStall time.Duration
	// RecoverWait is how long a request that lost its chain waits for another one.
	RecoverWait time.Duration
	// Expiry is how long an endpoint stays in use without a heartbeat.
	Expiry time.Duration
	// Sync is the mean interval between requests to peers for changes.
	Sync time.Duration
	// HostListInterval is the mean interval between reads of the list of hosts.
	HostListInterval time.Duration
	// Watchers is the number of entries per hall that watch the platform for changes.
	Watchers int
	// Retries bounds retries.
	Retries retrybudgets.Budget
	// ClaimKeep is how long a claim, and with it an idempotency key, is remembered.
	ClaimKeep time.Duration
	// OrderLease is the duration of the lease of the leader, the entry that gives orders.
	OrderLease time.Duration
	// DrainTimeout bounds how long a stopping entry waits for requests in flight.
	DrainTimeout time.Duration
	// Meter records metrics; Prepare creates one if it is nil.
	Meter *meter.Entry
	// Log receives the entry's log lines, one for each decision.
	Log zerolog.Logger
	// Servers are run together with the entry: the callers' and the operators' APIs.
	Servers []transport.Server
	// Chooser replaces the choice of chains, for comparisons; nil means [route.Table.Choose].
	Chooser Chooser

	incarnation uint64
	draining    atomic.Bool
	links       *link.Set
	client      rpc.Client
	config      *configreplica.Config
	changes     *configlog.Log
	claims      *claimlog.Log
	gate        gate.Gate[*reservation]
	snapshot    atomic.Pointer[view.Snapshot]
	term        atomic.Uint64
	seed        atomic.Uint64
	inFlight    atomic.Int64
	process     *process.Process

	mu        sync.Mutex // guards the fields below
	view      view.View
	peers     member.Set
	revisions map[string]uint64
	stalls    map[string]stalls
	teamLoad  map[string]int
	// calls holds the cancel functions of the calls in flight, by endpoint.
	calls map[string]map[uuid.UUID]context.CancelFunc

	flightsMu sync.RWMutex
	flights   map[[requestBytes]byte]*flight
}

// Chooser chooses a chain in place of [route.Table.Choose].
type Chooser func(t *route.Table, seed uint64) (route.Choice, bool)

// stalls holds the learned stall timeouts of a service: for the first token of an attempt, and
// between tokens.
type stalls struct {
	first, between timeout.Estimator
}

// claimBatchDelay is how long a claim waits for others to share a write, and claimTimeout how long
// a caller waits for the platform.
const (
	claimBatchDelay = 5 * time.Millisecond
	claimTimeout    = 2 * time.Second
)

// peerTTL is how long this entry remembers another one that only peers have reported.
const peerTTL = 30 * time.Second

// Prepare initializes the entry. It must be called before Run and before callers are served.
func (e *Entry) Prepare() {
	e.incarnation = uint64(time.Now().UnixNano())
	e.config = configreplica.New()
	e.changes = configlog.New(e.Store, e.config)
	e.claims = &claimlog.Log{Store: e.Store, Retention: e.ClaimKeep, BatchDelay: claimBatchDelay, Timeout: claimTimeout}
	e.gate.MaxQueue = e.MaxQueue
	e.view = view.View{HomeHall: e.Hall, Links: e.Links, Expiry: e.Expiry}
	e.peers = member.Set{Retention: peerTTL}
	e.revisions = make(map[string]uint64)
	e.stalls = make(map[string]stalls)
	e.teamLoad = make(map[string]int)
	e.calls = make(map[string]map[uuid.UUID]context.CancelFunc)
	e.flights = make(map[[requestBytes]byte]*flight)
	e.links = &link.Set{Name: e.Name, Incarnation: e.incarnation, OnDisconnect: e.peerDown, Log: e.Log}
	if e.Meter == nil {
		e.Meter = meter.NewEntry()
	}
	e.rebuild()
}

var _ router.Router = (*Entry)(nil)

// Run serves until ctx ends or the process receives a stop signal.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &listen.Server{Address: e.Address, Batch: e.handleFrame, Calls: e.methods(), Log: e.Log}
	if err := server.Listen(); err != nil {
		return err
	}
	for _, loop := range []func(context.Context){e.syncPeers, e.watch, e.list, e.maintain, e.lead} {
		go loop(ctx)
	}
	servers := append([]transport.Server{server}, e.Servers...)
	e.process = process.New(ctx, e.Name, e.Log, e.drain, servers...)
	e.Log.Info().Str("address", e.Address).Msg("entry serves")
	err := e.process.Run()
	e.links.Close()
	e.client.Close()
	return err
}

// Stop drains the entry and ends Run.
func (e *Entry) Stop() error {
	return e.process.Stop()
}

// Ready reports whether the entry can serve callers: it has the configuration, knows an endpoint,
// and is not leaving.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.config.Revision() > 0 && len(e.snapshot.Load().All) > 0
}

// Changes returns the log to which operators' changes are written.
func (e *Entry) Changes() *configlog.Log {
	return e.changes
}

// Config returns the configuration in force at this entry.
func (e *Entry) Config() *configreplica.Config {
	return e.config
}

// drain refuses new requests and waits for those in flight.
func (e *Entry) drain(ctx context.Context) error {
	e.draining.Store(true)
	e.Log.Info().Int64("requests", e.inFlight.Load()).Msg("entry is leaving")
	drain.Wait(ctx, e.DrainTimeout, func() int { return int(e.inFlight.Load()) })
	e.Log.Info().Int64("requests", e.inFlight.Load()).Msg("entry has drained")
	return nil
}

// methods returns the control calls that the entry answers.
func (e *Entry) methods() rpc.Methods {
	return rpc.Methods{
		"sync": rpc.Of(e.answerSync),
	}
}
