package gateway

import (
	"context"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/throttle"
)

// surveyEvery is the interval at which an endpoint is asked for its pace; asking costs as much as a
// hundredth of a request.
const surveyEvery = 2 * time.Second

// survey asks the endpoints of models for which this gateway ranks first as checker how slow they
// are, until ctx ends. The other gateways learn the pace with the checks that late events cause.
func (g *Gateway) survey(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, surveyEvery)
		o, f := g.gossip.Overlay(), g.fleet.Load()
		for hall, backends := range f.ByHall {
			if hall != g.Hall && len(o.PeersIn(hall)) > 0 {
				continue // its own gateways check its endpoints
			}
			for _, b := range backends {
				now := time.Now()
				backingOff := b.use.intake.Held(now) == throttle.BackingOff
				if b.Card != "" && !backingOff && b.use.LatestCheckAge(now) >= surveyEvery/2 && !b.use.PresumedDead(now) && o.ItemRank(b.ID, hall) == 0 {
					g.ask(ctx, b)
				}
			}
		}
	}
}

// ask asks an endpoint for its report and records its pace. If it gives none, requests will show
// whether it is lost. It does not count as a check: an endpoint that dies right after it must be
// found by the first late event.
func (g *Gateway) ask(ctx context.Context, b *backend) {
	begun := time.Now()
	report, err := g.probes.Query(ctx, b.Address)
	if err != nil {
		g.Log.Debug().Str("endpoint", b.ID).Err(err).Msg("endpoint returned no report")
		return
	}
	g.noteAnswer(b, begun, time.Now())
	b.use.pace.Set(report.Pace, begun)
	b.noteLayers(report.Layers, begun)
	g.Log.Debug().Str("endpoint", b.ID).Stringer("layers", report.Layers).Int("used", report.Used).
		Int("total", report.Total).Int("active", report.Active).Int("queued", report.Queued).
		Float64("pace", report.Pace).Int64("own_held", b.use.held.Load()).
		Int64("others_held", b.use.othersHeld.Load()).Msg("endpoint reports")
}
