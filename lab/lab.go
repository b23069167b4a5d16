// Package lab sets up all roles with stand-ins in one process over loopback,
// for the demo and for measurements. It is no simulator: the entries and agents
// are the real ones, and time is real.
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
	"github.com/grademill/grademill/decide/retry"
	"github.com/grademill/grademill/port/hosts"
	"github.com/grademill/grademill/port/service"
	"github.com/grademill/grademill/role/agent"
	"github.com/grademill/grademill/role/entry"
	"github.com/grademill/grademill/standin/engine"
	"github.com/grademill/grademill/standin/platform"
	"github.com/grademill/grademill/standin/toy"
)

// Engine describes one model engine with its agent.
type Engine struct {
	Name, Hall string
	Layers     layer.Range
	// Base is the time of a step, PerToken what each position adds, and
	// MaxBatch the number of steps taken together.
	Base, PerToken time.Duration
	MaxBatch       int
	PrefixBlocks   int
}

// Plain describes one endpoint of a plain service with its agent.
type Plain struct {
	Name, Hall, Service string
	// Do runs a call.
	Do service.Service
	// Base is the address of an HTTP service, when Do is not set.
	Base string
}

// Host names an entry and its hall.
type Host struct {
	Name, Hall string
}

// Lab is a set-up. Set the exported fields, then call Start.
type Lab struct {
	Entries []Host
	Engines []Engine
	Plains  []Plain
	// Service and Layers are the model that the engines serve.
	Service string
	Layers  int
	// PlainService is the plain service; empty for none.
	PlainService string
	// Teams maps a team to its weight.
	Teams map[string]float64
	// MaxQueue bounds the queue of an entry.
	MaxQueue int
	// Heartbeat is the time between two reports of an agent.
	Heartbeat time.Duration
	// WaitFactor is how long steps may take with their wait, in steps.
	WaitFactor float64
	// MaxSessions is the number of sessions of an agent.
	MaxSessions int
	// Adjust may change an entry before it starts; nil for none.
	Adjust func(*entry.Entry)
	// Log gets the lines of all processes.
	Log zerolog.Logger

	// Store is the platform, after Start.
	Store *platform.Store

	mu      sync.Mutex
	group   sync.WaitGroup
	entries []*entry.Entry
	agents  map[string]*agent.Agent
	engines map[string]*engine.Engine
	address map[string]string
	stops   map[string]context.CancelFunc
	lives   map[string]context.Context
}

// Defaults of the fields that are zero.
const (
	defaultHeartbeat = 200 * time.Millisecond
	defaultSessions  = 64
	defaultQueue     = 4096
)

// Start starts everything and returns once every entry knows every endpoint.
func (l *Lab) Start(ctx context.Context) error {
	l.Store = new(platform.Store)
	l.agents = make(map[string]*agent.Agent)
	l.engines = make(map[string]*engine.Engine)
	l.address = make(map[string]string)
	l.stops = make(map[string]context.CancelFunc)
	l.lives = make(map[string]context.Context)
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
	return l.settle(ctx)
}

// Close ends everything at once.
func (l *Lab) Close() {
	l.mu.Lock()
	for _, stop := range l.stops {
		stop()
	}
	l.mu.Unlock()
	l.group.Wait()
}

// Entry returns the i-th entry.
func (l *Lab) Entry(i int) *entry.Entry {
	return l.entries[i]
}

// Work returns what an engine has done so far.
func (l *Lab) Work(name string) engine.Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engines[name].Work()
}

// Kill ends an entry or an agent at once, with all its connections.
func (l *Lab) Kill(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stop := l.stops[name]; stop != nil {
		stop()
	}
}

// ports counts the addresses given out in this process.
var ports atomic.Int32

// firstPort lies below the ports that the kernel gives to connections.
const firstPort = 20000

// Life returns a context that ends when the process is killed.
func (l *Lab) Life(name string) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lives[name]
}

// freeAddress returns a loopback address that no other process of this program
// listens on. The network part tells programs that run at the same time apart.
func freeAddress() string {
	return fmt.Sprintf("127.%d.0.1:%d", 1+os.Getpid()%250, firstPort+ports.Add(1))
}

// run runs a process of the lab until it is killed.
func (l *Lab) run(ctx context.Context, name string, run func(context.Context) error) {
	ctx, stop := context.WithCancel(ctx)
	l.mu.Lock()
	l.stops[name] = stop
	l.lives[name] = ctx
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

func (l *Lab) newEntry(h Host, address string, peers []string) *entry.Entry {
	return &entry.Entry{
		Name: h.Name, Hall: h.Hall, Address: address, Peers: peers, Store: l.Store, Hosts: l.Store,
		Links: linkTime, MaxQueue: or(l.MaxQueue, defaultQueue), MaxDeadline: time.Minute,
		MinStall: 100 * time.Millisecond, MaxStall: 5 * time.Second, RecoverWait: 3 * time.Second,
		Expiry: 3 * time.Second, Sync: 200 * time.Millisecond, ListEvery: time.Second, Watchers: 2,
		Retries:   retry.Budget{Share: 0.1, Window: time.Minute, Reserve: 20},
		ClaimKeep: time.Hour, OrderLease: 3 * time.Second, DrainTimeout: 30 * time.Second,
		Log: l.Log.With().Str("process", h.Name).Logger(),
	}
}

// linkTime is the one-way time between halls: a little under a millisecond.
func linkTime(from, to string) time.Duration {
	if from == to {
		return 100 * time.Microsecond
	}
	return 900 * time.Microsecond
}

func or[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

// StartEngine starts an engine and its agent. An engine that is there already
// goes on beside a new agent.
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
	do := spec.Do
	if do == nil {
		do = &servicehttp.Client{Base: spec.Base}
	}
	return l.startAgent(ctx, &agent.Agent{Name: spec.Name, Hall: spec.Hall, Plain: do, Service: spec.Service})
}

func (l *Lab) startAgent(ctx context.Context, a *agent.Agent) error {
	a.Address = freeAddress()
	for _, h := range l.Entries {
		a.Entries = append(a.Entries, l.address[h.Name])
	}
	a.Subset = len(l.Entries)
	a.Heartbeat = or(l.Heartbeat, defaultHeartbeat)
	a.MaxSessions = or(l.MaxSessions, defaultSessions)
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

// Key returns the key of a team's callers.
func Key(team string) string {
	return "key-of-" + team
}

// configure makes the services and the teams.
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

// settleTimeout bounds the start of a lab.
const settleTimeout = 30 * time.Second

// settle waits until every entry knows every endpoint and the configuration.
func (l *Lab) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for !l.settled() {
		select {
		case <-ctx.Done():
			return trace.Wrap(&UnsettledError{l.known()})
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}

// UnsettledError is a lab that has not come up in time.
type UnsettledError struct {
	// Known is the number of endpoints that each entry knows.
	Known []int
}

// Error returns the numbers.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("the lab has not come up: the entries know %v endpoints", e.Known)
}

func (l *Lab) known() []int {
	known := make([]int, len(l.entries))
	for i, e := range l.entries {
		known[i] = len(e.Snapshot().All)
	}
	return known
}

func (l *Lab) settled() bool {
	revision := l.entries[0].Config().Revision()
	for i, n := range l.known() {
		if n < len(l.Engines)+len(l.Plains) || l.entries[i].Config().Revision() < revision {
			return false
		}
	}
	return true
}
