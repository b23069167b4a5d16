// Package recentmax keeps the largest of the values that a quantity had recently.
package recentmax

import (
	"cmp"
	"time"
)

// Max is the largest of the values that a quantity has had in the last Window, to which the present
// one belongs. Of the values between two calls of Set it knows the first alone. The zero Max knows
// none.
type Max[T cmp.Ordered] struct {
	// Window is how long a value counts after another one has replaced it.
	Window time.Duration

	// former holds the replaced values that still count, each larger than all later ones, oldest first.
	former []replaced[T]
	// current is the present value if known is set.
	current T
	known   bool
}

// replaced is a value and when another one replaced it.
type replaced[T cmp.Ordered] struct {
	value T
	at    time.Time
}

// Set sets the present value at now, and returns the largest one.
func (m *Max[T]) Set(value T, now time.Time) T {
	old := 0
	for old < len(m.former) && now.Sub(m.former[old].at) >= m.Window {
		old++
	}
	m.former = m.former[old:]
	if m.known && m.current > value {
		m.former = append(m.former, replaced[T]{m.current, now})
	}
	for n := len(m.former); n > 0 && m.former[n-1].value <= value; n-- {
		m.former = m.former[:n-1]
	}
	m.current, m.known = value, true
	if len(m.former) > 0 {
		return m.former[0].value
	}
	return value
}
