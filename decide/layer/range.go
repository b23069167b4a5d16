// Package layer provides Range, a contiguous range of a model's layers.
package layer

import "fmt"

// Range is the half-open range of layers [First, End). The zero Range is empty.
type Range struct {
	// First is the lowest layer of the range.
	First int
	// End is one past the highest layer; never below First.
	End int
}

// Intersect returns the layers that are in both ranges, the zero Range when there are none.
func (r Range) Intersect(s Range) Range {
	both := Range{First: max(r.First, s.First), End: min(r.End, s.End)}
	if both.Empty() {
		return Range{}
	}
	return both
}

// Empty reports whether r has no layers.
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
