// Package entry is the process between callers and agents: it admits requests,
// chooses their chains, owns each until its final answer, and takes the
// operators' changes.
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
	"github.com/grademill/grademill/decide/retry"
	"github.com/grademill/grademill/decide/route"
	"github.com/grademill/grademill/decide/timeout"
	"github.com/grademill/grademill/decide/view"
	"github.com/grademill/grademill/port/hosts"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/port/router"
	"github.com/grademill/grademill/role/drain"
	"github.com/grademill/grademill/role/gate"
	"github.com/grademill/grademill/state/claimlog"
	"github.com/grademill/grademill/state/conflog"
	"github.com/grademill/grademill/state/replica"
)

// Entry is one entry process. Set the exported fields, then call Prepare and
// Run.
type Entry struct {
	// Name is the entry's name, unique in the fleet.
	Name string
	// Hall is the data hall of the host.
	Hall string
	// Address is where peers reach this entry.
	Address string
	// Peers are the addresses of entries to begin with.
	Peers []string
	// Store is the platform's key-value service.
	Store kv.Store
	// Hosts is the platform's list of hosts.
	Hosts hosts.Lister
	// Links is the one-way time between two data halls.
	Links route.Links
	// MaxQueue is the number of requests of a service that wait at most.
	MaxQueue int
	// MaxDeadline bounds every request.
	MaxDeadline time.Duration
	// MinStall and MaxStall bound how long an attempt may make no progress.
	MinStall, MaxStall time.Duration
	// RecoverWait is how long a request that lost its chain waits for another.
	RecoverWait time.Duration
	// Expiry is how long an endpoint counts without a heartbeat.
	Expiry time.Duration
	// Sync is the time between two questions to a peer for changes.
	Sync time.Duration
	// ListEvery is the time between two reads of the list of hosts.
	ListEvery time.Duration
	// Watchers is the number of entries in a hall that watch the platform.
	Watchers int
	// Retries bounds second tries; its unexported state is the entry's.
	Retries retry.Budget
	// ClaimKeep is how long a claim is remembered, and with it an idempotency
	// key.
	ClaimKeep time.Duration
	// OrderLease is the life of the lease of whoever gives orders.
	OrderLease time.Duration
	// DrainTimeout bounds how long a stop waits for requests in flight.
	DrainTimeout time.Duration
	// Meter counts; nil for none.
	Meter *meter.Entry
	// Log gets the entry's lines, one for each decision.
	Log zerolog.Logger
	// Servers run beside the entry: the callers' and the operators'.
	Servers []transport.Server
	// Chooser replaces the choice of chains, for comparisons; nil for the
	// router's own.
	Chooser Chooser

	incarnation uint64
	draining    atomic.Bool
	links       *link.Set
	client      rpc.Client
	config      *replica.Config
	changes     *conflog.Log
	claims      *claimlog.Log
	gate        gate.Gate[*seat]
	snapshot    atomic.Pointer[view.Snapshot]
	term        atomic.Uint64
	seed        atomic.Uint64
	inFlight    atomic.Int64
	process     *process.Process

	mu        sync.Mutex // guards what follows
	view      view.View
	peers     member.Set
	revisions map[string]uint64
	stalls    map[string]stalls
	teamLoad  map[string]int
	// calls are the calls that wait for an endpoint.
	calls map[string]map[uuid.UUID]context.CancelFunc

	flightsMu sync.RWMutex
	flights   map[[requestBytes]byte]*flight
}

// Chooser chooses a chain in place of the table's own way.
type Chooser func(t *route.Table, seed uint64) (route.Choice, bool)

// stalls are the learned times of a service.
type stalls struct {
	first, between timeout.Estimator
}

// claimGather is how long claims wait for others to share a write, and
// claimTimeout how long a caller waits for the platform.
const (
	claimGather  = 5 * time.Millisecond
	claimTimeout = 2 * time.Second
)

// peerKeep is how long an entry counts that only peers have told of.
const peerKeep = 30 * time.Second

// Prepare makes the entry ready for Run and for callers.
func (e *Entry) Prepare() {
	e.incarnation = uint64(time.Now().UnixNano())
	e.config = replica.New()
	e.changes = conflog.New(e.Store, e.config)
	e.claims = &claimlog.Log{Store: e.Store, Keep: e.ClaimKeep, Gather: claimGather, Timeout: claimTimeout}
	e.gate.MaxQueue = e.MaxQueue
	e.view = view.View{Home: e.Hall, Links: e.Links, Expiry: e.Expiry}
	e.peers = member.Set{Keep: peerKeep}
	e.revisions = make(map[string]uint64)
	e.stalls = make(map[string]stalls)
	e.teamLoad = make(map[string]int)
	e.calls = make(map[string]map[uuid.UUID]context.CancelFunc)
	e.flights = make(map[[requestBytes]byte]*flight)
	e.links = &link.Set{Name: e.Name, Incarnation: e.incarnation, Down: e.peerDown, Log: e.Log}
	if e.Meter == nil {
		e.Meter = meter.NewEntry()
	}
	e.rebuild()
}

var _ router.Router = (*Entry)(nil)

// Run serves until ctx ends or the process is told to stop.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &listen.Server{Address: e.Address, Batch: e.take, Calls: e.methods(), Log: e.Log}
	if err := server.Listen(); err != nil {
		return err
	}
	for _, loop := range []func(context.Context){e.follow, e.watch, e.list, e.tend, e.lead} {
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

// Ready reports whether callers should be sent here: the entry knows the
// configuration, has heard of an endpoint, and is not leaving.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.config.Revision() > 0 && len(e.snapshot.Load().All) > 0
}

// Changes is the log that operators write to.
func (e *Entry) Changes() *conflog.Log {
	return e.changes
}

// Config is the configuration in force here.
func (e *Entry) Config() *replica.Config {
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

// methods are the control calls that the entry answers.
func (e *Entry) methods() rpc.Methods {
	return rpc.Methods{
		"sync": rpc.Of(e.answerSync),
	}
}
