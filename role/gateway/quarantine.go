package gateway

import (
	"time"

	"github.com/grademill/grademill/adapter/ingress"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/role/quarantine"
	"github.com/grademill/grademill/state/suspects"
)

// initQuarantine sets up the quarantine of requests that may have crashed endpoints.
func (g *Gateway) initQuarantine() {
	g.quarantine = quarantine.Quarantine{
		Self: g.Name, Keepers: func(key string) []overlay.Member { return g.gossip.Overlay().Keepers(key) },
		SendEnds: g.gossip.ReportEnds, SendSoon: g.gossip.SendSoon, HasEnded: g.incarnationOver, Store: g.Store, Count: g.Meter.Quarantine, Log: g.Log,
	}
	g.quarantine.Init()
}

// incarnation returns the incarnation that the record of the endpoint names.
func (b *backend) incarnation() suspects.Incarnation {
	return suspects.Incarnation{Endpoint: b.ID, Born: b.Born}
}

// endedAfterSilence records at now that an endpoint that had been found silent has certainly ended:
// silence alone may be a network partition between it and this gateway.
func (g *Gateway) endedAfterSilence(b *backend, now time.Time) {
	if begun := b.use.begun.Swap(nil); begun != nil {
		g.quarantine.Report(b.incarnation(), *begun, now)
	}
}

// incarnationEnded records at now that the incarnation of an endpoint has certainly ended: its
// requests are lost, and those that it had just started become suspects.
func (g *Gateway) incarnationEnded(b *backend, now time.Time) {
	g.endedAfterSilence(b, now)
	begun := b.use.watchers.begun(b.ID, now) // before the watchdogs that wait for a check unregister
	b.use.markDown(now, true)
	b.use.watchers.checkSoon()
	g.quarantine.Report(b.incarnation(), begun, now)
	g.quarantine.Review(now)
}

// endedUnder reports the end of an endpoint of a plain service that gave a request no whole answer,
// if its process has ended.
func (g *Gateway) endedUnder(q *query, b *backend) {
	if !q.reached.Load() || q.r.Context().Err() != nil {
		return
	}
	g.verify(q.r.Context(), b)
	if b.use.ended.Load() {
		g.quarantine.Report(b.incarnation(), []suspects.Begun{{Print: q.print, Tried: q.isolatedAt() == b.ID}}, time.Now())
	}
}

// incarnationOver reports whether an incarnation counts as ended: its record is gone or names
// another incarnation, or its endpoint is presumed dead or known to have ended. Otherwise the
// endpoint is checked.
func (g *Gateway) incarnationOver(l suspects.Incarnation) bool {
	b := g.fleet.Load().byID[l.Endpoint]
	if b == nil || b.Born != 0 && l.Born != 0 && b.Born != l.Born || b.use.presumedDead(time.Now()) || b.use.ended.Load() {
		return true
	}
	g.checkAsync(b)
	return false
}

// withheld returns why a request is sent to no endpoint: its caller has left, or it is in
// quarantine; shortageNone when neither is the case.
func (g *Gateway) withheld(q *query) shortage {
	switch {
	case ingress.CallerDisconnected(q.r.Context()):
		q.callerGone = true
		return shortageCaller
	case !g.maySend(q):
		return shortageQuarantine
	}
	return shortageNone
}

// maySend reports whether a request may be sent to an endpoint: it is not in quarantine.
func (g *Gateway) maySend(q *query) bool {
	return g.quarantine.Remaining(q.print, time.Now()) == 0
}
