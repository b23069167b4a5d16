// Package order fences the orders to load models: a leader that has been
// replaced, or that speaks to an earlier incarnation, is refused.
package order

import "fmt"

// Fence is what an agent remembers of the leaders that give orders. The zero Fence has
// seen none. It is an immutable value.
type Fence struct {
	// Incarnation is the agent's own.
	Incarnation uint64
	// Term is the highest term seen; it never falls.
	Term uint64
}

// StaleError is an order that came too late.
type StaleError struct {
	// What is "term" or "incarnation".
	What string
	// Got is the order's, Have the fence's.
	Got, Have uint64
}

// Error returns what was stale.
func (e *StaleError) Error() string {
	return fmt.Sprintf("order of %s %d refused, %d is in force", e.What, e.Got, e.Have)
}

// WithOrder returns the fence after an order, or a StaleError and the fence as
// it was.
func (f Fence) WithOrder(term, incarnation uint64) (Fence, error) {
	if incarnation != f.Incarnation {
		return f, &StaleError{"incarnation", incarnation, f.Incarnation}
	}
	if term < f.Term {
		return f, &StaleError{"term", term, f.Term}
	}
	return f.WithTerm(term), nil
}

// WithTerm returns the fence after term was heard of.
func (f Fence) WithTerm(term uint64) Fence {
	f.Term = max(f.Term, term)
	return f
}
