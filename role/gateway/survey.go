package gateway

import (
	"context"
	"time"

	"github.com/grademill/grademill/adapter/pause"
)

// surveyEvery is the time between two questions for the pace of an endpoint; a question
// costs as much as a hundredth of a request.
const surveyEvery = 2 * time.Second

// survey asks the endpoints of models that this gateway looks after before all others how
// slow they are, until ctx ends. The digests tell the other gateways.
func (g *Gateway) survey(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, surveyEvery)
		for _, b := range g.fleet.Load().byID {
			now := time.Now()
			known := now.UnixNano()-max(b.use.checkedAt.Load(), b.use.othersCheckedAt.Load()) < int64(surveyEvery/2)
			if b.Card == "" || known || b.use.dead(now) || g.gossip.Overlay().Rank(b.ID, b.Hall) > 0 {
				continue
			}
			g.ask(ctx, b)
		}
	}
}

// ask asks an endpoint for its report and notes its pace. Requests will show whether one
// that gives none is lost.
func (g *Gateway) ask(ctx context.Context, b *backend) {
	begun := time.Now()
	report, err := g.probes.Ask(ctx, b.Address)
	if err != nil {
		g.Log.Debug().Str("endpoint", b.ID).Err(err).Msg("endpoint gives no report")
		return
	}
	b.use.answered(begun, time.Now())
	b.use.setPace(report.Pace, begun)
	b.noteHeld(report.Layers, begun)
	g.Log.Debug().Str("endpoint", b.ID).Stringer("layers", report.Layers).Int("used", report.Used).
		Int("total", report.Total).Int("active", report.Active).Int("queued", report.Queued).
		Float64("pace", report.Pace).Int64("own_held", b.use.held.Load()).
		Int64("others_held", b.use.othersHeld.Load()).Msg("endpoint reports")
}
