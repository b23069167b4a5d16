// Package health judges an endpoint by what became of the requests that were
// sent to it, and not by what it says of itself.
package health

import (
	"time"

	"github.com/grademill/grademill/decide/backoff"
)

// The figures of the judgement.
const (
	// fade is the weight of the newest request in the share of failures: some
	// ten requests make an endpoint's name.
	fade = 0.1
	// enoughDrops is the number of requests in a row without an answer from which an
	// endpoint is passed over.
	enoughDrops = 3
)

// lossWait is how long an endpoint is passed over after it could not be reached. A
// restarted process is back within seconds.
var lossWait = backoff.Backoff{Base: 300 * time.Millisecond, Max: 2400 * time.Millisecond}

// Record is what is remembered of an endpoint. It is immutable; the zero Record
// is that of an endpoint without a fault.
type Record struct {
	// Failing is the share of the recent requests that failed, from 0 to 1.
	Failing float64
	// lost are the times in a row that it could not be reached.
	lost row
	// dropped are the requests in a row that it took and gave no answer to. Only an answer
	// ends them: what began before may still end well.
	dropped row
}

// row is what an endpoint did wrong in a row.
type row struct {
	n int
	// until is when it may be tried again.
	until time.Time
}

// with returns the row after one more at now, of which the first few are pardoned.
func (r row) with(now time.Time, pardoned int) row {
	r.n++
	if r.n > pardoned {
		r.until = now.Add(lossWait.Delay(r.n-pardoned, 0))
	}
	return r
}

// WithSuccess returns the record after a request that was answered.
func (r Record) WithSuccess() Record {
	return Record{Failing: r.Failing * (1 - fade), dropped: r.dropped}
}

// WithAnswer returns the record after the endpoint has begun to answer a request.
func (r Record) WithAnswer() Record {
	r.dropped = row{}
	return r
}

// WithDrop returns the record after the endpoint ended the connection of a request at now
// without an answer. One such request says nothing of others; from the third in a row it is
// passed over for a while: a first endpoint that did so while its checks were passed was
// sent some 90 requests a second for four seconds, until the retries of all were used up
// and 142 had failed.
func (r Record) WithDrop(now time.Time) Record {
	r = r.WithFailure()
	r.dropped = r.dropped.with(now, enoughDrops-1)
	return r
}

// WithFailure returns the record after a request that the endpoint failed.
func (r Record) WithFailure() Record {
	r.Failing += fade * (1 - r.Failing)
	return r
}

// WithLoss returns the record after the endpoint could not be reached, fell
// silent or broke off at now.
func (r Record) WithLoss(now time.Time) Record {
	r = r.WithFailure()
	r.lost = r.lost.with(now, 0)
	return r
}

// Avoided reports whether the endpoint is passed over at now.
func (r Record) Avoided(now time.Time) bool {
	return now.Before(r.lost.until) || now.Before(r.dropped.until)
}
