// Package timeout estimates a timeout, after which an operation counts as stalled, from the
// durations of earlier operations.
package timeout

import "time"

// Estimator keeps a smoothed mean and deviation of durations, as TCP does for its retransmission
// timeout (RFC 6298). It is an immutable value.
type Estimator struct {
	// Min and Max bound the timeout.
	Min, Max time.Duration

	mean, deviation time.Duration
}

// Weights of a new sample, as right shifts, and factors of mean and deviation in the timeout.
const (
	meanShift       = 3
	deviationShift  = 2
	deviationFactor = 4
	meanFactor      = 2
)

// WithSample returns the estimator after an operation that took d.
func (e Estimator) WithSample(d time.Duration) Estimator {
	if e.mean == 0 {
		e.mean, e.deviation = d, d/2
		return e
	}
	diff := d - e.mean
	e.mean += diff >> meanShift
	if diff < 0 {
		diff = -diff
	}
	e.deviation += (diff - e.deviation) >> deviationShift
	return e
}

// Value returns the timeout, Max without samples.
func (e Estimator) Value() time.Duration {
	if e.mean == 0 {
		return e.Max
	}
	return min(max(meanFactor*e.mean+deviationFactor*e.deviation, e.Min), e.Max)
}

// Mean returns the smoothed mean, 0 without samples.
func (e Estimator) Mean() time.Duration {
	return e.mean
}
