// Package cell provides a variable that is replaced as a whole, for values that are read on every
// request.
package cell

import "sync/atomic"

// Cell holds a value. The zero Cell holds the zero value. It is safe for concurrent use, and Load never
// waits.
type Cell[T any] struct {
	value atomic.Pointer[T]
}

// Load returns the value.
func (c *Cell[T]) Load() T {
	if value := c.value.Load(); value != nil {
		return *value
	}
	var zero T
	return zero
}

// Update replaces the value by the result of change, which may be called several times.
func (c *Cell[T]) Update(change func(T) T) {
	for {
		old := c.value.Load()
		var next T
		if old != nil {
			next = *old
		}
		next = change(next)
		if c.value.CompareAndSwap(old, &next) {
			return
		}
	}
}
