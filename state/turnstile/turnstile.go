// Package turnstile counts what is in flight, and closes without letting one slip through.
package turnstile

import "sync/atomic"

// closedCount is far below zero: adding any number of requests keeps it so.
const closedCount = -1 << 40

// Turnstile counts requests in flight, and can be closed without letting one
// slip through. The zero Turnstile is open.
type Turnstile struct {
	n atomic.Int64
}

// Enter counts a request, unless the turnstile is closed.
func (t *Turnstile) Enter() bool {
	if t.n.Add(1) > 0 {
		return true
	}
	t.n.Add(-1)
	return false
}

// Leave takes a request out of the count.
func (t *Turnstile) Leave() {
	t.n.Add(-1)
}

// Count returns the number of requests in flight.
func (t *Turnstile) Count() int {
	n := t.n.Load()
	if n < 0 {
		n -= closedCount
	}
	return int(n)
}

// Close closes the turnstile if no request is in flight, or with force in any
// case, and reports whether it is closed.
func (t *Turnstile) Close(force bool) bool {
	if t.n.CompareAndSwap(0, closedCount) {
		return true
	}
	if force {
		t.n.Add(closedCount)
	}
	return force
}
