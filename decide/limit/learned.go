// Package limit estimates how many sessions an endpoint can process concurrently.
package limit

import (
	"math"
	"time"
)

// Adaptive is an adaptive limit on open sessions: the largest number that keeps the duration of
// a step, including its wait, at the target. By Little's law that duration is proportional to
// the number of sessions, so each observed step yields an estimate, and the limit is their
// running mean. It is an immutable value: the With methods return changed copies.
type Adaptive struct {
	// Min and Max bound the limit; 1 <= Min <= Max.
	Min, Max int

	value float64
}

// weight is the weight of a new estimate in the running mean.
const weight = 0.05

// Value returns the current limit, Min without observations.
func (l Adaptive) Value() int {
	if l.value == 0 {
		return l.Min
	}
	return int(math.Round(l.value))
}

// WithStep returns the limit after a step that took the given time, including its wait, with the
// given number of open sessions. The target is the desired duration of a step.
func (l Adaptive) WithStep(took, target time.Duration, sessions int) Adaptive {
	if took <= 0 {
		return l
	}
	estimate := l.clamp(float64(sessions) * float64(target) / float64(took))
	if l.value == 0 {
		l.value = float64(l.Min)
	}
	l.value = l.clamp(l.value + weight*(estimate-l.value))
	return l
}

// clamp returns v limited to the range from Min to Max.
func (l Adaptive) clamp(v float64) float64 {
	return min(max(v, float64(l.Min)), float64(l.Max))
}
