// Package meter holds the Prometheus metrics of the processes. Label values are bounded: each
// is the name of a team or service in the configuration, or one of a fixed set.
//
// Create the metrics with NewEntry or NewGateway and expose their Registry.
package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Entry holds the metrics of an entry. Create it with NewEntry.
type Entry struct {
	// Registry contains all metrics of the entry.
	Registry *prometheus.Registry

	ended     *prometheus.CounterVec
	tokens    *prometheus.CounterVec
	queueing  *prometheus.HistogramVec
	first     *prometheus.HistogramVec
	between   *prometheus.HistogramVec
	rebuilds  *prometheus.CounterVec
	platform  *prometheus.CounterVec
	revision  prometheus.Gauge
	endpoints prometheus.Gauge
}

const namespace = "grademill"

// latencyBuckets are histogram buckets in seconds, from the time of one step to a deadline.
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 16)

// NewEntry returns the metrics of an entry in a new registry.
func NewEntry() *Entry {
	m := &Entry{Registry: prometheus.NewRegistry()}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
		m.Registry.MustRegister(v)
		return v
	}
	histogram := func(name, help string) *prometheus.HistogramVec {
		v := prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets,
		}, []string{"service"})
		m.Registry.MustRegister(v)
		return v
	}
	gauge := func(name, help string) prometheus.Gauge {
		v := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
		m.Registry.MustRegister(v)
		return v
	}
	m.ended = counter("requests_total", "Requests that ended, by outcome.", "team", "service", "outcome", "code")
	m.tokens = counter("tokens_total", "Tokens sent to callers.", "team", "service")
	m.rebuilds = counter("chain_rebuilds_total", "Attempts after the first of a request, by cause.", "cause")
	m.platform = counter("platform_calls_total", "Calls to the platform's key-value service.", "kind")
	m.queueing = histogram("queue_seconds", "Time that a request waited for a chain.")
	m.first = histogram("first_token_seconds", "Time until the first token.")
	m.between = histogram("between_tokens_seconds", "Time between two tokens.")
	m.revision = gauge("config_revision", "Revision of the configuration in force.")
	m.endpoints = gauge("endpoints", "Known endpoints.")
	return m
}

// Ended counts a request that ended. Code is empty for a request that succeeded.
func (m *Entry) Ended(team, service, outcome, code string) {
	m.ended.WithLabelValues(team, service, outcome, code).Inc()
}

// Queued records how long a request waited for a chain.
func (m *Entry) Queued(service string, d time.Duration) {
	m.queueing.WithLabelValues(service).Observe(d.Seconds())
}

// Token counts a token that came d after the previous one, or after the start of the request
// if it is the first.
func (m *Entry) Token(team, service string, first bool, d time.Duration) {
	m.tokens.WithLabelValues(team, service).Inc()
	times := m.between
	if first {
		times = m.first
	}
	times.WithLabelValues(service).Observe(d.Seconds())
}

// Rebuilt counts an attempt after the first of a request.
func (m *Entry) Rebuilt(cause string) {
	m.rebuilds.WithLabelValues(cause).Inc()
}

// PlatformCall counts a call to the platform's key-value service.
func (m *Entry) PlatformCall(kind string) {
	m.platform.WithLabelValues(kind).Inc()
}

// Revision records the revision of the configuration in force.
func (m *Entry) Revision(revision uint64) {
	m.revision.Set(float64(revision))
}

// Endpoints records the number of known endpoints.
func (m *Entry) Endpoints(n int) {
	m.endpoints.Set(float64(n))
}
