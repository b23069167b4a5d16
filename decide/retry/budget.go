// Package retry bounds the number of retries relative to first attempts, so that a fault cannot
// cause a retry storm.
package retry

import (
	"slices"
	"time"
)

// Budget allows retries up to a fraction of the first attempts in the last window, plus a small
// reserve. The bound holds for the retries that arrive in any span as long as the window: a retry
// counts from when it is allowed until a window after it can last have arrived. The zero Budget
// allows none. It is not safe for concurrent use.
type Budget struct {
	// Share is the fraction of first attempts that may be retried, such as 0.1.
	Share float64
	// Window is how long a first attempt counts, and how long a retry counts after it was sent.
	Window time.Duration
	// Reserve is the number of retries allowed in a window without any first attempt, for processes
	// with little traffic.
	Reserve int

	// pending is the number of retries that are allowed and neither sent nor given back.
	pending int
	// sent holds when retries that still count have arrived at the latest.
	sent  []time.Time
	first [buckets]int
	// origin is the time of the first use, at the index of the latest bucket, counted from there.
	// Differences of times are not affected by a step of the time of day.
	origin time.Time
	at     int64
}

// buckets is the number of buckets in which the first attempts of a window are counted. The count
// may omit up to one bucket's time, and never covers more than the window.
const buckets = 16

// CountFirstAttempt counts a first attempt at now.
func (b *Budget) CountFirstAttempt(now time.Time) {
	b.expire(now)
	b.first[b.at%buckets]++
}

// Allow reports whether one more retry is allowed at now and, if so, counts it as pending. Each
// retry that was allowed is ended by one call of Sent or Return.
func (b *Budget) Allow(now time.Time) bool {
	s := b.State(now)
	if float64(s.Pending+s.Sent) >= s.Allowed {
		return false
	}
	b.pending++
	return true
}

// Sent records that a pending retry was sent, and arrives at the given time at the latest. It counts
// until a window after that.
func (b *Budget) Sent(arrival time.Time) {
	b.pending--
	b.sent = append(b.sent, arrival)
}

// Return gives back a pending retry that was not sent.
func (b *Budget) Return() {
	b.pending--
}

// State returns what the budget counts at now.
func (b *Budget) State(now time.Time) State {
	b.expire(now)
	s := State{Pending: b.pending, Sent: len(b.sent)}
	for _, n := range b.first {
		s.FirstAttempts += n
	}
	s.Allowed = b.Share*float64(s.FirstAttempts) + float64(b.Reserve)
	return s
}

// expire drops retries and buckets older than the window.
func (b *Budget) expire(now time.Time) {
	b.sent = slices.DeleteFunc(b.sent, func(at time.Time) bool { return now.Sub(at) >= b.Window })
	if b.origin.IsZero() {
		b.origin = now
	}
	at := int64(now.Sub(b.origin) / max(b.Window/buckets, 1))
	for i := max(b.at+1, at-buckets+1); i <= at; i++ {
		b.first[i%buckets] = 0
	}
	b.at = max(b.at, at)
}
