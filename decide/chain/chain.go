// Package chain finds the cheapest chain of endpoints that runs all layers of a model.
// Finder.Find returns it for the endpoints' current costs.
package chain

import (
	"strings"

	"github.com/grademill/grademill/decide/layer"
)

// Stage is a range of layers that one endpoint runs.
type Stage struct {
	// ID and Address are those of the endpoint.
	ID, Address string
	Layers      layer.Range
}

// Chain is a list of parts in the order of their layers.
type Chain []Stage

// Covers reports whether c runs each of a model's layers exactly once and in order, with no
// address occurring twice.
func (c Chain) Covers(layers int) bool {
	next := 0
	for i, p := range c {
		if p.Layers.First != next || p.Layers.Empty() {
			return false
		}
		next = p.Layers.End
		for _, earlier := range c[:i] {
			if earlier.Address == p.Address {
				return false
			}
		}
	}
	return next == layers
}

// Uses reports whether the endpoint at an address is part of c.
func (c Chain) Uses(address string) bool {
	for _, p := range c {
		if p.Address == address {
			return true
		}
	}
	return false
}

// String returns the addresses and layer ranges of c, separated by spaces, as in log lines.
func (c Chain) String() string {
	var b strings.Builder
	for i, p := range c {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(p.Address)
		b.WriteString(p.Layers.String())
	}
	return b.String()
}
