// Package rate measures how much happens in a second.
package rate

import (
	"math"
	"time"
)

// Meter is a rate that follows changes over some seconds. The zero Meter has
// seen nothing. It is an immutable value: the With methods return changed
// copies.
type Meter struct {
	// Span is the time over which the past fades; zero means DefaultSpan.
	Span time.Duration

	start, at time.Time
	sum       float64 // of what was counted, faded until at
}

// DefaultSpan is the time over which the past fades.
const DefaultSpan = 5 * time.Second

// WithCount returns the meter after amount at now.
func (m Meter) WithCount(now time.Time, amount float64) Meter {
	if m.start.IsZero() {
		m.start, m.at = now, now
	}
	m.sum = m.faded(now) + amount
	m.at = now
	return m
}

// PerSecond returns the rate at now, 0 until there has been a second to measure.
func (m Meter) PerSecond(now time.Time) float64 {
	age := now.Sub(m.start)
	if m.start.IsZero() || age < time.Second {
		return 0
	}
	seen := m.span().Seconds() * (1 - math.Exp(-age.Seconds()/m.span().Seconds()))
	return m.faded(now) / seen
}

// faded returns the sum as it counts at now.
func (m Meter) faded(now time.Time) float64 {
	return m.sum * math.Exp(-now.Sub(m.at).Seconds()/m.span().Seconds())
}

func (m Meter) span() time.Duration {
	if m.Span == 0 {
		return DefaultSpan
	}
	return m.Span
}
