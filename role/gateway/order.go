package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/port/runner"
)

// Timing of orders.
const (
	// orderWait is how long an order is assumed to be under way: the record of the endpoint shows
	// its result within a heartbeat or two after the loading.
	orderWait = 8 * time.Second
	// unansweredWait is how long an order without an answer is assumed to be under way. The next
	// order carries the same order count, so that only one of them is carried out.
	unansweredWait = 2 * time.Second
	// recordLag is how long the record of an endpoint may name other layers than its report: one
	// heartbeat, and the time for which changes are batched.
	recordLag = 2 * time.Second
)

// orderResult is the result of an order.
type orderResult string

const (
	// orderTaken means that the endpoint carries the order out.
	orderTaken orderResult = "taken"
	// orderBusy means that the order was not sent, since another is being carried out.
	orderBusy orderResult = "busy"
	// orderStale means that the order was not sent, since the endpoint holds other layers than the
	// plan assumed.
	orderStale orderResult = "stale"
	// orderRefused means that the endpoint refused the order.
	orderRefused orderResult = "refused"
	// orderReplaced means that the endpoint refused the order because another gateway gives orders.
	orderReplaced orderResult = "replaced"
	// orderUnanswered means that the order may be carried out, now or later.
	orderUnanswered orderResult = "no answer"
)

// order gives one order, and records what the endpoint will hold after it. Requests that still pass
// through an endpoint that no gateway uses are already lost, so the order does not wait for them.
func (o *leader) order(ctx context.Context, b *backend, layers layer.Range) orderResult {
	ctx, cancel := context.WithTimeout(ctx, leaderLease)
	defer cancel()
	unused := b.use.active.Load()+b.use.othersActive.Load() == 0 && o.g.peers.AllCovered(o.g.Name)
	report, err := o.g.Runners.Report(ctx, b.Address)
	result := orderTaken
	switch {
	case err != nil || report.Layers == layers:
	case report.Busy:
		result = orderBusy
	case report.Layers != b.Layers:
		result = orderStale
	default:
		err = o.g.Runners.Place(ctx, b.Address, runner.Order{
			Fence: o.fence, After: report.Orders, Layers: layers, Abort: unused,
		})
	}
	if err != nil {
		result = resultOf(err)
	}
	b.use.pendingOrder.Store(afterOrder(result, layers, report, b, time.Now()))
	o.g.Meter.Order(string(result))
	o.g.Log.Info().Str("endpoint", b.ID).Str("address", b.Address).Stringer("layers", layers).
		Stringer("held", b.Layers).Stringer("reported", report.Layers).Uint64("fence", o.fence).
		Uint64("after", report.Orders).Bool("cut", unused).Str("result", string(result)).AnErr("error", err).
		Msg("order given")
	return result
}

// resultOf returns the result that an error of an order stands for.
func resultOf(err error) orderResult {
	var refused *runner.RefusedError
	switch {
	case !errors.As(err, &refused):
		return orderUnanswered
	case refused.Fenced:
		return orderReplaced
	}
	return orderRefused
}

// afterOrder returns the order that an endpoint is assumed to carry out, given the result of an
// order for layers; nil if its record is authoritative.
func afterOrder(result orderResult, layers layer.Range, report runner.Report, b *backend, now time.Time) *pendingOrder {
	switch result {
	case orderTaken:
		return &pendingOrder{layers: layers, until: now.Add(orderWait)}
	case orderUnanswered:
		return &pendingOrder{layers: layers, until: now.Add(unansweredWait)}
	case orderStale:
		return &pendingOrder{layers: report.Layers, until: now.Add(recordLag)}
	case orderBusy: // the other order is not known: the endpoint is assumed to keep its layers until the next round
		return &pendingOrder{layers: b.Layers, until: now.Add(leaderRound)}
	}
	return nil
}
