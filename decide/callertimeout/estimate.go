// Package callertimeout distinguishes returning callers from new ones by the time left until their
// deadline. It learns the usual time, because some callers set a shorter deadline than their route.
package callertimeout

import (
	"slices"
	"time"
)

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
	// earlyMargin is the smallest shortfall, in time, at which a caller counts as one that retried
	// at once. Timeouts are sent in milliseconds, and both may be rounded.
	earlyMargin = 2 * time.Millisecond
	// minSeen is the number of callers from which their spread is known well enough to recognize
	// callers that retried at once.
	minSeen = 16
	// earlyShare is the fraction of the shortest delay before which a caller counts as early. The
	// rest covers callers' clocks and rounded delays.
	earlyShare = 0.8
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
	low, _ := l.usual()
	return low
}

// usual returns the lowest and the highest fraction that new callers usually have left, 1 without
// data.
func (l Estimate) usual() (low, high float64) {
	n := min(l.seen, window)
	if n == 0 {
		return 1, 1
	}
	sorted := l.shares // a copy
	slices.Sort(sorted[:n])
	outliers := int(outlierShare * float64(n))
	return float64(sorted[outliers]), float64(sorted[n-1-outliers])
}

// IsReturning reports whether a caller with the given fraction of time left is a returning one.
func (l Estimate) IsReturning(share float64) bool {
	return share < l.Min()-margin
}

// SinceFirst returns the time since the first attempt of a caller with the given fraction of its
// route's timeout left, 0 for a new caller. It is exact if callers set equal timeouts. If they
// differ, it is the longest time that is usual, so that a caller that kept its delay does not count
// as early.
func (l Estimate) SinceFirst(share float64, timeout time.Duration) time.Duration {
	_, high := l.usual()
	return max(0, time.Duration((high-share)*float64(timeout)))
}

// IsEarly reports whether a caller has come back much sooner than minDelay, the shortest delay that
// is given. It is false for a new caller, and while few new callers have been recorded. It
// recognizes callers that retry within a few milliseconds, which IsReturning takes for new ones, if
// the timeouts that new callers set differ by less than that.
func (l Estimate) IsEarly(share float64, timeout, minDelay time.Duration) bool {
	if timeout <= 0 || l.seen < minSeen {
		return false
	}
	low, high := l.usual()
	least := min(margin, max(high-low, float64(earlyMargin)/float64(timeout)))
	return share < low-least && l.SinceFirst(share, timeout) < time.Duration(earlyShare*float64(minDelay))
}
