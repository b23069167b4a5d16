// Package agent is the process beside an endpoint: the only giver of work and
// of orders to it. It fences steps, calls and orders, passes steps on to the
// next stage, and drains.
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

// Agent is the agent of one endpoint. Set the exported fields, then call Run.
// Either Engine or Plain is set.
type Agent struct {
	// Name is the endpoint's name, unique in the fleet.
	Name string
	// Hall is the data hall of the host.
	Hall string
	// Address is where peers reach this agent.
	Address string
	// Engine is the model engine beside the agent.
	Engine engine.Engine
	// Plain is the plain service beside the agent, and Service its name.
	Plain   service.Service
	Service string
	// Entries are the addresses of entries to begin with.
	Entries []string
	// Subset is the number of entries that the agent reports to.
	Subset int
	// Heartbeat is the time between two reports to an entry.
	Heartbeat time.Duration
	// MaxSessions is the largest number of requests that the agent asks for. It
	// admits a little more, for entries that have not heard of each other's.
	MaxSessions int
	// WaitFactor is how long a step may take with its wait, in steps; zero means
	// DefaultWaitFactor. A larger one gives throughput, a smaller one latency and
	// quicker recovery.
	WaitFactor float64
	// DrainTimeout bounds how long a stop waits for requests in flight. Those
	// that are left then are moved by their owners.
	DrainTimeout time.Duration
	// CallKeep is how long calls that may not be repeated are remembered.
	CallKeep time.Duration
	// Log gets the agent's lines.
	Log zerolog.Logger
	// Servers run beside the agent, such as one for metrics.
	Servers []transport.Server
	// Unfenced turns the step fence off, for tests that show what it is for.
	Unfenced bool

	incarnation uint64
	// announced is set once the entries are told that the agent leaves, leaving once it
	// refuses new work.
	announced, leaving atomic.Bool
	links              *link.Set
	process            *process.Process

	mu       sync.Mutex // guards what follows
	sessions map[string]*session
	active   int
	graves   []grave
	queue    []work
	releases []*wire.Cancel
	wake     chan struct{}
	fence    order.Fence
	status   engine.Status
	loading  bool
	learned  limit.Learned
	stepTime time.Duration
	calls    once.Table[*wire.CallReply]
	waiters  map[once.Key]chan struct{}
	running  int // calls at the plain service
	entries  []*wire.Peer
	// entriesHash is the hash of entries.
	entriesHash uint64
	// introduced is what each entry was told of the agent on its connection.
	introduced map[string]*wire.Introduction
	// failures are the entries whose connections broke.
	failures map[string]failure
	beats    uint64
}

// maxCalls bounds the calls that are remembered, and callEpoch is the length of
// an epoch of package once.
const (
	maxCalls  = 25_000
	callEpoch = 30 * time.Second
)

// DefaultWaitFactor lets one full batch wait while another runs.
const DefaultWaitFactor = 2.5

// admitFactor is how many times MaxSessions the agent admits.
const admitFactor = 2

// prepare fills the unexported fields.
func (a *Agent) prepare(ctx context.Context) error {
	a.incarnation = uint64(time.Now().UnixNano())
	a.sessions = make(map[string]*session)
	a.wake = make(chan struct{}, 1)
	a.fence = order.Fence{Incarnation: a.incarnation}
	a.learned = limit.Learned{Min: min(defaultBatch, a.MaxSessions), Max: a.MaxSessions}
	a.WaitFactor = cmp.Or(a.WaitFactor, DefaultWaitFactor)
	a.calls = once.Table[*wire.CallReply]{
		Start: time.Now(), Epoch: callEpoch, Max: maxCalls, Keep: a.CallKeep,
	}
	a.introduced = make(map[string]*wire.Introduction)
	a.failures = make(map[string]failure)
	a.waiters = make(map[once.Key]chan struct{})
	a.links = &link.Set{Name: a.Name, Incarnation: a.incarnation, Down: a.peerDown, Log: a.Log}
	if a.Engine == nil {
		return nil
	}
	status, err := a.Engine.Status(ctx)
	if err != nil {
		return trace.Wrap(err, "ask the engine what it holds")
	}
	a.status = status
	a.learned.Min = min(a.batch(), a.MaxSessions)
	a.fence = a.fence.WithTerm(status.Term)
	return nil
}

// Run serves until ctx ends or the process is told to stop.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.prepare(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &listen.Server{Address: a.Address, Batch: a.take, Calls: a.methods(), Log: a.Log}
	if err := server.Listen(); err != nil {
		return err
	}
	if a.Engine != nil {
		go a.runBatches(ctx)
	}
	go a.sweep(ctx)
	go a.beat(ctx)
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

// noticeBeats is the number of heartbeats for which an agent that leaves still takes new
// work: entries hear of it with the first, and what they had sent before arrives.
const noticeBeats = 3

// drain tells the entries, takes what they sent before they heard of it, then refuses new
// work and waits for what is in flight.
func (a *Agent) drain(ctx context.Context) error {
	a.announced.Store(true)
	a.Log.Info().Int("sessions", a.inFlight()).Msg("agent announces that it leaves")
	a.report()
	pause.For(ctx, noticeBeats*a.Heartbeat)
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

// flushTime lets the links write what was queued last.
const flushTime = 50 * time.Millisecond

// evict asks the owners of what is left to move it.
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

// methods are the control calls that the agent answers.
func (a *Agent) methods() rpc.Methods {
	return rpc.Methods{
		"call":   rpc.Of(a.call),
		"settle": rpc.Of(a.settle),
		"order":  rpc.Of(a.order),
		"probe":  rpc.Of(a.probe),
	}
}
