package agent

import (
	"context"

	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/wire"
)

// order accepts or refuses an order to load layers. It answers before the engine has loaded them;
// heartbeats report when it has.
func (a *Agent) order(_ context.Context, o *wire.Order) (*wire.OrderReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	fence, err := a.fence.WithOrder(o.GetTerm(), o.GetIncarnation())
	if err != nil {
		a.Log.Warn().Err(err).Str("giver", o.GetGiver()).Msg("order refused")
		return &wire.OrderReply{Detail: err.Error(), Term: a.fence.Term}, nil
	}
	a.fence = fence
	if a.Engine == nil || a.announced.Load() || a.loading || a.active > 0 {
		return &wire.OrderReply{Detail: "endpoint is in use", Term: a.fence.Term}, nil
	}
	a.loading = true
	layers := layer.Range{First: int(o.GetFirst()), End: int(o.GetEnd())}
	a.Log.Info().Uint64("term", o.GetTerm()).Str("giver", o.GetGiver()).Str("service", o.GetService()).
		Stringer("layers", layers).Msg("order taken")
	go a.execute(o, layers)
	return &wire.OrderReply{Accepted: true, Term: a.fence.Term}, nil
}

// execute makes the engine load the layers, and records its new status.
func (a *Agent) execute(o *wire.Order, layers layer.Range) {
	ctx := context.Background()
	err := a.Engine.Load(ctx, o.GetTerm(), o.GetService(), layers)
	status, statusErr := a.Engine.Status(ctx)
	a.mu.Lock()
	a.loading = false
	if statusErr == nil {
		a.status = status
	}
	a.mu.Unlock()
	if err != nil || statusErr != nil {
		a.Log.Error().AnErr("load", err).AnErr("status", statusErr).Msg("engine failed to load the ordered layers or to report its status")
	}
	a.report()
}
