// Package endpoint describes what is known of an endpoint.
package endpoint

import "github.com/grademill/grademill/decide/layer"

// Endpoint is one life of a back end, as it last described itself. It is
// immutable.
type Endpoint struct {
	// ID is the endpoint's name. It may start again under it, as another life that holds and
	// knows nothing of before.
	ID string
	// Born is when this life started, in milliseconds of Unix time by the endpoint's clock, 0
	// when it does not say. It tells the lives under one ID apart: a later one has a greater.
	Born int64
	// Service is the service that it belongs to.
	Service string
	// Address is its host and port. Another endpoint may get the same address
	// later.
	Address string
	// Hall is its data hall.
	Hall string
	// Slots is the number of requests that it runs together.
	Slots int
	// Leaving is set once it has said that it is about to end.
	Leaving bool
	// Card names its kind of accelerator; empty for a plain endpoint.
	Card string
	// Layers are those that it holds, Version that of their weights.
	Layers  layer.Range
	Version int
}

// Follows reports whether the endpoint is a later life than another one under the same ID.
// Where one of them does not say when it started they count as the same.
func (e Endpoint) Follows(other Endpoint) bool {
	return e.Born != 0 && other.Born != 0 && e.Born > other.Born
}
