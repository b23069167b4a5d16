// Package limit learns how much work an endpoint takes at a time.
package limit

import (
	"math"
	"time"
)

// Learned is a limit on open sessions: as many as keep the time of a step,
// waiting included, at its target. By Little's law that time is in proportion
// to the sessions, so each step that is seen gives an estimate, and the limit is
// their running mean. It is an immutable value: the With methods return changed
// copies.
type Learned struct {
	// Min and Max bound the limit; 1 <= Min <= Max.
	Min, Max int

	value float64
}

// weight is the weight of a new estimate in the running mean.
const weight = 0.05

// Value returns the limit now; Min until something has been learned.
func (l Learned) Value() int {
	if l.value == 0 {
		return l.Min
	}
	return int(math.Round(l.value))
}

// WithStep returns l after a step that took so long, with its wait, while so
// many sessions were open. Target is the time that it should have taken.
func (l Learned) WithStep(took, target time.Duration, sessions int) Learned {
	if took <= 0 {
		return l
	}
	fit := l.bounded(float64(sessions) * float64(target) / float64(took))
	if l.value == 0 {
		l.value = float64(l.Min)
	}
	l.value = l.bounded(l.value + weight*(fit-l.value))
	return l
}

// bounded returns v within Min and Max.
func (l Learned) bounded(v float64) float64 {
	return min(max(v, float64(l.Min)), float64(l.Max))
}
