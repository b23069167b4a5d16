// Package fleet defines Endpoint, the description of a back end that entries use to choose
// chains.
package fleet

import (
	"time"

	"github.com/grademill/grademill/decide/layer"
)

// Endpoint describes one back end and the agent beside it. It is an immutable value:
// WithLeaving returns a changed copy. It is encoded as JSON in the status of the admin API under
// the names of its fields, which therefore must not change.
type Endpoint struct {
	// Name identifies the endpoint in the fleet; never empty in a route.Table.
	Name string
	// Address is the agent's address for steps and control messages.
	Address string
	// Hall is the data hall of the host.
	Hall string
	// Incarnation increases with each start of the agent and fences off work meant for an
	// earlier one.
	Incarnation uint64
	// Epoch is the agent's epoch for calls that run at most once, valid when a call is about to
	// be made; see package once.
	Epoch uint64
	// Service is the service that the endpoint serves.
	Service string
	// Layers is the range held; empty for plain services and for endpoints that wait for an
	// order.
	Layers layer.Range
	// Leaving endpoints get no new work.
	Leaving bool
	// StepTime is the measured time of one step; zero while unknown.
	StepTime time.Duration
	// Sessions is the number of requests open at the endpoint.
	Sessions int
	// Limit is the number of sessions that the agent admits; zero while unknown.
	Limit int
	// Batch is the number of steps that the endpoint runs together; zero while unknown.
	Batch int
	// Seen is the time of the agent's last heartbeat.
	Seen time.Time
}

// WithLeaving returns e with Leaving set to leaving.
func (e Endpoint) WithLeaving(leaving bool) Endpoint {
	e.Leaving = leaving
	return e
}
