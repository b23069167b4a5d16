// Package agent implements the agent, the process on the host of an endpoint through which all work
// and all orders reach that endpoint. It fences steps, calls and orders, forwards the output of
// steps to the next stage, and drains the endpoint before a stop.
//
// Set the exported fields of [Agent], then call Run.
package agent

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/grademill/grademill/adapter/link"
	"github.com/grademill/grademill/adapter/listen"
	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/adapter/process"
	"github.com/grademill/grademill/adapter/rpc"
	"github.com/grademill/grademill/decide/limit"
	"github.com/grademill/grademill/decide/once"
	"github.com/grademill/grademill/decide/order"
	"github.com/grademill/grademill/port/engine"
	"github.com/grademill/grademill/port/service"
	"github.com/grademill/grademill/role/drain"
	"github.com/grademill/grademill/wire"
)

// Agent is the agent of one endpoint. Set the exported fields, then call Run. Either Engine or
// Plain is set.
type Agent struct {
	// Name is the endpoint's name, unique in the fleet.
	Name string
	// Hall is the data hall of the host.
	Hall string
	// Address is the address for connections from peers.
	Address string
	// Engine is the model engine on the agent's host.
	Engine engine.Engine
	// Plain is the plain service on the agent's host, and Service its name.
	Plain   service.Service
	Service string
	// Entries are the addresses of the entries to contact at start.
	Entries []string
	// Subset is the number of entries that receive the agent's heartbeats.
	Subset int
	// Heartbeat is the interval between heartbeats.
	Heartbeat time.Duration
	// MaxSessions is the largest limit of requests in flight that the agent reports to entries. It
	// admits up to twice as many, since entries learn late of the requests that others have sent.
	MaxSessions int
	// WaitFactor is the target for the time of a step including its wait in the queue, in multiples
	// of the time of a step; zero means DefaultWaitFactor. A larger factor gives more throughput, a
	// smaller one lower latency and faster recovery.
	WaitFactor float64
	// DrainTimeout bounds how long a stopping agent waits for requests in flight. After that, their
	// owners move the remaining ones to other chains.
	DrainTimeout time.Duration
	// CallKeep is how long calls that must not be repeated are remembered.
	CallKeep time.Duration
	// Log receives the agent's log lines.
	Log zerolog.Logger
	// Servers are run together with the agent, such as one for metrics.
	Servers []transport.Server
	// Unfenced disables the step fence, for tests that show its effect.
	Unfenced bool

	incarnation uint64
	// announced is set once the entries have been notified that the agent leaves, leaving once it
	// refuses new work.
	announced, leaving atomic.Bool
	links              *link.Set
	process            *process.Process

	mu         sync.Mutex // guards the fields below
	sessions   map[string]*session
	active     int
	tombstones []tombstone
	queue      []work
	releases   []*wire.Cancel
	wake       chan struct{}
	fence      order.Fence
	status     engine.Status
	loading    bool
	learned    limit.Adaptive
	stepTime   time.Duration
	calls      once.Table[*wire.CallReply]
	waiters    map[once.Key]chan struct{}
	running    int // calls in flight at the plain service
	entries    []*wire.Peer
	// entriesHash is the hash of entries.
	entriesHash uint64
	// introduced is the introduction last sent to each entry on its current connection.
	introduced map[string]*wire.Introduction
	// failures holds the entries whose connections broke.
	failures   map[string]failure
	heartbeats uint64
}

// maxCalls bounds the number of calls that are remembered, and callEpoch is the length of an epoch
// of package once.
const (
	maxCalls  = 25_000
	callEpoch = 30 * time.Second
)

// DefaultWaitFactor lets one full batch wait while another one runs.
const DefaultWaitFactor = 2.5

// admitFactor is the number of requests that the agent admits, in multiples of MaxSessions.
const admitFactor = 2

// prepare initializes the unexported fields and reads the status of the engine.
func (a *Agent) prepare(ctx context.Context) error {
	a.incarnation = uint64(time.Now().UnixNano())
	a.sessions = make(map[string]*session)
	a.wake = make(chan struct{}, 1)
	a.fence = order.Fence{Incarnation: a.incarnation}
	a.learned = limit.Adaptive{Min: min(defaultBatch, a.MaxSessions), Max: a.MaxSessions}
	a.WaitFactor = cmp.Or(a.WaitFactor, DefaultWaitFactor)
	a.calls = once.Table[*wire.CallReply]{
		Start: time.Now(), Epoch: callEpoch, Max: maxCalls, Keep: a.CallKeep,
	}
	a.introduced = make(map[string]*wire.Introduction)
	a.failures = make(map[string]failure)
	a.waiters = make(map[once.Key]chan struct{})
	a.links = &link.Set{Name: a.Name, Incarnation: a.incarnation, OnDisconnect: a.peerDown, Log: a.Log}
	if a.Engine == nil {
		return nil
	}
	status, err := a.Engine.Status(ctx)
	if err != nil {
		return trace.Wrap(err, "read engine status")
	}
	a.status = status
	a.learned.Min = min(a.batch(), a.MaxSessions)
	a.fence = a.fence.WithTerm(status.Term)
	return nil
}

// Run serves until ctx ends or the process receives a stop signal.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.prepare(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &listen.Server{Address: a.Address, Batch: a.handleFrame, Calls: a.methods(), Log: a.Log}
	if err := server.Listen(); err != nil {
		return err
	}
	if a.Engine != nil {
		go a.runBatches(ctx)
	}
	go a.sweep(ctx)
	go a.sendHeartbeats(ctx)
	servers := append([]transport.Server{server}, a.Servers...)
	a.process = process.New(ctx, a.Name, a.Log, a.drain, servers...)
	a.Log.Info().Str("address", a.Address).Uint64("incarnation", a.incarnation).Msg("agent serves")
	err := a.process.Run()
	a.links.Close()
	return err
}

// Stop drains the agent and ends Run.
func (a *Agent) Stop() error {
	return a.process.Stop()
}

// Leaving reports whether the agent refuses new work.
func (a *Agent) Leaving() bool {
	return a.leaving.Load()
}

// noticeHeartbeats is the number of heartbeats for which a leaving agent still accepts new work:
// the first one notifies the entries, and work that they sent before that arrives during the
// others.
const noticeHeartbeats = 3

// drain notifies the entries, accepts what they sent before the notice reached them, then refuses
// new work and waits for the requests in flight.
func (a *Agent) drain(ctx context.Context) error {
	a.announced.Store(true)
	a.Log.Info().Int("sessions", a.inFlight()).Msg("agent announces that it leaves")
	a.report()
	pause.For(ctx, noticeHeartbeats*a.Heartbeat)
	a.leaving.Store(true)
	a.Log.Info().Int("sessions", a.inFlight()).Msg("agent is leaving")
	drain.Wait(ctx, a.DrainTimeout, a.inFlight)
	a.evict()
	a.Log.Info().Int("sessions", a.inFlight()).Msg("agent has drained")
	return nil
}

// inFlight returns the number of requests and calls in flight.
func (a *Agent) inFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active + a.running
}

// flushTime is how long the links have to write what was queued last.
const flushTime = 50 * time.Millisecond

// evict asks the owners of the remaining requests to move them to other chains.
func (a *Agent) evict() {
	a.mu.Lock()
	var left []*wire.Trouble
	var owners []string
	for _, s := range a.sessions {
		if s.open != nil {
			left = append(left, s.trouble(a.Name, wire.Trouble_LEAVING, "drain time is up"))
			owners = append(owners, s.open.GetOwner())
		}
	}
	a.mu.Unlock()
	for i, trouble := range left {
		a.links.Trouble(owners[i], trouble)
	}
	if len(left) > 0 {
		time.Sleep(flushTime)
	}
}

// methods returns the control calls that the agent answers.
func (a *Agent) methods() rpc.Methods {
	return rpc.Methods{
		"call":   rpc.Of(a.call),
		"settle": rpc.Of(a.settle),
		"order":  rpc.Of(a.order),
		"probe":  rpc.Of(a.probe),
	}
}
