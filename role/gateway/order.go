package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/port/runner"
)

// The figures of orders.
const (
	// orderWait is how long an order is taken to be under way after it was given: the
	// record of the endpoint tells of it within a heartbeat or two after the loading.
	orderWait = 8 * time.Second
	// unansweredWait is how long an order without an answer is taken to be under way.
	// The next one names the same count of orders, so that only one is carried out.
	unansweredWait = 2 * time.Second
	// recordLag is how long the record of an endpoint may tell of other layers than its
	// report: a heartbeat, and the time in which changes are taken together.
	recordLag = 2 * time.Second
)

// orderResult says what became of an order.
type orderResult string

const (
	// orderTaken is an order that the endpoint carries out.
	orderTaken orderResult = "taken"
	// orderBusy is one that was not given, since another is being carried out.
	orderBusy orderResult = "busy"
	// orderStale is one that was not given, since the endpoint holds other layers than
	// the plan was made for.
	orderStale orderResult = "stale"
	// orderRefused is one that the endpoint has not taken.
	orderRefused orderResult = "refused"
	// orderReplaced is one that it has not taken since another gateway gives orders.
	orderReplaced orderResult = "replaced"
	// orderUnanswered is one that may be carried out, now or later.
	orderUnanswered orderResult = "no answer"
)

// order gives one order, and notes what the endpoint will hold then. What still passes
// through an endpoint that no gateway uses is lost already, and is not waited for.
func (o *leader) order(ctx context.Context, b *backend, layers layer.Range) orderResult {
	ctx, cancel := context.WithTimeout(ctx, leaderLease)
	defer cancel()
	unused := b.use.active.Load()+b.use.othersActive.Load() == 0 && o.g.peers.AllHeard(o.g.Name)
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
			Fence: o.fence, After: report.Orders, Layers: layers, Cut: unused,
		})
	}
	if err != nil {
		result = resultOf(err)
	}
	b.use.ordered.Store(afterOrder(result, layers, report, b, time.Now()))
	o.g.Meter.Order(string(result))
	o.g.Log.Info().Str("endpoint", b.ID).Str("address", b.Address).Stringer("layers", layers).
		Stringer("held", b.Layers).Stringer("reported", report.Layers).Uint64("fence", o.fence).
		Uint64("after", report.Orders).Bool("cut", unused).Str("result", string(result)).AnErr("error", err).
		Msg("order given")
	return result
}

// resultOf returns what an error of an order means.
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

// afterOrder returns what an endpoint is taken to carry out after an order for layers had
// a result; nil when its record says all.
func afterOrder(result orderResult, layers layer.Range, report runner.Report, b *backend, now time.Time) *ordered {
	switch result {
	case orderTaken:
		return &ordered{layers: layers, until: now.Add(orderWait)}
	case orderUnanswered:
		return &ordered{layers: layers, until: now.Add(unansweredWait)}
	case orderStale:
		return &ordered{layers: report.Layers, until: now.Add(recordLag)}
	case orderBusy: // with what is not known; it keeps what it holds until then
		return &ordered{layers: b.Layers, until: now.Add(leaderRound)}
	}
	return nil
}
