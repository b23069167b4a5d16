// Package lab runs a deployment of entries, agents and stand-ins in one process
// over loopback, for the demo and for measurements. It is not a simulator: the
// entries and agents are the real ones and run in real time. Fill in a Lab, call
// Start, send requests to its entries, and Close it.
package lab

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/grademill/grademill/adapter/servicehttp"
	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/port/hosts"
	"github.com/grademill/grademill/port/service"
	"github.com/grademill/grademill/role/agent"
	"github.com/grademill/grademill/role/entry"
	"github.com/grademill/grademill/standin/engine"
	"github.com/grademill/grademill/standin/platform"
	"github.com/grademill/grademill/standin/toy"
	"github.com/grademill/grademill/state/retrybudgets"
)

// Engine describes a model engine and its agent.
type Engine struct {
	Name, Hall string
	Layers     layer.Range
	// Base is the duration of a batch, PerToken the duration that each position
	// adds, and MaxBatch the largest number of steps in a batch.
	Base, PerToken time.Duration
	MaxBatch       int
	// PrefixBlocks is the size of the engine's prefix cache in blocks; 0 for no cache.
	PrefixBlocks int
}

// Plain describes an endpoint of a plain service and its agent.
type Plain struct {
	Name, Hall, Service string
	// Do runs the calls, instead of a service at Base.
	Do service.Service
	// Base is the URL of an HTTP service, used if Do is nil.
	Base string
}

// EntryConfig describes an entry: its name and its data hall.
type EntryConfig struct {
	Name, Hall string
}

// Lab is a deployment in one process. Set the exported fields, then call Start.
type Lab struct {
	Entries []EntryConfig
	Engines []Engine
	Plains  []Plain
	// Service is the service of the engines, and Layers the number of layers of its model.
	Service string
	Layers  int
	// PlainService is the name of the plain service; empty for none.
	PlainService string
	// Teams maps a team to its weight.
	Teams map[string]float64
	// MaxQueue is the largest number of requests in the queue of an entry.
	MaxQueue int
	// Heartbeat is the interval between two reports of an agent.
	Heartbeat time.Duration
	// WaitFactor is the target for the time of a step including its wait for a
	// batch, as a multiple of the time of the step alone; 0 for the agents'
	// default.
	WaitFactor float64
	// MaxSessions is the largest number of sessions of an agent.
	MaxSessions int
	// Adjust, if set, may change an entry before it starts.
	Adjust func(*entry.Entry)
	// Log receives the log of all processes.
	Log zerolog.Logger

	// Store is the stand-in for the platform, set by Start.
	Store *platform.Store

	mu       sync.Mutex
	group    sync.WaitGroup
	entries  []*entry.Entry
	agents   map[string]*agent.Agent
	engines  map[string]*engine.Engine
	address  map[string]string
	cancels  map[string]context.CancelFunc
	contexts map[string]context.Context
}

// Defaults of fields of Lab that are zero.
const (
	defaultHeartbeat = 200 * time.Millisecond
	defaultSessions  = 64
	defaultQueue     = 4096
)

// Start starts all processes and returns once every entry knows every endpoint and
// the configuration. It returns a StartTimeoutError if that takes longer than
// startTimeout.
func (l *Lab) Start(ctx context.Context) error {
	l.Store = new(platform.Store)
	l.agents = make(map[string]*agent.Agent)
	l.engines = make(map[string]*engine.Engine)
	l.address = make(map[string]string)
	l.cancels = make(map[string]context.CancelFunc)
	l.contexts = make(map[string]context.Context)
	if err := l.startEntries(ctx); err != nil {
		return err
	}
	if err := l.configure(ctx); err != nil {
		return err
	}
	for _, spec := range l.Engines {
		if err := l.StartEngine(ctx, spec); err != nil {
			return err
		}
	}
	for _, spec := range l.Plains {
		if err := l.startPlain(ctx, spec); err != nil {
			return err
		}
	}
	return l.waitReady(ctx)
}

// Close kills all processes and waits until they have ended.
func (l *Lab) Close() {
	l.mu.Lock()
	for _, cancel := range l.cancels {
		cancel()
	}
	l.mu.Unlock()
	l.group.Wait()
}

// Entry returns the i-th entry.
func (l *Lab) Entry(i int) *entry.Entry {
	return l.entries[i]
}

// Work returns the counts of an engine's work so far.
func (l *Lab) Work(name string) engine.Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engines[name].Work()
}

// Kill ends an entry or an agent at once, without draining, and closes its connections.
func (l *Lab) Kill(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel := l.cancels[name]; cancel != nil {
		cancel()
	}
}

// portsUsed is the number of addresses that freeAddress has returned.
var portsUsed atomic.Int32

// basePort lies below the kernel's range of ephemeral ports.
const basePort = 20000

// ProcessContext returns a context that is cancelled when the named process is killed.
func (l *Lab) ProcessContext(name string) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contexts[name]
}

// freeAddress returns a loopback address that it has not returned before. The
// second byte depends on the process ID, so that programs that run at the same time
// use different addresses.
func freeAddress() string {
	return fmt.Sprintf("127.%d.0.1:%d", 1+os.Getpid()%250, basePort+portsUsed.Add(1))
}

// run starts a process of the lab, which runs until it is killed.
func (l *Lab) run(ctx context.Context, name string, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	l.mu.Lock()
	l.cancels[name] = cancel
	l.contexts[name] = ctx
	l.mu.Unlock()
	l.group.Go(func() {
		if err := run(ctx); err != nil {
			l.Log.Error().Err(err).Str("process", name).Msg("process failed")
		}
	})
}

func (l *Lab) startEntries(ctx context.Context) error {
	var peers []string
	var list []hosts.Host
	for _, h := range l.Entries {
		address := freeAddress()
		peers = append(peers, address)
		list = append(list, hosts.Host{Name: h.Name, Role: "entry", Hall: h.Hall, Address: address})
	}
	l.Store.SetHosts(list)
	for i, h := range l.Entries {
		e := l.newEntry(h, peers[i], peers)
		if l.Adjust != nil {
			l.Adjust(e)
		}
		e.Prepare()
		l.entries = append(l.entries, e)
		l.address[h.Name] = peers[i]
		l.run(ctx, h.Name, e.Run)
	}
	return nil
}

func (l *Lab) newEntry(h EntryConfig, address string, peers []string) *entry.Entry {
	return &entry.Entry{
		Name: h.Name, Hall: h.Hall, Address: address, Peers: peers, Store: l.Store, Hosts: l.Store,
		Links: linkLatency, MaxQueue: orDefault(l.MaxQueue, defaultQueue), MaxDeadline: time.Minute,
		MinStall: 100 * time.Millisecond, MaxStall: 5 * time.Second, RecoverWait: 3 * time.Second,
		Expiry: 3 * time.Second, Sync: 200 * time.Millisecond, HostListInterval: time.Second, Watchers: 2,
		Retries:   retrybudgets.Budget{Share: 0.1, Window: time.Minute, Reserve: 20},
		ClaimKeep: time.Hour, OrderLease: 3 * time.Second, DrainTimeout: 30 * time.Second,
		Log: l.Log.With().Str("process", h.Name).Logger(),
	}
}

// linkLatency returns the one-way latency between halls: a little under a millisecond.
func linkLatency(from, to string) time.Duration {
	if from == to {
		return 100 * time.Microsecond
	}
	return 900 * time.Microsecond
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// StartEngine starts an engine and its agent. If the lab has an engine of that
// name already, it starts only a new agent for it.
func (l *Lab) StartEngine(ctx context.Context, spec Engine) error {
	l.mu.Lock()
	e := l.engines[spec.Name]
	l.mu.Unlock()
	if e == nil {
		e = &engine.Engine{
			Models:  map[string]toy.Model{l.Service: {Name: l.Service, Layers: l.Layers}},
			Service: l.Service, Layers: spec.Layers, Base: spec.Base, PerToken: spec.PerToken,
			MaxBatch: spec.MaxBatch, PrefixBlocks: spec.PrefixBlocks,
		}
		if spec.Layers.Empty() {
			e.Service = ""
		}
		l.mu.Lock()
		l.engines[spec.Name] = e
		l.mu.Unlock()
	}
	return l.startAgent(ctx, &agent.Agent{Name: spec.Name, Hall: spec.Hall, Engine: e})
}

func (l *Lab) startPlain(ctx context.Context, spec Plain) error {
	handler := spec.Do
	if handler == nil {
		handler = &servicehttp.Client{Base: spec.Base}
	}
	return l.startAgent(ctx, &agent.Agent{Name: spec.Name, Hall: spec.Hall, Plain: handler, Service: spec.Service})
}

func (l *Lab) startAgent(ctx context.Context, a *agent.Agent) error {
	a.Address = freeAddress()
	for _, h := range l.Entries {
		a.Entries = append(a.Entries, l.address[h.Name])
	}
	a.Subset = len(l.Entries)
	a.Heartbeat = orDefault(l.Heartbeat, defaultHeartbeat)
	a.MaxSessions = orDefault(l.MaxSessions, defaultSessions)
	a.WaitFactor = l.WaitFactor
	a.DrainTimeout = 30 * time.Second
	a.CallKeep = 70 * time.Minute
	a.Log = l.Log.With().Str("process", a.Name).Logger()
	l.mu.Lock()
	l.agents[a.Name] = a
	l.mu.Unlock()
	l.run(ctx, a.Name, a.Run)
	return nil
}

// Key returns the API key of a team.
func Key(team string) string {
	return "key-of-" + team
}

// configure writes the services and teams to the configuration.
func (l *Lab) configure(ctx context.Context) error {
	model := config.Service{Kind: config.Model, Model: "toy", Layers: l.Layers, Repeatable: true, LayersPerEngine: l.Layers}
	if err := l.change(ctx, config.KindService, l.Service, model); err != nil {
		return err
	}
	if l.PlainService != "" {
		plain := config.Service{Kind: config.Plain}
		if err := l.change(ctx, config.KindService, l.PlainService, plain); err != nil {
			return err
		}
	}
	for name, weight := range l.Teams {
		sum := sha256.Sum256([]byte(Key(name)))
		team := config.Team{Weight: weight, KeySHA256: []string{hex.EncodeToString(sum[:])}}
		if err := l.change(ctx, config.KindTeam, name, team); err != nil {
			return err
		}
	}
	return nil
}

func (l *Lab) change(ctx context.Context, kind config.Kind, name string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return trace.Wrap(err)
	}
	c := config.Change{Who: "lab", At: time.Now(), Kind: kind, Name: name, Body: body}
	_, err = l.entries[0].Changes().Change(ctx, uuid.NewString(), c, nil)
	return trace.Wrap(err)
}

// startTimeout is how long Start waits for the entries to know every endpoint.
const startTimeout = 30 * time.Second

// waitReady waits until every entry knows every endpoint and the present configuration.
func (l *Lab) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !l.ready() {
		select {
		case <-ctx.Done():
			return trace.Wrap(&StartTimeoutError{l.known()})
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// StartTimeoutError reports that the entries of a lab did not get to know all
// endpoints and the configuration in time.
type StartTimeoutError struct {
	// Known is the number of endpoints that each entry knows.
	Known []int
}

// Error lists the numbers of known endpoints.
func (e *StartTimeoutError) Error() string {
	return fmt.Sprintf("lab did not start in time: the entries know %v endpoints", e.Known)
}

func (l *Lab) known() []int {
	known := make([]int, len(l.entries))
	for i, e := range l.entries {
		known[i] = len(e.Snapshot().All)
	}
	return known
}

func (l *Lab) ready() bool {
	revision := l.entries[0].Config().Revision()
	for i, n := range l.known() {
		if n < len(l.Engines)+len(l.Plains) || l.entries[i].Config().Revision() < revision {
			return false
		}
	}
	return true
}
