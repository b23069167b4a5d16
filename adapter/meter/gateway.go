package meter

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Gateway holds the metrics of a gateway. Create it with NewGateway. Each label has a fixed
// set of values.
type Gateway struct {
	// Registry contains all metrics of the gateway.
	Registry *prometheus.Registry

	ended       *prometheus.CounterVec
	first       *prometheus.HistogramVec
	total       *prometheus.HistogramVec
	pause       prometheus.Histogram
	retries     *prometheus.CounterVec
	noRetry     *prometheus.CounterVec
	checks      *prometheus.CounterVec
	orders      *prometheus.CounterVec
	held        *prometheus.CounterVec
	quarantine  *prometheus.CounterVec
	unanswered  *prometheus.CounterVec
	platform    *prometheus.CounterVec
	store       *prometheus.CounterVec
	digests     *prometheus.CounterVec
	endpoints   *prometheus.GaugeVec
	revision    prometheus.Gauge
	keys        *prometheus.GaugeVec
	load        *prometheus.GaugeVec
	hallParts   *prometheus.GaugeVec
	shed        *prometheus.CounterVec
	connections prometheus.Counter
	exceeded    prometheus.Counter
	broken      prometheus.Counter
	dropped     prometheus.Counter
	faults      prometheus.Counter
}

// gatewayBuckets are histogram buckets in seconds, from one network hop to the longest time
// that callers wait.
var gatewayBuckets = prometheus.ExponentialBuckets(0.005, 2, 13)

// NewGateway returns the metrics of a gateway in a new registry.
func NewGateway() *Gateway {
	m := &Gateway{
		Registry: prometheus.NewRegistry(),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_requests_total", Help: "Requests by kind and outcome.",
		}, []string{"kind", "outcome"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "gateway_first_seconds", Help: "Time to the first byte of a response.",
			Buckets: gatewayBuckets,
		}, []string{"kind"}),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "gateway_total_seconds", Help: "Time to the end of a request.",
			Buckets: gatewayBuckets,
		}, []string{"kind"}),
		pause: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "gateway_pause_seconds", Help: "Longest pause between two events of a stream.",
			Buckets: gatewayBuckets,
		}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_retries_total", Help: "Requests sent to an endpoint again, by cause.",
		}, []string{"cause"}),
		noRetry: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_retries_refused_total", Help: "Requests that the retry budget allowed no retry, by reason.",
		}, []string{"reason"}),
		checks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_checks_total", Help: "Checks whether an endpoint is alive, by result.",
		}, []string{"result"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_orders_total", Help: "Orders sent to endpoints, by result.",
		}, []string{"result"}),
		held: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_held_total",
			Help: "Requests held back from an endpoint, by reason: limit, rest (backoff period) or leaving.",
		}, []string{"reason"}),
		unanswered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_unanswered_total", Help: "Connections of callers closed without a whole response, by reason.",
		}, []string{"reason"}),
		quarantine: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_quarantine_total",
			Help: "Events of requests during which endpoints ended.",
		}, []string{"event"}),
		platform: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_platform_calls_total", Help: "Calls to the control interfaces of endpoints.",
		}, []string{"kind"}),
		store: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_store_calls_total",
			Help: "Calls to the store, by kind and result: done, refused or unanswered.",
		}, []string{"kind", "result"}),
		digests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_digest_bytes_total",
			Help: "Bytes of digests for other gateways, sent or dropped to stay within their share of the link.",
		}, []string{"fate"}),
		endpoints: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "gateway_endpoints", Help: "Endpoints known to this gateway, by state: open or leaving.",
		}, []string{"state"}),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "gateway_store_revision", Help: "Latest store revision known to this gateway.",
		}),
		keys: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "gateway_keys", Help: "API keys of the configuration in force, by whether requests need one.",
		}, []string{"required"}),
		load: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "gateway_fleet_load",
			Help: "Load of a model service in the whole fleet: capacity (estimated), offered and admitted in requests per second, and shedding (1 or 0).",
		}, []string{"service", "value"}),
		hallParts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "gateway_hall_part",
			Help: "Part of the demand of this gateway's hall for a model service that is directed to a hall.",
		}, []string{"service", "hall"}),
		shed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_shed_total",
			Help: "Requests refused because the fleet has no room for their class, by service and caller: new or returning.",
		}, []string{"service", "caller"}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_connections_total", Help: "Connections opened to endpoints.",
		}),
		exceeded: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_answers_exceeded_total",
			Help: "Answers of endpoints that exceeded a bound: a head, a body or an event that is too long.",
		}),
		broken: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_answers_broken_total",
			Help: "Answers of endpoints that are not well-formed, or whose connection was reset before the request was written.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_log_lines_dropped_total", Help: "Log lines dropped because their reader was too slow.",
		}),
		faults: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_faults_total", Help: "Computations for a request that failed with a panic.",
		}),
	}
	m.Registry.MustRegister(
		m.ended, m.first, m.total, m.pause, m.retries, m.noRetry, m.checks, m.orders, m.held, m.quarantine, m.unanswered, m.platform, m.store, m.digests, m.endpoints, m.revision, m.keys, m.load, m.hallParts, m.shed,
		m.connections, m.exceeded, m.broken, m.dropped, m.faults)
	return m
}

// Connection counts a new connection to an endpoint.
func (m *Gateway) Connection() { m.connections.Inc() }

// Exceeded counts an answer of an endpoint that exceeded a bound.
func (m *Gateway) Exceeded() { m.exceeded.Inc() }

// Broken counts an answer of an endpoint that is broken.
func (m *Gateway) Broken() { m.broken.Inc() }

// Request counts a request that ended, with the times to its first byte and its end. A first
// of 0 means that no byte was sent.
func (m *Gateway) Request(kind, outcome string, first, total time.Duration) {
	m.ended.WithLabelValues(kind, outcome).Inc()
	m.total.WithLabelValues(kind).Observe(total.Seconds())
	if first > 0 {
		m.first.WithLabelValues(kind).Observe(first.Seconds())
	}
}

// Pause records the longest pause of a stream.
func (m *Gateway) Pause(d time.Duration) { m.pause.Observe(d.Seconds()) }

// Retry counts a request that is sent again.
func (m *Gateway) Retry(cause string) { m.retries.WithLabelValues(cause).Inc() }

// RetryRefused counts a request that the retry budget allowed no retry.
func (m *Gateway) RetryRefused(reason string) { m.noRetry.WithLabelValues(reason).Inc() }

// Check counts a check whether an endpoint is alive.
func (m *Gateway) Check(result string) { m.checks.WithLabelValues(result).Inc() }

// Digest counts the bytes of a digest for another gateway, sent or dropped.
func (m *Gateway) Digest(bytes int, dropped bool) {
	fate := "sent"
	if dropped {
		fate = "dropped"
	}
	m.digests.WithLabelValues(fate).Add(float64(bytes))
}

// Endpoints records how many endpoints accept new requests and how many are leaving.
func (m *Gateway) Endpoints(open, leaving int) {
	m.endpoints.WithLabelValues("open").Set(float64(open))
	m.endpoints.WithLabelValues("leaving").Set(float64(leaving))
}

// Keys records the number of API keys of the configuration in force, and whether requests need one.
func (m *Gateway) Keys(n int, required bool) {
	m.keys.Reset()
	m.keys.WithLabelValues(strconv.FormatBool(required)).Set(float64(n))
}

// Store records the latest known store revision.
func (m *Gateway) Store(revision uint64) { m.revision.Set(float64(revision)) }

// Order counts an order to an endpoint.
func (m *Gateway) Order(result string) { m.orders.WithLabelValues(result).Inc() }

// Held counts a request that is held back from an endpoint.
func (m *Gateway) Held(reason string) { m.held.WithLabelValues(reason).Inc() }

// Fault counts a computation for a request that failed with a panic.
func (m *Gateway) Fault() { m.faults.Inc() }

// Quarantine counts an event of a request during which endpoints ended.
func (m *Gateway) Quarantine(event string) { m.quarantine.WithLabelValues(event).Inc() }

// Memory registers gauges of what is held for callers: the bytes, and the number of their connections.
func (m *Gateway) Memory(used func() (bytes int64, connections int)) {
	gauge := func(name, help string, value func() float64) {
		m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "grademill_gateway_" + name, Help: help}, value))
	}
	gauge("caller_memory_bytes", "Memory held for callers.", func() float64 {
		bytes, _ := used()
		return float64(bytes)
	})
	gauge("caller_connections", "Open connections of callers.", func() float64 {
		_, connections := used()
		return float64(connections)
	})
}

// Unanswered counts a connection of a caller that was closed without a whole response.
func (m *Gateway) Unanswered(reason string) { m.unanswered.WithLabelValues(reason).Inc() }

// Level records the load of a model service in the whole fleet, with rates per second.
func (m *Gateway) Level(service string, capacity, offered, admitted float64, shedding bool) {
	m.load.WithLabelValues(service, "capacity").Set(capacity)
	m.load.WithLabelValues(service, "offered").Set(offered)
	m.load.WithLabelValues(service, "admitted").Set(admitted)
	level := 0.0
	if shedding {
		level = 1
	}
	m.load.WithLabelValues(service, "shedding").Set(level)
}

// HallPart records the part of the demand of this gateway's hall that is directed to a hall.
func (m *Gateway) HallPart(service, hall string, part float64) {
	m.hallParts.WithLabelValues(service, hall).Set(part)
}

// Shed counts a request that is refused because the fleet has no room for its class.
func (m *Gateway) Shed(service string, returning bool) {
	caller := "new"
	if returning {
		caller = "returning"
	}
	m.shed.WithLabelValues(service, caller).Inc()
}

// StoreCall counts a call to the store.
func (m *Gateway) StoreCall(kind, result string) { m.store.WithLabelValues(kind, result).Inc() }

// PlatformCall counts a call to an endpoint's control interface.
func (m *Gateway) PlatformCall(kind string) { m.platform.WithLabelValues(kind).Inc() }

// DroppedLogLines counts dropped log lines.
func (m *Gateway) DroppedLogLines(n int) { m.dropped.Add(float64(n)) }
