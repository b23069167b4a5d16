package gateway

import (
	"context"
	"time"

	"github.com/grademill/grademill/adapter/withdrawal"
	"github.com/grademill/grademill/decide/cause"
	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/decide/shortage"
	"github.com/grademill/grademill/decide/suspicion"
	"github.com/grademill/grademill/role/quarantine"
)

// initQuarantine sets up the quarantine of requests that may have crashed endpoints.
func (g *Gateway) initQuarantine() {
	g.quarantine = quarantine.Quarantine{
		Self: g.Name, Keepers: func(key string) []overlay.Member { return g.gossip.Overlay().Keepers(key) },
		Others: func() []overlay.Member { return g.gossip.Overlay().Others }, Send: g.gossip.Send, SendSoon: g.gossip.SendSoon,
		State: g.incarnationState, Store: g.Store, StoreAnswers: func() bool { return !g.failing.Load() },
		Count: g.Meter.Quarantine, Log: g.Log,
	}
	g.quarantine.Init()
}

// initGuard sets up the guard of a request, whose service is known.
func (g *Gateway) initGuard(q *query) {
	request := fingerprint.Request{Method: q.r.Method, Host: q.r.Host, Target: q.r.RequestURI, Team: q.team, Body: q.body}
	q.guard.Quarantine, q.guard.Request = &g.quarantine, q.ID
	q.guard.Causes = cause.List(fingerprint.Of(request), q.service.Name, q.SharedParts)
	q.guard.Spare = func() []suspicion.Incarnation { return g.spare(q, time.Now()) }
}

// quarantined reports whether a cause of the request is quarantined at now, and sets the reason of its refusal if so.
func (g *Gateway) quarantined(q *query, now time.Time) bool {
	by, left := q.guard.Quarantined(now)
	if left > 0 {
		q.refused = &quarantine.RefusedError{Reason: string(shortage.Quarantine), Cause: by, RetryAfter: left}
	}
	return left > 0
}

// incarnation returns the incarnation that the record of the endpoint names.
func (b *backend) incarnation() suspicion.Incarnation {
	return suspicion.Incarnation{Endpoint: b.ID, Born: b.Born}
}

// endedAfterSilence records at now that an endpoint that had been found silent has certainly ended:
// silence alone may be a network partition between it and this gateway.
func (g *Gateway) endedAfterSilence(b *backend, now time.Time) {
	b.use.ended.Store(true)
	if begun := b.use.begun.Swap(nil); begun != nil {
		g.quarantine.Report(b.incarnation(), *begun, now)
	}
}

// incarnationEnded records at now that the incarnation of an endpoint has certainly ended: its
// requests are lost, and those that it had just started become suspects.
func (g *Gateway) incarnationEnded(b *backend, now time.Time) {
	g.endedAfterSilence(b, now)
	begun := b.use.watchers.begun(now) // before the watchdogs that wait for a check unregister
	b.use.markDown(now, true)
	b.use.watchers.checkSoon()
	g.quarantine.Report(b.incarnation(), begun, now)
}

// endedUnder reports the end of an endpoint of a plain service that gave a request no whole answer,
// if its process has ended. It waits for the check only if the request may be sent again, which
// depends on the result: the checks of a silent endpoint take long, and the caller waits no longer. ctx
// is the context of the attempt.
func (g *Gateway) endedUnder(ctx context.Context, q *query, b *backend, sentAt time.Time) {
	if !q.reached.Load() || q.r.Context().Err() != nil || withdrawal.Withdrawn(ctx) {
		return
	}
	begun := q.guard.Begun(time.Since(sentAt))
	report := func(ctx context.Context) {
		if g.verify(ctx, b); b.use.ended.Load() {
			g.quarantine.Report(b.incarnation(), begun, time.Now())
		}
	}
	if q.route.Repeats() && ctx.Err() == nil {
		report(ctx)
		return
	}
	go report(context.WithoutCancel(q.r.Context()))
}

// incarnationState returns whether an incarnation has certainly ended: its record is gone or names another incarnation,
// or its endpoint is known to have ended. Otherwise it returns whether the endpoint is presumed dead or nothing is known
// of it yet, and has it checked if neither is so.
func (g *Gateway) incarnationState(l suspicion.Incarnation) (ended, silent bool) {
	b := g.fleet.Load().ByID[l.Endpoint]
	over := b == nil || b.Born != 0 && l.Born != 0 && b.Born != l.Born || b.use.ended.Load()
	if over || b.use.PresumedDead(time.Now()) {
		return over && g.loaded.Load(), true
	}
	g.checkIfUncertain(b, time.Now())
	return false, false
}
