// Package inflight counts requests in flight and stops admitting them atomically, so that
// no request enters unnoticed during shutdown.
package inflight

import "sync/atomic"

// closedOffset is added to the count of a closed counter. It is so far below zero that
// no number of requests raises the count above zero.
const closedOffset = -1 << 40

// Counter counts requests in flight. Once it is closed, no request enters. The zero
// Counter is open. It is safe for concurrent use.
type Counter struct {
	n atomic.Int64
}

// Enter counts a request and reports true, or false if the counter is closed.
func (t *Counter) Enter() bool {
	if t.n.Add(1) > 0 {
		return true
	}
	t.n.Add(-1)
	return false
}

// Leave removes a request from the count.
func (t *Counter) Leave() {
	t.n.Add(-1)
}

// Count returns the number of requests in flight.
func (t *Counter) Count() int {
	n := t.n.Load()
	if n < 0 {
		n -= closedOffset
	}
	return int(n)
}

// Close closes the counter if no request is in flight, or regardless of requests in flight
// if force is set. It reports whether the counter is closed.
func (t *Counter) Close(force bool) bool {
	if t.n.CompareAndSwap(0, closedOffset) {
		return true
	}
	if force {
		t.n.Add(closedOffset)
	}
	return force
}
