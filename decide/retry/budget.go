// Package retry bounds the number of retries relative to first attempts, so that a fault cannot
// cause a retry storm.
package retry

import "time"

// Budget allows retries up to a fraction of the first attempts in the last window, plus a small
// reserve. The bound holds for every span as long as the window. The zero Budget allows none. It is
// not safe for concurrent use.
type Budget struct {
	// Share is the fraction of first attempts that may be retried, such as 0.1.
	Share float64
	// Window is how long a first attempt counts.
	Window time.Duration
	// Reserve is the number of retries allowed in a window without any first attempt, for processes
	// with little traffic.
	Reserve int

	// retries holds the times of the retries allowed in the last window, oldest first.
	retries []time.Time
	first   [buckets]int
	// at is the index of the latest bucket, counted from the Unix epoch.
	at int64
}

// buckets is the number of buckets in which the first attempts of a window are counted. The count
// may omit up to one bucket's time, and never covers more than the window.
const buckets = 16

// CountFirstAttempt counts a first attempt at now.
func (b *Budget) CountFirstAttempt(now time.Time) {
	b.expire(now)
	b.first[b.at%buckets]++
}

// Allow reports whether one more retry may start at now and, if so, counts it.
func (b *Budget) Allow(now time.Time) bool {
	b.expire(now)
	first := 0
	for _, n := range b.first {
		first += n
	}
	if float64(len(b.retries)) >= b.Share*float64(first)+float64(b.Reserve) {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// Refund takes back the latest allowed retry, which did not start.
func (b *Budget) Refund() {
	if n := len(b.retries); n > 0 {
		b.retries = b.retries[:n-1]
	}
}

// expire drops retries and buckets older than the window.
func (b *Budget) expire(now time.Time) {
	old := 0
	for old < len(b.retries) && now.Sub(b.retries[old]) >= b.Window {
		old++
	}
	b.retries = append(b.retries[:0], b.retries[old:]...)
	at := now.UnixNano() / max(int64(b.Window/buckets), 1)
	for i := max(b.at+1, at-buckets+1); i <= at; i++ {
		b.first[i%buckets] = 0
	}
	b.at = max(b.at, at)
}
