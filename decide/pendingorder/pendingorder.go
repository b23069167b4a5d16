// Package pendingorder decides which layers an endpoint is assumed to hold while it may be carrying
// out an order.
package pendingorder

import (
	"time"

	"github.com/grademill/grademill/decide/layer"
)

// RecordLag is how long the record of an endpoint may name other layers than its report: one
// heartbeat, and the time for which changes are batched.
const RecordLag = 2 * time.Second

const (
	// orderWait is how long an order is assumed to be under way: the record of the endpoint shows
	// its result within a heartbeat or two after the loading.
	orderWait = 8 * time.Second
	// unansweredWait is how long an order without an answer is assumed to be under way. The next
	// order carries the same order count, so that only one of them is carried out.
	unansweredWait = 2 * time.Second
)

// Result is the result of an order.
type Result string

const (
	// Taken means that the endpoint carries the order out.
	Taken Result = "taken"
	// Busy means that the order was not sent, since another is being carried out.
	Busy Result = "busy"
	// Stale means that the order was not sent, since the endpoint holds other layers than the
	// plan assumed.
	Stale Result = "stale"
	// Refused means that the endpoint refused the order.
	Refused Result = "refused"
	// Replaced means that the endpoint refused the order because another gateway gives orders.
	Replaced Result = "replaced"
	// Unanswered means that the order may be carried out, now or later.
	Unanswered Result = "no answer"
)

// Order is an order that an endpoint carries out. All gateways know of it, so that the next
// leader continues from there. It is an immutable value; a nil Order means none.
type Order struct {
	layers layer.Range
	// until is when the order counts as lost.
	until time.Time
}

// Announced returns the order that the leader announces at now, nil for empty layers.
func Announced(layers layer.Range, now time.Time) *Order {
	if layers.Empty() {
		return nil
	}
	return &Order{layers: layers, until: now.Add(orderWait)}
}

// Given describes an order that was given to an endpoint.
type Given struct {
	Result Result
	// Ordered are the layers of the order, Reported those that the endpoint reported before, and
	// Recorded those of its record.
	Ordered, Reported, Recorded layer.Range
	// Round is the time between two rounds of orders.
	Round time.Duration
}

// After returns the order that an endpoint is assumed to carry out at now, after it was given one;
// nil if its record is authoritative.
func After(g Given, now time.Time) *Order {
	switch g.Result {
	case Taken:
		return &Order{layers: g.Ordered, until: now.Add(orderWait)}
	case Unanswered:
		return &Order{layers: g.Ordered, until: now.Add(unansweredWait)}
	case Stale:
		return &Order{layers: g.Reported, until: now.Add(RecordLag)}
	case Busy: // the other order is not known: the endpoint is assumed to keep its layers until the next round
		return &Order{layers: g.Recorded, until: now.Add(g.Round)}
	}
	return nil
}

// Layers returns the layers of the order while it is under way at now, empty otherwise.
func (o *Order) Layers(now time.Time) layer.Range {
	if o == nil || now.After(o.until) {
		return layer.Range{}
	}
	return o.layers
}

// Ended reports whether the order is no longer under way at now: it counts as lost, or the record of
// the endpoint names its layers.
func (o *Order) Ended(recorded layer.Range, now time.Time) bool {
	return recorded == o.layers || now.After(o.until)
}
