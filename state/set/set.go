// Package set provides a set that is safe for concurrent use.
package set

import (
	"maps"
	"slices"
	"sync"
)

// Set is a set of values. The zero Set is empty. It is safe for concurrent use.
type Set[T comparable] struct {
	mu     sync.Mutex
	values map[T]struct{}
}

// Add adds value to the set, unless it is already there.
func (s *Set[T]) Add(value T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values == nil {
		s.values = make(map[T]struct{})
	}
	s.values[value] = struct{}{}
}

// Remove removes value from the set, if it is there.
func (s *Set[T]) Remove(value T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.values, value)
}

// Has reports whether value is in the set.
func (s *Set[T]) Has(value T) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.values[value]
	return ok
}

// Values returns a copy of the values in the set, in no particular order.
func (s *Set[T]) Values() []T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.values))
}
