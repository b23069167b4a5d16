package leader

import (
	"context"
	"errors"
	"time"

	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/pendingorder"
	"github.com/grademill/grademill/port/runner"
)

// order gives one order, and records what the endpoint will hold after it. Requests that still pass
// through an endpoint that no gateway uses are already lost, so the order does not wait for them. It
// reports whether another leader has taken over.
func (t *term) order(ctx context.Context, e Endpoint, layers layer.Range) (replaced bool) {
	ctx, cancel := context.WithTimeout(ctx, lease)
	defer cancel()
	unused := e.Unused()
	report, err := t.Runners.Report(ctx, e.Address)
	result := pendingorder.Taken
	switch {
	case err != nil || report.Layers == layers:
	case report.Busy:
		result = pendingorder.Busy
	case report.Layers != e.Layers:
		result = pendingorder.Stale
	default:
		err = t.Runners.Place(ctx, e.Address, runner.Order{
			Fence: t.fence, After: report.Orders, Layers: layers, Abort: unused,
		})
	}
	if err != nil {
		result = resultOf(err)
	}
	given := pendingorder.Given{Result: result, Ordered: layers, Reported: report.Layers, Recorded: e.Layers, Round: roundInterval}
	e.Order.Store(pendingorder.After(given, time.Now()))
	t.Count(string(result))
	t.Log.Info().Str("endpoint", e.ID).Str("address", e.Address).Stringer("layers", layers).
		Stringer("held", e.Layers).Stringer("reported", report.Layers).Uint64("fence", t.fence).
		Uint64("after", report.Orders).Bool("cut", unused).Str("result", string(result)).AnErr("error", err).
		Msg("order given")
	return result == pendingorder.Replaced
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
