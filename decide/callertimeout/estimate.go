// Package callertimeout distinguishes returning callers from new ones by the time left until their
// deadline. It learns the usual time, because some callers set a shorter deadline than their route.
package callertimeout

import "slices"

// Parameters of the estimate.
const (
	// window is the number of callers remembered: a few seconds of a gateway's traffic.
	window = 64
	// outlierShare is the fraction of them that may have had less time than usual, since some
	// callers retry after a fault unknown to this gateway.
	outlierShare = 0.06
	// margin is the smallest shortfall from the usual fraction at which a caller counts as a
	// returning one. For a timeout of 20 s it is 0.4 s, a little less than the shortest Retry-After
	// delay of half a second.
	margin = 0.02
)

// Estimate estimates the time that new callers have left, as a fraction of their route's timeout.
// The zero Estimate holds no data. It is an immutable value.
type Estimate struct {
	// shares is a ring of the latest callers' fractions.
	shares [window]float32
	// seen is the number of callers recorded.
	seen int
}

// WithShare returns the estimate after a new caller with the given fraction of time left.
func (l Estimate) WithShare(share float64) Estimate {
	l.shares[l.seen%window] = float32(share)
	l.seen++
	return l
}

// Min returns the lowest fraction that new callers usually have left, 1 without data.
func (l Estimate) Min() float64 {
	n := min(l.seen, window)
	if n == 0 {
		return 1
	}
	sorted := l.shares // a copy
	slices.Sort(sorted[:n])
	return float64(sorted[int(outlierShare*float64(n))])
}

// IsReturning reports whether a caller with the given fraction of time left is a returning one.
func (l Estimate) IsReturning(share float64) bool {
	return share < l.Min()-margin
}
