package gateway

import "sync/atomic"

// closedCount is far below zero: adding any number of requests keeps it so.
const closedCount = -1 << 40

// turnstile counts requests in flight, and can be closed without letting one
// slip through. The zero turnstile is open.
type turnstile struct {
	n atomic.Int64
}

// enter counts a request, unless the turnstile is closed.
func (t *turnstile) enter() bool {
	if t.n.Add(1) > 0 {
		return true
	}
	t.n.Add(-1)
	return false
}

// leave takes a request out of the count.
func (t *turnstile) leave() {
	t.n.Add(-1)
}

// count returns the number of requests in flight.
func (t *turnstile) count() int {
	n := t.n.Load()
	if n < 0 {
		n -= closedCount
	}
	return int(n)
}

// close closes the turnstile if no request is in flight, or with force in any
// case, and reports whether it is closed.
func (t *turnstile) close(force bool) bool {
	if t.n.CompareAndSwap(0, closedCount) {
		return true
	}
	if force {
		t.n.Add(closedCount)
	}
	return force
}
