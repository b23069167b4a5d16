// Package limit learns how much work an endpoint takes at a time.
package limit

import (
	"math"
	"time"
)

// Learned is a limit on open sessions. It falls when steps take longer than
// the target and rises while the limit is in use and steps are in time. It is
// an immutable value: the With methods return changed copies.
type Learned struct {
	// Min and Max bound the limit; 1 <= Min <= Max.
	Min, Max int
	// Target is the time that one step may take.
	Target time.Duration

	value float64
}

// cut and rise are the factors of one decrease and one increase.
const (
	cut  = 0.9
	rise = 1.0
)

// Value returns the limit now; Max until something has been learned.
func (l Learned) Value() int {
	if l.value == 0 {
		return l.Max
	}
	return int(math.Round(l.value))
}

// WithStep returns l after a step of duration took, with sessions open.
func (l Learned) WithStep(took time.Duration, sessions int) Learned {
	v := l.value
	if v == 0 {
		v = float64(l.Max)
	}
	switch {
	case took > l.Target:
		v *= cut
	case sessions >= l.Value():
		v += rise / v
	default:
		return l
	}
	l.value = min(max(v, float64(l.Min)), float64(l.Max))
	return l
}
