// Package retry bounds second tries, so that a fault cannot turn into a storm.
package retry

import "time"

// Budget allows retries up to a share of the first tries of the last window,
// plus a small reserve. The bound holds for every span of the length of the
// window. The zero Budget allows none. It is not safe for concurrent use.
type Budget struct {
	// Share is the part of first tries that may be retried, such as 0.1.
	Share float64
	// Window is how long a first try counts.
	Window time.Duration
	// Reserve is the number of retries allowed in a window without any first
	// try, for processes with little traffic.
	Reserve int

	// again are the retries of the last window, the oldest first: no more than
	// have been allowed.
	again []time.Time
	first [parts]int
	// at is the number of the newest part since the zero time.
	at int64
}

// parts is the number of parts of a window in which first tries are counted. The
// count leaves out up to one part of the window, and never holds more than the
// window.
const parts = 16

// First counts a first try at now.
func (b *Budget) First(now time.Time) {
	b.turn(now)
	b.first[b.at%parts]++
}

// Allow reports whether one more retry may start at now, and counts it.
func (b *Budget) Allow(now time.Time) bool {
	b.turn(now)
	first := 0
	for _, n := range b.first {
		first += n
	}
	if float64(len(b.again)) >= b.Share*float64(first)+float64(b.Reserve) {
		return false
	}
	b.again = append(b.again, now)
	return true
}

// Return gives back the retry that was allowed last, since it did not start.
func (b *Budget) Return() {
	if n := len(b.again); n > 0 {
		b.again = b.again[:n-1]
	}
}

// turn drops what is older than the window.
func (b *Budget) turn(now time.Time) {
	old := 0
	for old < len(b.again) && now.Sub(b.again[old]) >= b.Window {
		old++
	}
	b.again = append(b.again[:0], b.again[old:]...)
	at := now.UnixNano() / max(int64(b.Window/parts), 1)
	for i := max(b.at+1, at-parts+1); i <= at; i++ {
		b.first[i%parts] = 0
	}
	b.at = max(b.at, at)
}
