package main

import (
	"context"
	stdlog "log"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/grademill/grademill/adapter/ingress"
	"github.com/grademill/grademill/adapter/meter"
	"github.com/grademill/grademill/platform"
	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/role/settings"
)

// The figures of the process.
const (
	// heapPercent makes the collector keep a small heap: memory is dearer than
	// processor time on the users' hosts.
	heapPercent = 20
	// logLines is the number of lines that wait for a slow reader of the log;
	// further ones are dropped and counted.
	logLines = 2048
	// lingerWait is how long new connections are still taken after the signal to
	// stop: the balancer notices within two questions, a second apart.
	lingerWait = 2500 * time.Millisecond
	// stopMargin is kept between the end of the process and its being killed.
	stopMargin = 500 * time.Millisecond
	// stopPoll is how often a stopping process looks whether it is idle.
	stopPoll = 20 * time.Millisecond
	// bytesPerMegabit turns the rate of a link into bytes a second.
	bytesPerMegabit = 1e6 / 8
	// The values of settings that a file leaves out.
	defaultStopTimeout = 10 * time.Second
	defaultRetryWindow = 10 * time.Second
)

// daemon is the process of a gateway.
type daemon struct {
	path    string
	file    *settings.File
	gateway *gateway.Gateway
	metrics *meter.Gateway
	log     zerolog.Logger
	flush   func()
}

// newDaemon makes the gateway out of its settings.
func newDaemon(path string, file *settings.File) *daemon {
	debug.SetGCPercent(heapPercent)
	d := &daemon{path: path, file: file, metrics: meter.NewGateway()}
	d.openLog()
	d.metrics.Registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s := file.Gateway
	d.gateway = &gateway.Gateway{
		Name: file.Name, Hall: file.Hall, Address: file.Address,
		Store: platform.NewStore(s.Store, d.metrics.StoreCall),
		Records: gateway.Records{
			Catalog: platform.ConfigKey, DecodeCatalog: platform.DecodeCatalog,
			EndpointID: platform.EndpointID, DecodeEndpoint: platform.DecodeEndpoint,
		},
		Dialect: platform.Dialect{}, Runners: platform.NewControl(d.metrics.PlatformCall),
		Revocation: time.Duration(s.Revocation),
		RetryShare: s.RetryShare, RetryReserve: s.RetryReserve, RetryWindow: s.RetryWindow.Or(defaultRetryWindow),
		LinkRate: s.LinkMegabits * bytesPerMegabit, FlatFleet: s.FlatFleet,
		Log: d.log, Meter: d.metrics,
	}
	return d
}

// openLog makes the log: JSON lines on standard output, through a buffer that
// never blocks.
func (d *daemon) openLog() {
	dropped := func(n int) { d.metrics.Dropped(n) }
	out := diode.NewWriter(os.Stdout, logLines, 0, dropped)
	d.flush = func() { _ = out.Close() }
	level, err := zerolog.ParseLevel(d.file.LogLevel)
	if err != nil || d.file.LogLevel == "" {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	d.log = zerolog.New(out).Level(level).With().Timestamp().Str("process", d.file.Name).Logger()
}

// run serves until the process is told to stop.
func (d *daemon) run(ctx context.Context) error {
	defer d.flush()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	failed := make(chan error, 3)
	callers := d.server(d.file.Gateway.Caller, d.gateway, d.callerLimits)
	servers := []*ingress.Server{callers, d.server(d.file.Gateway.Ready, d.gateway.ReadyHandler(), nil)}
	if d.file.Admin != "" {
		servers = append(servers, d.server(d.file.Admin, d.admin(), nil))
	}
	for _, s := range servers {
		if err := s.Listen(failed); err != nil {
			return err
		}
	}
	go callers.Run(ctx)
	stopped := make(chan struct{})
	go func() {
		d.gateway.Run(ctx)
		close(stopped)
	}()
	d.log.Info().Str("address", d.file.Gateway.Caller).Str("hall", d.file.Hall).Msg("gateway serves")
	for {
		select {
		case err := <-failed:
			return err
		case s := <-signals:
			if s == syscall.SIGHUP {
				d.reload()
				continue
			}
			d.stop(callers)
			cancel()
			<-stopped
			d.log.Info().Msg("gateway stopped")
			return nil
		}
	}
}

// reload checks the settings again. What they change takes effect with the next
// start: none of it may change while requests are served.
func (d *daemon) reload() {
	file, err := settings.Load(d.path)
	if err != nil {
		d.log.Error().Err(err).Msg("settings not understood, the former ones stay in force")
		return
	}
	d.log.Info().Bool("changed", *file.Gateway != *d.file.Gateway).Msg("settings read again")
}

// stop ends the process without cutting a request: it is not ready at once,
// takes connections until the balancer has noticed, then closes those that rest,
// and waits for what runs.
func (d *daemon) stop(callers *ingress.Server) {
	begun := time.Now()
	limit := d.file.Gateway.StopTimeout.Or(defaultStopTimeout) - stopMargin
	d.log.Info().Int("running", d.gateway.Running()).Msg("gateway stops")
	d.gateway.Drain()
	callers.Retire()
	time.Sleep(min(lingerWait, limit))
	callers.Stop()
	for {
		late := time.Since(begun) >= limit
		if (late || callers.Quiet()) && d.gateway.Close(late) {
			break
		}
		time.Sleep(stopPoll)
	}
	d.log.Info().Int("running", d.gateway.Running()).Dur("took_ms", time.Since(begun)).Msg("gateway has drained")
}

// server returns a server of handler at address.
func (d *daemon) server(address string, handler http.Handler, limits func() ingress.Limits) *ingress.Server {
	return &ingress.Server{
		Address: address, Handler: handler, Limits: limits, ErrorLog: stdlog.New(errorLog{d.log}, "", 0),
	}
}

// callerLimits returns what callers may do.
func (d *daemon) callerLimits() ingress.Limits {
	l := d.gateway.CallerLimits()
	return ingress.Limits{Idle: l.IdleTimeout, HeadBytes: l.HeaderBytes, HeadWait: l.HeaderTimeout}
}

// errorLog takes the lines of an HTTP server into the log.
type errorLog struct{ log zerolog.Logger }

// Write logs one line.
func (l errorLog) Write(line []byte) (int, error) {
	l.log.Debug().Str("detail", string(line)).Msg("HTTP server")
	return len(line), nil
}

// admin serves the metrics.
func (d *daemon) admin() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.metrics.Registry, promhttp.HandlerOpts{}))
	return mux
}
