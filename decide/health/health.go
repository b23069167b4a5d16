// Package health rates an endpoint by the results of the requests sent to it, not by the endpoint's
// own reports.
package health

import (
	"time"

	"github.com/grademill/grademill/decide/backoff"
)

// Parameters of the rating.
const (
	// failureWeight is the weight of the latest request in the share of failures, which thus
	// reflects about the last ten requests.
	failureWeight = 0.1
	// dropThreshold is the number of consecutive requests without an answer after which an endpoint
	// is avoided.
	dropThreshold = 3
	// errorThreshold is the number of consecutive errors after which an endpoint of a model is avoided.
	errorThreshold = 3
)

// avoidBackoff is how long an endpoint is avoided after it could not be reached. A restarted
// process is back within seconds.
var avoidBackoff = backoff.Backoff{Base: 300 * time.Millisecond, Max: 2400 * time.Millisecond}

// Record is the health of an endpoint. It is immutable; the zero Record is that of an endpoint
// without faults.
type Record struct {
	// FailureRate is the share of recent requests that failed, from 0 to 1.
	FailureRate float64
	// losses counts consecutive failures to reach the endpoint.
	losses streak
	// drops counts consecutive requests that the endpoint accepted without answering. Only an
	// answer resets it, because earlier requests may still succeed.
	drops streak
	// errors counts consecutive requests of a model that the endpoint answered with an error. Only a
	// request that it accepts later resets it.
	errors streak
}

// streak is a number of consecutive faults of one kind.
type streak struct {
	n int
	// until is the end of the avoidance.
	until time.Time
}

// with returns the streak after another fault at now. The endpoint is not avoided for the first
// tolerated faults.
func (r streak) with(now time.Time, tolerated int) streak {
	r.n++
	if r.n > tolerated {
		r.until = now.Add(avoidBackoff.Delay(r.n-tolerated, 0))
	}
	return r
}

// WithSuccess returns the record after a request succeeded.
func (r Record) WithSuccess() Record {
	return Record{FailureRate: r.FailureRate * (1 - failureWeight), drops: r.drops, errors: r.errors}
}

// WithAnswer returns the record after the endpoint began to answer a request.
func (r Record) WithAnswer() Record {
	r.drops = streak{}
	return r
}

// WithDrop returns the record after the endpoint closed the connection of a request at now without
// an answer. One such request tells nothing about others; from the third in a row the endpoint is
// avoided for a while. Without this, a first endpoint that dropped requests but passed its checks
// was sent some 90 requests per second for four seconds, until the retry budgets of all gateways
// were used up and 142 requests had failed.
func (r Record) WithDrop(now time.Time) Record {
	r = r.WithFailure()
	r.drops = r.drops.with(now, dropThreshold-1)
	return r
}

// WithError returns the record after the endpoint answered a request of a model with an error at now.
// From the third in a row the endpoint is avoided for a while. An error comes at once, so an endpoint
// that answers with nothing else seems idle and attracts the requests of its hall: one failed 1,273
// in six seconds.
func (r Record) WithError(now time.Time) Record {
	r = r.WithFailure()
	r.errors = r.errors.with(now, errorThreshold-1)
	return r
}

// WithoutErrors returns the record after the endpoint accepted a request of a model.
func (r Record) WithoutErrors() Record {
	r.errors = streak{}
	return r
}

// WithFailure returns the record after the endpoint failed a request.
func (r Record) WithFailure() Record {
	r.FailureRate += failureWeight * (1 - r.FailureRate)
	return r
}

// WithLoss returns the record after the endpoint could not be reached, stopped responding or closed
// a connection at now.
func (r Record) WithLoss(now time.Time) Record {
	r = r.WithFailure()
	r.losses = r.losses.with(now, 0)
	return r
}

// Avoided reports whether the endpoint is avoided at now.
func (r Record) Avoided(now time.Time) bool {
	return now.Before(r.losses.until) || now.Before(r.drops.until) || now.Before(r.errors.until)
}
