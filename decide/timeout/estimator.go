// Package timeout learns how long to wait for something before it counts as
// stalled, from how long it took before.
package timeout

import "time"

// Estimator keeps a smoothed mean and deviation of past times, as TCP does for
// its retransmission timeout (RFC 6298). It is an immutable value.
type Estimator struct {
	// Min and Max bound the timeout.
	Min, Max time.Duration

	mean, deviation time.Duration
}

// The weights of a new sample, and the number of deviations that are waited.
const (
	meanShift      = 3
	deviationShift = 2
	deviations     = 4
	margin         = 2
)

// WithSample returns the estimator after something took d.
func (e Estimator) WithSample(d time.Duration) Estimator {
	if e.mean == 0 {
		e.mean, e.deviation = d, d/2
		return e
	}
	off := d - e.mean
	e.mean += off >> meanShift
	if off < 0 {
		off = -off
	}
	e.deviation += (off - e.deviation) >> deviationShift
	return e
}

// Value returns the timeout; Max until there has been a sample.
func (e Estimator) Value() time.Duration {
	if e.mean == 0 {
		return e.Max
	}
	return min(max(margin*e.mean+deviations*e.deviation, e.Min), e.Max)
}

// Mean returns the smoothed mean, 0 until there has been a sample.
func (e Estimator) Mean() time.Duration {
	return e.mean
}
