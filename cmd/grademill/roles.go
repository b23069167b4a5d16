package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/google/subcommands"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"

	"github.com/grademill/grademill/adapter/adminhttp"
	"github.com/grademill/grademill/adapter/callerhttp"
	"github.com/grademill/grademill/adapter/enginehttp"
	"github.com/grademill/grademill/adapter/httpserver"
	"github.com/grademill/grademill/adapter/meter"
	"github.com/grademill/grademill/adapter/platformhttp"
	"github.com/grademill/grademill/adapter/servicehttp"
	"github.com/grademill/grademill/decide/route"
	"github.com/grademill/grademill/role/agent"
	"github.com/grademill/grademill/role/entry"
	"github.com/grademill/grademill/role/settings"
	"github.com/grademill/grademill/state/configreplica"
	"github.com/grademill/grademill/state/retrybudgets"
)

// exitSettings is the exit code for an invalid settings file.
const exitSettings = subcommands.ExitStatus(3)

// Defaults of settings that the file omits.
const (
	defaultDrain        = 2 * time.Minute
	defaultQueue        = 4096
	defaultDeadline     = 2 * time.Minute
	defaultMinStall     = 150 * time.Millisecond
	defaultMaxStall     = 5 * time.Second
	defaultRecoverWait  = 3 * time.Second
	defaultExpiry       = 5 * time.Second
	defaultSyncInterval = time.Second
	defaultListInterval = 5 * time.Second
	defaultRetryShare   = 0.1
	defaultReserve      = 20
	defaultRetryWindow  = time.Minute
	defaultClaimKeep    = time.Hour
	defaultCallKeep     = defaultClaimKeep + 10*time.Minute
	defaultOrderLease   = 6 * time.Second
	defaultWatchers     = 2
	defaultSubset       = 12
	defaultHeartbeat    = time.Second
	defaultSessions     = 128
)

// newLog returns the logger of a process, which writes JSON to standard error.
func newLog(level, name string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Str("process", name).Logger()
}

// load reads the settings file named by the only argument and checks that it is
// for role, or for any role if role is empty.
func load(f *flag.FlagSet, role string) (*settings.File, subcommands.ExitStatus) {
	if f.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "exactly one settings file is required")
		return nil, subcommands.ExitUsageError
	}
	file, err := settings.Load(f.Arg(0))
	if err == nil && role != "" && file.Role != role {
		err = &settings.Error{File: f.Arg(0), Key: "role", Problem: "is " + file.Role + ", not " + role}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return nil, exitSettings
	}
	return file, subcommands.ExitSuccess
}

// finish prints err, if any, and returns the exit status.
func finish(err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

type entryCommand struct{}

func (*entryCommand) Name() string             { return "entry" }
func (*entryCommand) Synopsis() string         { return "run an entry" }
func (*entryCommand) SetFlags(_ *flag.FlagSet) {}

func (*entryCommand) Usage() string {
	return "grademill entry FILE\n  Runs an entry with the settings in FILE until SIGTERM, then drains.\n" +
		"  Exit codes: 0 stopped, 1 failed, 2 wrong arguments, 3 invalid settings.\n"
}

func (*entryCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	file, status := load(f, "entry")
	if status != subcommands.ExitSuccess {
		return status
	}
	return finish(newEntry(file).Run(ctx))
}

// newEntry returns an entry configured by file.
func newEntry(file *settings.File) *entry.Entry {
	s := file.Entry
	log := newLog(file.LogLevel, file.Name)
	metrics := meter.NewEntry()
	metrics.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	platform := &platformhttp.Client{Base: s.Platform, OnCall: metrics.PlatformCall}
	e := &entry.Entry{
		Name: file.Name, Hall: file.Hall, Address: file.Address, Peers: s.Peers,
		Store: platform, Hosts: platform, Links: linkLatencies(s.Links),
		MaxQueue: orDefault(s.MaxQueue, defaultQueue), MaxDeadline: s.MaxDeadline.Or(defaultDeadline),
		MinStall: s.MinStall.Or(defaultMinStall), MaxStall: s.MaxStall.Or(defaultMaxStall),
		RecoverWait: s.RecoverWait.Or(defaultRecoverWait), Expiry: s.Expiry.Or(defaultExpiry),
		Sync: s.Sync.Or(defaultSyncInterval), HostListInterval: defaultListInterval, Watchers: defaultWatchers,
		Retries: retrybudgets.Budget{
			Share: orDefault(s.RetryShare, defaultRetryShare), Window: defaultRetryWindow,
			Reserve: orDefault(s.RetryReserve, defaultReserve),
		},
		ClaimKeep: s.ClaimKeep.Or(defaultClaimKeep), OrderLease: defaultOrderLease,
		DrainTimeout: file.DrainTimeout.Or(defaultDrain), Meter: metrics, Log: log,
	}
	e.Prepare()
	callers := &callerhttp.Server{Router: e, Ready: e.Ready, Team: teamOf(e.Config())}
	e.Servers = []transport.Server{httpserver.New(s.Caller, callers.Handler())}
	if file.Admin != "" {
		admin := &adminhttp.Server{
			Operators: operators(s.Operators), Changes: e.Changes(), Config: e.Config(),
			Ready: e.Ready, Metrics: metrics.Registry, Log: log,
			Status: func() adminhttp.Status {
				return adminhttp.Status{Revisions: e.Revisions(), Endpoints: e.Snapshot().All}
			},
		}
		e.Servers = append(e.Servers, httpserver.New(file.Admin, admin.Handler()))
	}
	return e
}

// orDefault returns value, or fallback if value is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// teamOf returns a function that maps the hash of a key to its team.
func teamOf(c *configreplica.Config) func(string) (string, bool) {
	return func(hash string) (string, bool) {
		return c.Current().Keys.Holder(hash)
	}
}

func operators(list []settings.Operator) map[string]string {
	byKey := make(map[string]string, len(list))
	for _, o := range list {
		byKey[o.KeySHA256] = o.Name
	}
	return byKey
}

// One-way latencies of links that the settings omit: within a hall, and between
// halls.
const (
	sameHallLatency    = 100 * time.Microsecond
	defaultLinkLatency = time.Millisecond
)

// linkLatencies returns a function that gives the one-way latency between two halls
// according to the settings.
func linkLatencies(links []settings.Link) route.Links {
	times := make(map[[2]string]time.Duration)
	for _, l := range links {
		times[[2]string{l.From, l.To}] = time.Duration(l.Time)
		times[[2]string{l.To, l.From}] = time.Duration(l.Time)
	}
	return func(from, to string) time.Duration {
		if t, ok := times[[2]string{from, to}]; ok {
			return t
		}
		if from == to {
			return sameHallLatency
		}
		return defaultLinkLatency
	}
}

type agentCommand struct{}

func (*agentCommand) Name() string             { return "agent" }
func (*agentCommand) Synopsis() string         { return "run the agent beside an endpoint" }
func (*agentCommand) SetFlags(_ *flag.FlagSet) {}

func (*agentCommand) Usage() string {
	return "grademill agent FILE\n  Runs an agent with the settings in FILE until SIGTERM, then drains.\n" +
		"  Exit codes: 0 stopped, 1 failed, 2 wrong arguments, 3 invalid settings.\n"
}

func (*agentCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	file, status := load(f, "agent")
	if status != subcommands.ExitSuccess {
		return status
	}
	return finish(newAgent(file).Run(ctx))
}

// newAgent returns an agent configured by file.
func newAgent(file *settings.File) *agent.Agent {
	s := file.Agent
	a := &agent.Agent{
		Name: file.Name, Hall: file.Hall, Address: file.Address, Service: s.Service, Entries: s.Entries,
		Subset: orDefault(s.Subset, defaultSubset), Heartbeat: s.Heartbeat.Or(defaultHeartbeat),
		MaxSessions: orDefault(s.MaxSessions, defaultSessions), WaitFactor: s.WaitFactor,
		DrainTimeout: file.DrainTimeout.Or(defaultDrain), CallKeep: s.CallKeep.Or(defaultCallKeep),
		Log: newLog(file.LogLevel, file.Name),
	}
	if s.Engine != "" {
		a.Engine = &enginehttp.Client{Base: s.Engine}
	} else {
		a.Plain = &servicehttp.Client{Base: s.Plain}
	}
	if file.Admin != "" {
		registry := prometheus.NewRegistry()
		registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
		admin := &adminhttp.Server{Ready: func() bool { return !a.Leaving() }, Metrics: registry}
		a.Servers = []transport.Server{httpserver.New(file.Admin, admin.Handler())}
	}
	return a
}
