// Package meter holds the metrics of the processes. Labels are bounded by the
// configuration: teams, services, and closed sets.
package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Entry is the metrics of an entry. Make one with NewEntry.
type Entry struct {
	// Registry has all of them.
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

// latencyBuckets reach from a step to a deadline, in seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 16)

// NewEntry returns the metrics in a registry of their own.
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
	m.ended = counter("requests_total", "Requests by their end.", "team", "service", "outcome", "code")
	m.tokens = counter("tokens_total", "Tokens given to callers.", "team", "service")
	m.rebuilds = counter("chain_rebuilds_total", "Attempts after the first, by cause.", "cause")
	m.platform = counter("platform_calls_total", "Calls of the platform's service.", "kind")
	m.queueing = histogram("queue_seconds", "Time until a request got a chain.")
	m.first = histogram("first_token_seconds", "Time until the first token.")
	m.between = histogram("between_tokens_seconds", "Time between two tokens.")
	m.revision = gauge("config_revision", "Revision of the configuration in force.")
	m.endpoints = gauge("endpoints", "Endpoints known.")
	return m
}

// Ended counts the end of a request. Code is empty for a request that is done.
func (m *Entry) Ended(team, service, outcome, code string) {
	m.ended.WithLabelValues(team, service, outcome, code).Inc()
}

// Queued notes how long a request waited for a chain.
func (m *Entry) Queued(service string, d time.Duration) {
	m.queueing.WithLabelValues(service).Observe(d.Seconds())
}

// Token counts a token that came d after the one before it, or after the start
// of the request when it is the first.
func (m *Entry) Token(team, service string, first bool, d time.Duration) {
	m.tokens.WithLabelValues(team, service).Inc()
	times := m.between
	if first {
		times = m.first
	}
	times.WithLabelValues(service).Observe(d.Seconds())
}

// Rebuilt counts an attempt after the first.
func (m *Entry) Rebuilt(cause string) {
	m.rebuilds.WithLabelValues(cause).Inc()
}

// PlatformCall counts a call of the platform's service.
func (m *Entry) PlatformCall(kind string) {
	m.platform.WithLabelValues(kind).Inc()
}

// Revision notes the revision in force.
func (m *Entry) Revision(revision uint64) {
	m.revision.Set(float64(revision))
}

// Endpoints notes the number of endpoints known.
func (m *Entry) Endpoints(n int) {
	m.endpoints.Set(float64(n))
}
