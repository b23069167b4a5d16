// Package handover replaces the attempt that answers a request by a successor. The attempt is given up
// only once the successor has begun to answer, and goes on if the successor fails.
package handover

import "sync"

// Handover is the handover of one request from its attempt to a successor of type T, such as an answer
// that has begun. The goroutine that answers the request calls Start, Proceed and End; any other one may
// try a successor, with Begin and then either Succeed or Fail. It is safe for concurrent use.
type Handover[T any] struct {
	mu sync.Mutex // guards the fields below
	// running is set while there is an attempt.
	running bool
	// position is the last position of the answer that its caller gets from the attempts so far.
	position string
	// pending is closed once the successor that is being tried has succeeded or failed; nil if none is tried.
	pending chan struct{}
	// withdraw ends the successor that is being tried, withdrawn is set once it has been called.
	withdraw  func()
	withdrawn bool
	// successor has replaced the attempt, nil for none.
	successor *T
}

// Start starts an attempt that answers from after a position on.
func (h *Handover[T]) Start(position string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running, h.position = true, position
}

// Begin begins to try a successor, which withdraw ends, and returns the position after which it has to
// begin. It returns false if there is no attempt, it has been replaced, or another successor is tried.
func (h *Handover[T]) Begin(withdraw func()) (position string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.running || h.pending != nil || h.successor != nil {
		return "", false
	}
	h.pending, h.withdraw, h.withdrawn = make(chan struct{}), withdraw, false
	return h.position, true
}

// Succeed makes the successor that is being tried replace the attempt, which the caller then has to give
// up. It returns false if the successor has been withdrawn; then the caller ends it and calls Fail.
func (h *Handover[T]) Succeed(successor T) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.withdrawn {
		return false
	}
	h.successor = &successor
	h.settle()
	return true
}

// Fail ends the trial of a successor that has failed.
func (h *Handover[T]) Fail() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settle()
}

// settle ends the trial of a successor. The caller holds mu.
func (h *Handover[T]) settle() {
	close(h.pending)
	h.pending, h.withdraw = nil, nil
}

// Proceed records that the attempt has answered up to a position, and withdraws a successor that is being
// tried. It returns false if the attempt has been replaced; then what it has answered since is not used.
func (h *Handover[T]) Proceed(position string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil {
		return false
	}
	h.position = position
	h.withdrawPending()
	return true
}

// withdrawPending withdraws a successor that is being tried. The caller holds mu.
func (h *Handover[T]) withdrawPending() {
	if h.pending != nil && !h.withdrawn {
		h.withdrawn = true
		h.withdraw()
	}
}

// Replaced reports whether the attempt has been replaced.
func (h *Handover[T]) Replaced() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successor != nil
}

// End ends the attempt; answered is set if the request needs no other one. It waits for the end of the
// trial of a successor, and returns the one that has replaced the attempt, which is the attempt from then
// on; false if there is none.
func (h *Handover[T]) End(answered bool) (successor T, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running = false
	if answered {
		h.withdrawPending()
	}
	for h.pending != nil {
		pending := h.pending
		h.mu.Unlock()
		<-pending
		h.mu.Lock()
	}
	if h.successor == nil {
		return successor, false
	}
	successor, h.successor, h.running = *h.successor, nil, true
	return successor, true
}
