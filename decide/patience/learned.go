// Package patience tells callers that have come back from those that have just come, by
// the time that they still have: some give a request less than its route does from the
// start.
package patience

import "slices"

// The figures of learning.
const (
	// window is the number of callers whose time is remembered: some seconds of a
	// gateway's traffic.
	window = 64
	// odd is the part of them that may have had less than is usual, since some come back
	// after a fault that this gateway knows nothing of.
	odd = 0.06
	// margin is how much less than usual a caller has that has come back, in parts of the
	// route's time: half a second of 20, the least time that refused callers stay away.
	margin = 0.02
)

// Learned is what callers have when they come first, in parts of the time that their
// route gives. The zero Learned knows nothing. It is an immutable value.
type Learned struct {
	// shares are those of the callers that came last, in a ring.
	shares [window]float32
	// seen is the number of callers that were noted.
	seen int
}

// WithShare returns what is learned once a caller has come first with a share.
func (l Learned) WithShare(share float64) Learned {
	l.shares[l.seen%window] = float32(share)
	l.seen++
	return l
}

// Least returns the least share that callers usually have when they come first, 1 while
// nothing is known.
func (l Learned) Least() float64 {
	n := min(l.seen, window)
	if n == 0 {
		return 1
	}
	sorted := l.shares // a copy
	slices.Sort(sorted[:n])
	return float64(sorted[int(odd*float64(n))])
}

// Returned reports whether a caller with a share has come back.
func (l Learned) Returned(share float64) bool {
	return share < l.Least()-margin
}
