package gateway

import (
	"time"

	"github.com/grademill/grademill/decide/throttle"
)

// hearWord takes in what an endpoint says, with an answer, of the requests that it takes, and logs what
// changes by it.
func (g *Gateway) hearWord(b *backend, w throttle.Word) {
	before, after := b.use.intake.Hear(w)
	if after.Unclear() && !before.Unclear() { // once is enough: it may come with each answer
		g.Log.Warn().Str("endpoint", b.ID).Str("header", w.Unclear).Msg("a header of an endpoint is not understood, and not heeded")
	}
	if w.Rest > 0 {
		g.Log.Info().Str("endpoint", b.ID).Dur("rest_ms", w.Rest).Time("until", after.Rest()).Msg("endpoint asks for rest")
	}
	g.logThrottle(b, before, after, w.Heard)
}

// limitChange is the part by which a limit must change for the log to tell of it: some endpoints
// name another one with each answer.
const limitChange = 0.1

// logThrottle logs what has changed in what an endpoint takes.
func (g *Gateway) logThrottle(b *backend, before, after throttle.Throttle, now time.Time) {
	if after.Held(now) == throttle.Leaving && before.Held(now) != throttle.Leaving {
		g.Log.Info().Str("endpoint", b.ID).Msg("endpoint says that it leaves")
	}
	from, to := before.Limit(), after.Limit()
	if from.Named() == to.Named() && max(from.Rate, to.Rate) <= min(from.Rate, to.Rate)*(1+limitChange) {
		return
	}
	g.Log.Info().Str("endpoint", b.ID).Float64("limit_per_s", to.Rate).Float64("former_per_s", from.Rate).
		Dur("age_ms", now.Sub(to.At)).Int("relays", to.Relays).Msg("endpoint changes its limit")
}
