// Package endpoint defines Endpoint, the description of a back end that gateways use.
package endpoint

import "github.com/grademill/grademill/decide/layer"

// Endpoint describes one incarnation of a back end, by its own last report. It is immutable.
type Endpoint struct {
	// ID is the endpoint's name. A restart keeps the ID and begins a new incarnation, which has
	// none of the former one's layers and state.
	ID string
	// Born is the start of the incarnation in milliseconds of Unix time by the endpoint's
	// clock, 0 when the endpoint does not report it. A later incarnation under the same ID has
	// a greater Born.
	Born int64
	// Service is the service that the endpoint belongs to.
	Service string
	// Address is the host and port. Another endpoint may get the same address later.
	Address string
	// Hall is the data hall.
	Hall string
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// Leaving is set once the endpoint has announced that it is about to end.
	Leaving bool
	// Card names the kind of accelerator card; empty for a plain endpoint.
	Card string
	// Layers are the layers held, and Version is the version of their weights.
	Layers  layer.Range
	Version int
}

// Supersedes reports whether e is a later incarnation than other, which has the same ID.
// Without a start time of both, they count as the same incarnation.
func (e Endpoint) Supersedes(other Endpoint) bool {
	return e.Born != 0 && other.Born != 0 && e.Born > other.Born
}
