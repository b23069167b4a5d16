package main

import (
	"cmp"
	"context"
	"encoding/json"
	stdlog "log"
	"math"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/grademill/grademill/adapter/hangup"
	"github.com/grademill/grademill/adapter/ingress"
	"github.com/grademill/grademill/adapter/meter"
	"github.com/grademill/grademill/decide/grace"
	"github.com/grademill/grademill/decide/shedding"
	"github.com/grademill/grademill/platform"
	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/role/settings"
	"github.com/grademill/grademill/state/memory"
)

const (
	// heapPercent is the garbage collection target (GOGC). It is low because
	// memory is scarcer than processor time on the hosts.
	heapPercent = 20
	// logLines is the number of log lines buffered for a slow reader; further
	// lines are dropped and counted.
	logLines = 2048
	// lingerWait is how long the process accepts new connections after the signal
	// to stop: the load balancer needs up to two readiness checks, a second apart,
	// to notice.
	lingerWait = 2500 * time.Millisecond
	// stopMargin is the time left between the end of the process and the stop
	// time-out, after which the process is killed.
	stopMargin = 500 * time.Millisecond
	// stopPoll is how often a stopping process checks whether it is idle.
	stopPoll = 20 * time.Millisecond
	// bytesPerMegabit converts the rate of a link from Mbit/s to bytes/s.
	bytesPerMegabit = 1e6 / 8
	// callerMemory is the part of the memory for what is held for callers, callerDescriptors that of
	// the descriptors.
	callerMemory      = 1.0 / 4
	callerDescriptors = 1.0 / 2
	bytesPerMegabyte  = 1 << 20
	// Defaults of settings that the file omits.
	defaultMegabytes   = 184
	defaultStopTimeout = 10 * time.Second
	defaultRetryWindow = 10 * time.Second
)

// daemon runs a gateway as a process: its servers, log, metrics and signals.
type daemon struct {
	path    string
	file    *settings.File
	gateway *gateway.Gateway
	metrics *meter.Gateway
	log     zerolog.Logger
	// flush writes the buffered log lines and closes the log, which drops all further lines.
	flush func()
}

// newDaemon returns a daemon configured by file, which was read from path.
func newDaemon(path string, file *settings.File) *daemon {
	debug.SetGCPercent(heapPercent)
	d := &daemon{path: path, file: file, metrics: meter.NewGateway()}
	d.openLog()
	d.metrics.Registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s := file.Gateway
	d.gateway = &gateway.Gateway{
		Name: file.Name, Hall: file.Hall, Address: file.Address,
		Store: platform.NewStore(s.Store, d.metrics.StoreCall),
		Decoders: gateway.Decoders{
			Catalog: platform.ConfigKey, DecodeCatalog: platform.DecodeCatalog,
			EndpointID: platform.EndpointID, DecodeEndpoint: platform.DecodeEndpoint,
		},
		Dialect: platform.Dialect{}, Runners: platform.NewControl(d.metrics.PlatformCall),
		Revocation: time.Duration(s.Revocation),
		RetryShare: s.RetryShare, RetryReserve: int(s.RetryReserve), RetryWindow: s.RetryWindow.Or(defaultRetryWindow),
		FirstStart: s.FirstStart, StopTimeout: s.StopTimeout.Or(defaultStopTimeout),
		LinkRate: s.LinkMegabits * bytesPerMegabit, FlatFleet: s.FlatFleet, EvenRoom: s.EvenRoom,
		Log: d.log, Meter: d.metrics,
	}
	if o := s.Overload; o != nil {
		returnShare, minShare := o.Shares()
		d.gateway.Overload = gateway.Overload{
			RoomShares: o.RoomShares, FleetAdmission: o.FleetAdmission, HallSplit: o.HallSplit,
			Policy: shedding.Policy{ReturnShare: returnShare, MinShare: minShare, Weights: o.TeamWeights},
		}
	}
	return d
}

// openLog sets up the log: JSON lines on standard output, through a buffer that
// drops lines rather than block.
func (d *daemon) openLog() {
	dropped := func(n int) { d.metrics.DroppedLogLines(n) }
	out := diode.NewWriter(os.Stdout, logLines, 0, dropped)
	d.flush = func() { _ = out.Close() }
	level, err := zerolog.ParseLevel(d.file.LogLevel)
	if err != nil || d.file.LogLevel == "" {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	d.log = zerolog.New(out).Level(level).With().Timestamp().Str("process", d.file.Name).Logger()
}

// run serves until SIGTERM or SIGINT, or until a server fails. SIGHUP checks the
// settings again.
func (d *daemon) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	failed := make(chan error, 3)
	callers := d.server(d.file.Gateway.Caller, d.gateway, d.callerLimits)
	callers.Unanswered = d.unanswered
	callers.Memory = d.callerBudget()
	d.metrics.Memory(callers.Memory.Used)
	servers := []*ingress.Server{callers, d.server(d.file.Gateway.Ready, d.readyHandler(), nil)}
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
	d.log.Info().Str("address", d.file.Gateway.Caller).Str("hall", d.file.Hall).Bool("first_start", d.file.Gateway.FirstStart).Msg("gateway serves")
	for {
		select {
		case err := <-failed:
			return err
		case <-hangup.Received():
			d.reload()
		case <-signals:
			d.stop(callers)
			cancel()
			<-stopped
			d.log.Info().Msg("gateway stopped")
			return nil
		}
	}
}

// reload validates the settings file again. Changes take effect at the next
// start: no setting may change while the gateway serves requests.
func (d *daemon) reload() {
	file, err := load(d.path)
	if err != nil {
		d.log.Error().Err(err).Msg("settings are invalid; the previous ones remain in force")
		return
	}
	d.log.Info().Bool("changed", !reflect.DeepEqual(file.Gateway, d.file.Gateway)).Msg("settings read again")
}

// stop drains the gateway without aborting requests. It reports not ready at
// once, accepts connections until the load balancer has noticed, then closes idle
// connections and waits for running requests until the stop time-out. A process
// that is starved of processor time has handled the signal about as late as its
// sleeps end.
func (d *daemon) stop(callers *ingress.Server) {
	start, late := time.Now(), time.Duration(0)
	sleep := func(wait time.Duration) {
		from := time.Now()
		time.Sleep(wait)
		late = max(late, time.Since(from)-wait)
	}
	limit := d.file.Gateway.StopTimeout.Or(defaultStopTimeout) - stopMargin
	d.log.Info().Int("running", d.gateway.Running()).Msg("gateway stopping")
	d.gateway.Drain(grace.Stop{Open: start.Add(lingerWait), End: start.Add(limit)})
	callers.CloseAfterResponses()
	sleep(min(lingerWait, limit))
	callers.Stop()
	for {
		over := time.Since(start)+late >= limit
		if (over || callers.Idle()) && d.gateway.Close(over) {
			break
		}
		sleep(stopPoll)
	}
	callers.ReportCut()
	d.log.Info().Int("running", d.gateway.Running()).Dur("took_ms", time.Since(start)).Msg("gateway drained")
}

// server returns a server of handler at address; limits may be nil.
func (d *daemon) server(address string, handler http.Handler, limits func() ingress.Limits) *ingress.Server {
	return &ingress.Server{
		Address: address, Handler: handler, Limits: limits, ErrorLog: stdlog.New(errorLog{d.log}, "", 0),
	}
}

// readyHandler returns a handler that answers 200 while the gateway is ready and 503 otherwise.
func (d *daemon) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !d.gateway.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// callerLimits returns the configured limits on callers' connections. While the gateway is not ready,
// callers are to open new connections, which the load balancer directs elsewhere.
func (d *daemon) callerLimits() ingress.Limits {
	l := d.gateway.CallerLimits()
	return ingress.Limits{
		MaxIdle: l.IdleTimeout, MaxHeaderBytes: l.HeaderBytes, ReadHeaderTimeout: l.HeaderTimeout, Retire: !d.gateway.Ready(),
	}
}

// callerBudget returns the budget for what is held for callers.
func (d *daemon) callerBudget() *memory.Budget {
	s := d.file.Gateway
	megabytes, descriptors := cmp.Or(s.MemoryMegabytes, defaultMegabytes), float64(s.Descriptors)
	if s.Descriptors == 0 {
		descriptors = math.MaxInt32
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
			descriptors = min(descriptors, float64(limit.Cur))
		}
	}
	return &memory.Budget{
		Limit: int64(megabytes * bytesPerMegabyte * callerMemory), MaxShares: max(int(descriptors*callerDescriptors), 1),
	}
}

// unanswered logs and counts a caller's connection that was closed without a whole response or request.
func (d *daemon) unanswered(u ingress.Unanswered) {
	d.metrics.Unanswered(u.Reason)
	id := ""
	if u.Request != nil {
		headers, _ := d.gateway.Dialect.RequestHeaders(u.Request.Header) // the ID is known also if another header is invalid
		id = headers.ID
	}
	d.log.Info().Str("request", id).Str("reason", u.Reason).Int64("sent_bytes", u.Sent).AnErr("error", u.Err).
		Msg("connection closed without a whole response")
}

// errorLog forwards the error lines of an HTTP server to the process log.
type errorLog struct{ log zerolog.Logger }

// Write logs line at debug level.
func (l errorLog) Write(line []byte) (int, error) {
	l.log.Debug().Str("detail", string(line)).Msg("HTTP server error")
	return len(line), nil
}

// admin returns a handler that serves the metrics and the state of the overload control.
func (d *daemon) admin() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.metrics.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(d.gateway.Load()) // fails only if the client is gone
	})
	return mux
}
