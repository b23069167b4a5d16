// Package fleet describes the endpoints that a process knows of.
package fleet

import (
	"time"

	"github.com/grademill/grademill/decide/layer"
)

// Endpoint is what is known of one back end and the agent beside it. It is an
// immutable value: the With methods return changed copies.
type Endpoint struct {
	// Name identifies the endpoint in the fleet; never empty in a table.
	Name string
	// Address is the agent's address for steps and control.
	Address string
	// Hall is the data hall of the host.
	Hall string
	// Incarnation rises each time the agent starts; it fences work meant for
	// an earlier one.
	Incarnation uint64
	// Epoch is the agent's epoch for calls that run at most once, when a call is
	// about to be made; see package once.
	Epoch uint64
	// Service is the service that the endpoint serves.
	Service string
	// Layers is the range held; empty for plain services and for endpoints
	// that wait for an order.
	Layers layer.Range
	// Leaving endpoints get no new work.
	Leaving bool
	// StepTime is the learned time of one step; zero while not yet learned.
	StepTime time.Duration
	// Sessions is the number of requests open at the endpoint.
	Sessions int
	// Limit is the number of sessions the agent admits; zero means unknown.
	Limit int
	// Batch is the number of steps that the endpoint takes together; zero means
	// unknown.
	Batch int
	// Seen is when the agent was last heard of.
	Seen time.Time
}

// WithLeaving returns e marked as leaving or not.
func (e Endpoint) WithLeaving(leaving bool) Endpoint {
	e.Leaving = leaving
	return e
}
