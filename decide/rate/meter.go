// Package rate measures the rate of events with an exponentially decaying average.
package rate

import (
	"math"
	"time"
)

// Meter measures a rate over the last few seconds. The zero Meter has counted nothing. It is an
// immutable value: the With methods return changed copies.
type Meter struct {
	// Span is the time constant of the decay; zero means DefaultSpan.
	Span time.Duration

	start, at time.Time
	sum       float64 // of the counts, decayed to at
}

// DefaultSpan is the default time constant of the decay.
const DefaultSpan = 5 * time.Second

// WithCount returns the meter after counting amount at now, which may be before the latest count: a
// request whose body arrives slowly is counted after later ones. The sum is then not moved back in
// time, where it would grow exponentially and, after some minutes, become infinite for good.
func (m Meter) WithCount(now time.Time, amount float64) Meter {
	if m.start.IsZero() {
		m.start, m.at = now, now
	}
	if now.Before(m.at) {
		m.sum += amount * math.Exp(-m.at.Sub(now).Seconds()/m.span().Seconds())
		return m
	}
	m.sum = m.decayed(now) + amount
	m.at = now
	return m
}

// PerSecond returns the rate per second at now, 0 during the first second.
func (m Meter) PerSecond(now time.Time) float64 {
	age := now.Sub(m.start)
	if m.start.IsZero() || age < time.Second {
		return 0
	}
	weight := m.span().Seconds() * (1 - math.Exp(-age.Seconds()/m.span().Seconds()))
	return m.decayed(now) / weight
}

// decayed returns the sum decayed to now.
func (m Meter) decayed(now time.Time) float64 {
	return m.sum * math.Exp(-now.Sub(m.at).Seconds()/m.span().Seconds())
}

func (m Meter) span() time.Duration {
	if m.Span == 0 {
		return DefaultSpan
	}
	return m.Span
}
