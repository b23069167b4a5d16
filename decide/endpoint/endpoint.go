// Package endpoint describes what is known of an endpoint.
package endpoint

import "github.com/grademill/grademill/decide/layer"

// Endpoint is one life of a back end, as it last described itself. It is
// immutable.
type Endpoint struct {
	// ID belongs to this life of the endpoint alone.
	ID string
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
