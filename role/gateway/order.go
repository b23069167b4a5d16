package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/pendingorder"
	"github.com/grademill/grademill/port/runner"
)

// order gives one order, and records what the endpoint will hold after it. Requests that still pass
// through an endpoint that no gateway uses are already lost, so the order does not wait for them.
func (o *leader) order(ctx context.Context, b *backend, layers layer.Range) pendingorder.Result {
	ctx, cancel := context.WithTimeout(ctx, leaderLease)
	defer cancel()
	unused := b.use.active.Load()+b.use.othersActive.Load() == 0 && o.g.peers.AllCovered(o.g.Name)
	report, err := o.g.Runners.Report(ctx, b.Address)
	result := pendingorder.Taken
	switch {
	case err != nil || report.Layers == layers:
	case report.Busy:
		result = pendingorder.Busy
	case report.Layers != b.Layers:
		result = pendingorder.Stale
	default:
		err = o.g.Runners.Place(ctx, b.Address, runner.Order{
			Fence: o.fence, After: report.Orders, Layers: layers, Abort: unused,
		})
	}
	if err != nil {
		result = resultOf(err)
	}
	given := pendingorder.Given{Result: result, Ordered: layers, Reported: report.Layers, Recorded: b.Layers, Round: leaderRound}
	b.use.pendingOrder.Store(pendingorder.After(given, time.Now()))
	o.g.Meter.Order(string(result))
	o.g.Log.Info().Str("endpoint", b.ID).Str("address", b.Address).Stringer("layers", layers).
		Stringer("held", b.Layers).Stringer("reported", report.Layers).Uint64("fence", o.fence).
		Uint64("after", report.Orders).Bool("cut", unused).Str("result", string(result)).AnErr("error", err).
		Msg("order given")
	return result
}

// resultOf returns the result that an error of an order stands for.
func resultOf(err error) pendingorder.Result {
	var refused *runner.RefusedError
	switch {
	case !errors.As(err, &refused):
		return pendingorder.Unanswered
	case refused.Fenced:
		return pendingorder.Replaced
	}
	return pendingorder.Refused
}
