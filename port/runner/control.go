// Package runner is the port to the controls of an endpoint that holds layers.
package runner

import (
	"context"
	"fmt"

	"github.com/grademill/grademill/decide/chain"
	"github.com/grademill/grademill/decide/layer"
)

// Report is what an endpoint says of itself, as it stood shortly before.
type Report struct {
	// Born is when the endpoint started, as in its record; 0 when it does not say.
	Born int64
	// Layers are held now.
	Layers layer.Range
	// Busy is set while an order is being carried out.
	Busy bool
	// Orders is the number of orders taken since its start.
	Orders uint64
	// Queued and Active are its requests.
	Queued, Active int
	// Used and Total are the memory for requests, in tokens times layers.
	Used, Total int
	// Pace is above 1 for an endpoint that is slower than its kind; 0 when it
	// does not say.
	Pace float64
	// Stalled are requests that wait for another endpoint of their chain.
	Stalled []Stall
}

// Stall is a request that makes no progress.
type Stall struct {
	Request string
	// Address is that of the endpoint that it waits for.
	Address string
}

// Order tells an endpoint to hold layers.
type Order struct {
	// Fence rises with each new leader.
	Fence uint64
	// After is the number of orders that the endpoint must have taken.
	After uint64
	// Layers are what it is to hold in place of what it holds.
	Layers layer.Range
	// Cut is set when what still passes through the layers given up is to be cut;
	// otherwise the endpoint waits for it.
	Cut bool
}

// Control reaches the controls of endpoints. Its methods are safe for concurrent
// use. An error other than a RefusedError leaves open whether the order will be
// carried out.
type Control interface {
	// Report returns the endpoint's report.
	Report(ctx context.Context, address string) (Report, error)
	// Place orders an endpoint to hold layers.
	Place(ctx context.Context, address string, o Order) error
	// Reroute moves a request to another chain with the same first part.
	Reroute(ctx context.Context, request string, to chain.Chain) error
}

// RefusedError is an order that the endpoint did not take.
type RefusedError struct {
	// Status is the HTTP status of the refusal.
	Status int
	// Fenced is set when a later leader has been seen.
	Fenced bool
	// Blamed is the endpoint that cannot take its part of a chain; empty for
	// none.
	Blamed string
}

// Error says why.
func (e *RefusedError) Error() string {
	if e.Fenced {
		return "order refused: another leader has taken over"
	}
	return fmt.Sprintf("order refused with status %d", e.Status)
}
