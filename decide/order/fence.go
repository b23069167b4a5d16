// Package order fences the orders to load models: an agent refuses orders of a leader that has been
// replaced, and orders addressed to an earlier incarnation.
package order

import "fmt"

// Fence holds an agent's incarnation and the highest term of a leader known to it. The zero Fence
// knows of no term. It is an immutable value.
type Fence struct {
	// Incarnation is that of the agent itself.
	Incarnation uint64
	// Term is the highest term seen; it never decreases.
	Term uint64
}

// StaleError is the refusal of an outdated order.
type StaleError struct {
	// Value is the outdated value: "term" or "incarnation".
	Value string
	// Got is the order's value, Have the agent's.
	Got, Have uint64
}

// Error returns the outdated value and the one in force.
func (e *StaleError) Error() string {
	return fmt.Sprintf("order of %s %d refused, %d is in force", e.Value, e.Got, e.Have)
}

// WithOrder returns the fence after an order. It returns a StaleError and the unchanged fence if
// the order is outdated.
func (f Fence) WithOrder(term, incarnation uint64) (Fence, error) {
	if incarnation != f.Incarnation {
		return f, &StaleError{"incarnation", incarnation, f.Incarnation}
	}
	if term < f.Term {
		return f, &StaleError{"term", term, f.Term}
	}
	return f.WithTerm(term), nil
}

// WithTerm returns the fence after a term became known.
func (f Fence) WithTerm(term uint64) Fence {
	f.Term = max(f.Term, term)
	return f
}
