// Package retry bounds second tries, so that a fault cannot turn into a storm.
package retry

import "time"

// Budget allows retries up to a share of the first tries of the last window,
// plus a small reserve. The zero Budget allows none. It is not safe for
// concurrent use.
type Budget struct {
	// Share is the part of first tries that may be retried, such as 0.1.
	Share float64
	// Window is how long a first try counts.
	Window time.Duration
	// Reserve is the number of retries allowed in a window without any first
	// try, for processes with little traffic.
	Reserve int

	now, before slot
	start       time.Time
}

// slot counts one half of the window.
type slot struct {
	first, again int
}

// First counts a first try at now.
func (b *Budget) First(now time.Time) {
	b.turn(now)
	b.now.first++
}

// Allow reports whether one more retry may start at now, and counts it.
func (b *Budget) Allow(now time.Time) bool {
	b.turn(now)
	first := b.now.first + b.before.first
	again := b.now.again + b.before.again
	if float64(again) >= b.Share*float64(first)+float64(b.Reserve) {
		return false
	}
	b.now.again++
	return true
}

// turn moves to the half window that holds now.
func (b *Budget) turn(now time.Time) {
	half := b.Window / 2
	age := now.Sub(b.start)
	switch {
	case age < half:
		return
	case age < b.Window:
		b.before = b.now
	default:
		b.before = slot{}
	}
	b.now = slot{}
	b.start = now
}
