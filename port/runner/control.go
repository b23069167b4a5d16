// Package runner defines the interface that controls an endpoint holding model layers: it
// reads the endpoint's report, changes its layers and reroutes its requests.
package runner

import (
	"context"
	"fmt"

	"github.com/grademill/grademill/decide/chain"
	"github.com/grademill/grademill/decide/layer"
)

// Report is an endpoint's own report. It may be slightly out of date.
type Report struct {
	// Born is the endpoint's start time, as in its record in the store; 0 if not reported.
	Born int64
	// Layers is the range of layers that the endpoint holds.
	Layers layer.Range
	// Busy is set while the endpoint carries out an order.
	Busy bool
	// Orders is the number of orders that the endpoint has accepted since its start.
	Orders uint64
	// Queued and Active are the numbers of waiting and of running requests.
	Queued, Active int
	// Used and Total are the used and the total memory for requests, in tokens times
	// layers.
	Used, Total int
	// Pace is the time that the endpoint needs, as a multiple of the usual time of its
	// kind: above 1 if it is slower, 0 if not reported.
	Pace float64
	// Stalled lists the requests that wait for another endpoint of their chain.
	Stalled []Stall
}

// Stall is a request that makes no progress, since it waits for another endpoint.
type Stall struct {
	Request string
	// Address is the address of the endpoint that the request waits for.
	Address string
}

// Order tells an endpoint which layers to hold.
type Order struct {
	// Fence is the fencing token of the leader that gives the order. It rises with each
	// new leader.
	Fence uint64
	// After is the number of orders that the endpoint must have accepted before this one.
	After uint64
	// Layers is the range of layers to hold in place of the present one.
	Layers layer.Range
	// Abort tells the endpoint to abort the requests that still pass through the layers
	// that it gives up. Otherwise it waits for them to end.
	Abort bool
}

// Control sends control calls to endpoints. Its methods are safe for concurrent use. After
// an error other than a RefusedError the endpoint may still carry out the order.
type Control interface {
	// Report returns the report of the endpoint at address.
	Report(ctx context.Context, address string) (Report, error)
	// Place gives an order to the endpoint at address.
	Place(ctx context.Context, address string, o Order) error
	// Reroute moves a request to another chain that begins with the same endpoint and
	// layers.
	Reroute(ctx context.Context, request string, to chain.Chain) error
}

// RefusedError reports that an endpoint refused an order and does not carry it out.
type RefusedError struct {
	// Status is the HTTP status of the endpoint's answer.
	Status int
	// Fenced is set if the endpoint has seen an order with a higher fence.
	Fenced bool
	// RefusedBy is the address of the endpoint that cannot take its share of a chain,
	// empty for none.
	RefusedBy string
}

// Error returns the reason for the refusal.
func (e *RefusedError) Error() string {
	if e.Fenced {
		return "order refused: another leader has taken over"
	}
	return fmt.Sprintf("order refused with status %d", e.Status)
}
