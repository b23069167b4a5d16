// Package layer describes which layers of a model an endpoint holds.
package layer

import "fmt"

// Range is a half-open range of layers, [First, End). The zero Range holds
// no layer.
type Range struct {
	// First is the lowest layer held.
	First int
	// End is one past the highest layer held; never below First.
	End int
}

// Intersect returns the layers that both ranges hold, the zero Range when there are none.
func (r Range) Intersect(s Range) Range {
	both := Range{First: max(r.First, s.First), End: min(r.End, s.End)}
	if both.Empty() {
		return Range{}
	}
	return both
}

// Empty reports whether r holds no layer.
func (r Range) Empty() bool {
	return r.End <= r.First
}

// Len returns the number of layers in r.
func (r Range) Len() int {
	if r.Empty() {
		return 0
	}
	return r.End - r.First
}

// String returns r as "[first,end)".
func (r Range) String() string {
	return fmt.Sprintf("[%d,%d)", r.First, r.End)
}
