// Package expiring provides a set whose values expire.
package expiring

import (
	"sync"
	"time"
)

// Set is a set of values, each of which expires some time after it was last added. The zero Set is empty,
// and its values expire at once. It is safe for concurrent use.
type Set[T comparable] struct {
	// Lifetime is how long a value remains. Set it before the first use.
	Lifetime time.Duration

	mu sync.Mutex // guards added
	// added is when each value was last added.
	added map[T]time.Time
}

// Add adds a value at now.
func (s *Set[T]) Add(value T, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.added == nil {
		s.added = make(map[T]time.Time)
	}
	s.added[value] = now
}

// Has reports whether a value is in the set at now.
func (s *Set[T]) Has(value T, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	added, ok := s.added[value]
	return ok && now.Sub(added) < s.Lifetime
}
