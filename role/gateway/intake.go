package gateway

import (
	"fmt"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/apportion"
	"github.com/grademill/grademill/decide/throttle"
	"github.com/grademill/grademill/wire/gossip"
)

// hearWord takes in what an endpoint says, with an answer, of the requests that it takes.
func (g *Gateway) hearWord(b *backend, w throttle.Word) {
	before, after := b.use.intake.Hear(w)
	if after.Unclear() && !before.Unclear() { // once is enough: it may come with each answer
		g.Log.Warn().Str("endpoint", b.ID).Str("header", w.Unclear).Msg("a header of an endpoint is not understood, and not heeded")
	}
	if w.Rest > 0 {
		g.Log.Info().Str("endpoint", b.ID).Dur("rest_ms", w.Rest).Time("until", after.Rest()).Msg("endpoint asks for rest")
	}
	g.throttled(b, before, after, w.Heard)
}

// limitChange is the part by which a limit must change for the log to tell of it: some endpoints
// name another one with each answer.
const limitChange = 0.1

// throttled works this gateway's part out of a limit that is new, and logs what has changed in what an
// endpoint takes.
func (g *Gateway) throttled(b *backend, before, after throttle.Throttle, now time.Time) {
	if after.Held(now) == throttle.Leaving && before.Held(now) != throttle.Leaving {
		g.Log.Info().Str("endpoint", b.ID).Msg("endpoint says that it leaves")
	}
	from, to := before.Limit(), after.Limit()
	if from == to {
		return
	}
	share := 0.0
	if to.Named() {
		share = g.divide(b, now)
	}
	if from.Named() == to.Named() && max(from.Rate, to.Rate) <= min(from.Rate, to.Rate)*(1+limitChange) {
		return
	}
	g.Log.Info().Str("endpoint", b.ID).Float64("limit_per_s", to.Rate).Float64("former_per_s", from.Rate).
		Float64("share_per_s", share).Dur("age_ms", now.Sub(to.At)).Int("relays", to.Relays).Msg("endpoint changes its limit")
}

// thousandths is the unit in which gateways tell each other of requests a second.
const thousandths = 1000

// divide works this gateway's part of an endpoint's limit out, and returns it.
func (g *Gateway) divide(b *backend, now time.Time) float64 {
	t := b.use.intake.Load()
	near, far := g.peers.Claims(b.ID)
	share := apportion.Division{
		Key: b.ID, Limit: t.Limit().Rate, Fleet: g.peers.Size(), Near: near, Far: far, Even: apportion.DefaultEven,
		Own: apportion.Claim{Name: g.Name, Members: 1, Wanted: t.Claim(now, 2*g.gossip.Every()) * thousandths},
	}.Share()
	b.use.intake.Divide(share, now)
	return share
}

// divideAll works this gateway's parts out anew of the limits that concern it: what others want
// changes with each digest.
func (g *Gateway) divideAll(now time.Time) {
	for _, b := range g.fleet.Load().byID {
		if b.use.intake.Silent() {
			continue
		}
		t := b.use.intake.Load()
		if _, known := t.Share(); t.Named() && (!known || t.Demand(now) > 0) {
			g.divide(b, now)
		}
	}
}

// tellIntake adds to a use what other gateways need to know of the endpoint's limit: what this one has
// heard from the endpoint itself or, for all of its hall, from another one that has. A word that was
// told on would come back as a newer one, and never end.
func (u *usage) tellIntake(use *gossip.Use, now time.Time, forHall bool) {
	t := u.intake.Load()
	limit, relays := t.Limit(), 0
	if forHall {
		relays = 1
	}
	if !t.Tells(now) || limit.Relays > relays {
		return
	}
	use.LimitMillis = uint32(min(limit.Rate, maxTold) * thousandths)
	use.LimitAgeMillis = uint32(max(now.Sub(limit.At), 0).Milliseconds()) + 1
}

// maxTold is the largest limit that is told of, in requests a second: nothing reaches it.
const maxTold = 1e6

// hearLimit takes in what another gateway, or one that speaks for a hall, says of an endpoint's limit.
func (g *Gateway) hearLimit(b *backend, use *gossip.Use, forHall bool, now time.Time) {
	age := use.GetLimitAgeMillis()
	if age == 0 {
		return
	}
	limit := throttle.Limit{
		Rate: float64(use.GetLimitMillis()) / thousandths, At: now.Add(-time.Duration(age-1) * time.Millisecond), Relays: 1,
	}
	if forHall {
		limit.Relays = 2
	}
	before, after := b.use.intake.Told(limit, now)
	g.throttled(b, before, after, now)
}

// maxHeld bounds the endpoints that the log of a request names as those that took it not.
const maxHeld = 4

// noteHeld notes which endpoints hold a request off at now, when one may take it, and, at its first
// look, why, for the log.
func (g *Gateway) noteHeld(q *query, held []*backend, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.heldUntil = time.Time{}
	for _, b := range held {
		t := b.use.intake.Load()
		if from, known := t.From(now); known && (q.heldUntil.IsZero() || from.Before(q.heldUntil)) {
			q.heldUntil = from
		}
		if q.looked || len(q.held) >= maxHeld {
			continue
		}
		hold := t.Held(now)
		share, _ := t.Share()
		q.held = append(q.held, fmt.Sprintf("%s %s limit=%.3g share=%.3g wanted=%.3g", b.ID, hold, t.Limit().Rate, share, t.Demand(now)))
		g.Meter.Held(string(hold))
	}
	q.looked = true
}

// awaitIntake waits, in place of being refused, until an endpoint of a plain service takes a request
// again, and reports whether that comes while the answer can be in time.
func (g *Gateway) awaitIntake(q *query) bool {
	now := time.Now()
	from := q.takenFrom()
	wait := from.Sub(now)
	if from.IsZero() || wait > q.start.Add(objective(q.route)/2).Sub(now) || q.r.Context().Err() != nil {
		return false
	}
	pause.For(q.r.Context(), max(wait, time.Millisecond))
	return true
}
