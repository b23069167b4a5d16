package site

import (
	"net/http"
	"strconv"
	"time"
)

// Signals is what an endpoint reports about itself in the headers of its answers.
type Signals struct {
	// Limit is the number of requests a second that the endpoint accepts from all gateways
	// together; 0 sends no limit. If Above is set, the endpoint sends the limit only while it
	// runs more than Above streams.
	Limit float64
	Above int
	// RetryAfter is the backoff period: the endpoint refuses every request and asks with Retry-After
	// for this delay; 0 for none.
	RetryAfter time.Duration
	// Leaving is whether the endpoint announces that it is about to end.
	Leaving bool
}

// SetSignals sets what the endpoint reports in its answers from now on.
func (e *Endpoint) SetSignals(s Signals) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.signals, e.limitSentAt = s, time.Time{}
}

// CurrentSignals returns what the endpoint reports in its answers.
func (e *Endpoint) CurrentSignals() Signals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.signals
}

// LimitSentAt returns when the endpoint first sent the limit set by the latest SetSignals; zero if it has not
// sent it.
func (e *Endpoint) LimitSentAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limitSentAt
}

// setSignalHeaders sets the headers of an answer that carry the endpoint's report, and reports whether
// the endpoint refuses the request.
func (e *Endpoint) setSignalHeaders(h http.Header) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.signals
	if s.Limit > 0 && (s.Above == 0 || len(e.running) > s.Above) {
		h.Set("Server-Limit", strconv.FormatFloat(s.Limit, 'f', -1, 64))
		if e.limitSentAt.IsZero() {
			e.limitSentAt = time.Now()
		}
	}
	if s.Leaving {
		h.Set("Server-Leaving", "1")
	}
	if s.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(s.RetryAfter.Seconds(), 'f', -1, 64))
	}
	return s.RetryAfter > 0
}

// LimitSpan is the time window in which an endpoint that sends a limit may get at most Allowed
// requests. The rule holds from LimitGrace after the endpoint first sent the limit, by when all
// gateways must have learnt of it.
const (
	LimitSpan  = 4 * time.Second
	LimitGrace = 3 * time.Second
)

// Allowed returns the largest number of requests that an endpoint with a limit in requests per second
// may get within LimitSpan: 1.5 times the number that the limit allows in that time, plus five.
func Allowed(limit float64) int {
	return int(1.5*limit*LimitSpan.Seconds()) + 5
}

// An endpoint that has asked for a backoff period may get at most RetryAfterSlack requests between
// RetryAfterGrace after it asked and the end of the period. An endpoint that has announced that it is
// leaving may get requests for at most LeavingGrace after that.
const (
	RetryAfterGrace = 500 * time.Millisecond
	RetryAfterSlack = 2
	LeavingGrace    = 2 * time.Second
)

// MaxWithinBackoff returns the largest number of requests that arrived in one backoff period, not
// counting those within RetryAfterGrace of its start. Each of times, in ascending order, begins a period
// of length backoff.
func MaxWithinBackoff(times []time.Time, backoff time.Duration) int {
	most := 0
	for i, asked := range times {
		n := 0
		for _, at := range times[i+1:] {
			if d := at.Sub(asked); d > RetryAfterGrace && d < backoff {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// MaxWithin returns the largest number of times, which are in ascending order, that lie within one span.
func MaxWithin(times []time.Time, span time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
