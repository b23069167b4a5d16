package memory

import "time"

// Share is the part of a Budget that one caller holds. Its methods do nothing on nil, on which Grow succeeds.
type Share struct {
	budget *Budget
	// base is held while the share is open.
	base  int64
	evict func()

	// The fields below are guarded by budget.mu.
	bytes int64
	// still is since when the share's holder waits for its caller, zero while it does not.
	still time.Time
	// evicted is set once the share has to give way, closed once it is closed.
	evicted, closed bool
}

// Grow holds more bytes. When the budget is used up, others that stand still give way, for which it waits a moment. It
// reports whether the bytes are held; they are not if this share has to give way itself.
func (s *Share) Grow(bytes int64) bool {
	if s == nil {
		return true
	}
	b := s.budget
	deadline := time.Now().Add(maxWait)
	for {
		b.mu.Lock()
		if s.evicted || s.closed {
			b.mu.Unlock()
			return false
		}
		if b.used+bytes <= b.Limit*3/4 {
			b.change(s, bytes)
			b.mu.Unlock()
			return true
		}
		gives, changed := b.stillest(s), b.changed()
		if gives != nil {
			gives.evicted = true
		}
		b.mu.Unlock()
		if gives != nil {
			gives.evict()
		}
		if time.Now().After(deadline) {
			return false
		}
		select {
		case <-changed:
		case <-time.After(poll):
		}
	}
}

// Add holds more bytes, or fewer, whether or not the budget is used up: they are in memory already.
func (s *Share) Add(bytes int64) {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if !s.closed {
		s.budget.change(s, bytes)
	}
}

// Reset gives back all bytes but those that the share was opened with.
func (s *Share) Reset() {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if !s.closed && s.bytes != s.base {
		s.budget.change(s, s.base-s.bytes)
	}
}

// Wait records that the holder waits for its caller to send or to receive from now on, Move that it no longer does.
func (s *Share) Wait() { s.setStill(time.Now()) }

// Move is the counterpart of Wait.
func (s *Share) Move() { s.setStill(time.Time{}) }

func (s *Share) setStill(since time.Time) {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.still = since
}

// Evicted reports whether the share has to give way.
func (s *Share) Evicted() bool {
	if s == nil {
		return false
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.evicted
}

// Close gives back all bytes. Further calls do nothing.
func (s *Share) Close() {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.budget.change(s, -s.bytes)
	delete(s.budget.shares, s)
}
