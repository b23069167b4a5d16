package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Gateway is the metrics of a gateway. Make one with NewGateway. All labels are
// closed sets.
type Gateway struct {
	// Registry has all of them.
	Registry *prometheus.Registry

	ended       *prometheus.CounterVec
	first       *prometheus.HistogramVec
	total       *prometheus.HistogramVec
	pause       prometheus.Histogram
	retries     *prometheus.CounterVec
	checks      *prometheus.CounterVec
	orders      *prometheus.CounterVec
	held        *prometheus.CounterVec
	quarantine  *prometheus.CounterVec
	platform    *prometheus.CounterVec
	store       *prometheus.CounterVec
	digests     *prometheus.CounterVec
	fleet       *prometheus.GaugeVec
	revision    prometheus.Gauge
	connections prometheus.Counter
	dropped     prometheus.Counter
}

// gatewayBuckets reach from a hop to a caller's patience, in seconds.
var gatewayBuckets = prometheus.ExponentialBuckets(0.005, 2, 13)

// NewGateway returns the metrics in a registry of their own.
func NewGateway() *Gateway {
	m := &Gateway{
		Registry: prometheus.NewRegistry(),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_requests_total", Help: "Requests by kind and outcome.",
		}, []string{"kind", "outcome"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "gateway_first_seconds", Help: "Time to the first byte of an answer.",
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
			Namespace: namespace, Name: "gateway_retries_total", Help: "Sends after the first, by cause.",
		}, []string{"cause"}),
		checks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_checks_total", Help: "Checks whether an endpoint lives, by result.",
		}, []string{"result"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_orders_total", Help: "Orders to endpoints, by result.",
		}, []string{"result"}),
		held: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_held_total",
			Help: "Requests that an endpoint does not take for now, by its reason: limit, rest or leaving.",
		}, []string{"reason"}),
		quarantine: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_quarantine_total",
			Help: "Events of the requests under which endpoints have ended.",
		}, []string{"event"}),
		platform: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_platform_calls_total", Help: "Calls of the controls of endpoints.",
		}, []string{"kind"}),
		store: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_store_calls_total",
			Help: "Calls of the store by kind and result: done, refused or unanswered.",
		}, []string{"kind", "result"}),
		digests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_digest_bytes_total",
			Help: "Bytes of digests for other gateways, by whether they were sent or dropped for their part of the link.",
		}, []string{"fate"}),
		fleet: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "gateway_endpoints", Help: "Endpoints that this gateway knows of: open or leaving.",
		}, []string{"state"}),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "gateway_store_revision", Help: "Revision up to which this gateway knows the store.",
		}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_connections_total", Help: "Connections opened to endpoints.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_log_lines_dropped_total", Help: "Log lines that nobody read in time.",
		}),
	}
	m.Registry.MustRegister(
		m.ended, m.first, m.total, m.pause, m.retries, m.checks, m.orders, m.held, m.quarantine, m.platform, m.store, m.digests, m.fleet, m.revision, m.connections, m.dropped)
	return m
}

// Connection counts a new connection to an endpoint.
func (m *Gateway) Connection() { m.connections.Inc() }

// Request counts a request that ended.
func (m *Gateway) Request(kind, outcome string, first, total time.Duration) {
	m.ended.WithLabelValues(kind, outcome).Inc()
	m.total.WithLabelValues(kind).Observe(total.Seconds())
	if first > 0 {
		m.first.WithLabelValues(kind).Observe(first.Seconds())
	}
}

// Pause notes the longest pause of a stream.
func (m *Gateway) Pause(d time.Duration) { m.pause.Observe(d.Seconds()) }

// Retry counts a second send.
func (m *Gateway) Retry(cause string) { m.retries.WithLabelValues(cause).Inc() }

// Check counts a check whether an endpoint lives.
func (m *Gateway) Check(result string) { m.checks.WithLabelValues(result).Inc() }

// Digest counts the bytes of a digest for another gateway.
func (m *Gateway) Digest(bytes int, dropped bool) {
	fate := "sent"
	if dropped {
		fate = "dropped"
	}
	m.digests.WithLabelValues(fate).Add(float64(bytes))
}

// Fleet notes how many endpoints take new work, and how many are leaving.
func (m *Gateway) Fleet(open, leaving int) {
	m.fleet.WithLabelValues("open").Set(float64(open))
	m.fleet.WithLabelValues("leaving").Set(float64(leaving))
}

// Store notes up to which revision the store is known.
func (m *Gateway) Store(revision uint64) { m.revision.Set(float64(revision)) }

// Order counts an order.
func (m *Gateway) Order(result string) { m.orders.WithLabelValues(result).Inc() }

// Held counts a request that an endpoint does not take for now.
func (m *Gateway) Held(reason string) { m.held.WithLabelValues(reason).Inc() }

// Quarantine counts an event of the requests under which endpoints have ended.
func (m *Gateway) Quarantine(event string) { m.quarantine.WithLabelValues(event).Inc() }

// StoreCall counts a call of the store.
func (m *Gateway) StoreCall(kind, result string) { m.store.WithLabelValues(kind, result).Inc() }

// PlatformCall counts a call of an endpoint's controls.
func (m *Gateway) PlatformCall(kind string) { m.platform.WithLabelValues(kind).Inc() }

// Dropped counts log lines that were dropped.
func (m *Gateway) Dropped(n int) { m.dropped.Add(float64(n)) }
