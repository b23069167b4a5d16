package leader

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/pendingorder"
	"github.com/grademill/grademill/decide/placement"
	"github.com/grademill/grademill/state/roster"
)

// Fleet is a snapshot of the endpoints for one round of orders.
type Fleet struct {
	// Size is the number of all endpoints.
	Size        int
	Deployments []Deployment
	// Endpoint returns an endpoint by the ID of its card.
	Endpoint func(id string) Endpoint
}

// Deployment is a model with the cards that may hold its layers.
type Deployment struct {
	Model *catalog.Model
	Cards []placement.Card
}

// placed reports whether any card holds layers.
func (d Deployment) placed() bool {
	return slices.ContainsFunc(d.Cards, func(c placement.Card) bool { return !c.AssignedLayers.Empty() })
}

// Endpoint is an endpoint to which orders are given.
type Endpoint struct {
	roster.Record
	// Order holds the order that the endpoint carries out, nil for none known.
	Order *atomic.Pointer[pendingorder.Order]
	// Unused reports whether certainly no gateway uses the endpoint.
	Unused func() bool
}

// announce records an order that is about to be given.
func (e Endpoint) announce(layers layer.Range, now time.Time) {
	e.Order.Store(pendingorder.Announced(layers, now))
}
