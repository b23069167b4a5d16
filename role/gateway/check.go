package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/adapter/probe"
	"github.com/grademill/grademill/decide/endpoint"
	"github.com/grademill/grademill/decide/liveness"
	"github.com/grademill/grademill/port/runner"
	"github.com/grademill/grademill/state/suspects"
)

// verifyPoll is the interval at which a concurrent check is polled for its end: checking a live
// endpoint takes a few milliseconds.
const verifyPoll = 2 * time.Millisecond

// Results of checks, as the metrics name them.
const (
	checkPassed  = "passed"
	checkSilent  = "silent"
	checkStarved = "held up"
	checkRevived = "revived"
	// checkNewIncarnation is a check that another incarnation of the endpoint answered.
	checkNewIncarnation = "another life"
	// checkStillSilent is a check without an answer of an endpoint that is already down.
	checkStillSilent = "still silent"
)

// checkAsync checks an endpoint in the background, one check at a time, and again while this
// process is starved of processor time. If the endpoint does not answer, the streams through it are
// moved at once: the endpoints before it in the chain report the stall later.
func (g *Gateway) checkAsync(b *backend) {
	if b.use.Down() || !b.use.checking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		begun := time.Now()
		known := g.checkNow(b)
		b.use.checking.Store(false)
		if !known {
			g.recheckStarved(b, begun)
		}
	}()
}

// recheckStarved repeats the check of an endpoint that could not be judged until it can be, an
// event has come through it after since, or its record is gone.
func (g *Gateway) recheckStarved(b *backend, since time.Time) {
	if !b.use.recheckingStarved.CompareAndSwap(false, true) {
		return // another goroutine repeats the check
	}
	defer b.use.recheckingStarved.Store(false)
	for checks := 1; g.isCurrent(b); checks++ {
		pause.For(context.Background(), liveness.StarvedWait(checks))
		if b.use.Down() || b.use.EventAt.Load() > since.UnixNano() {
			return
		}
		if !b.use.checking.CompareAndSwap(false, true) {
			continue // another check is running
		}
		known := g.checkNow(b)
		b.use.checking.Store(false)
		if known {
			return
		}
	}
}

// isCurrent reports whether the backend is the incarnation that the record of the endpoint names.
func (g *Gateway) isCurrent(b *backend) bool {
	current := g.fleet.Load().ByID[b.ID]
	return current != nil && current.use == b.use
}

// verify checks an endpoint that has broken off an answer, and returns once it is known whether it
// has ended: an endpoint that has ended does not count as an attempt of the request.
func (g *Gateway) verify(ctx context.Context, b *backend) {
	brokenAt := time.Now()
	for !b.use.checking.CompareAndSwap(false, true) {
		if ctx.Err() != nil || b.use.Down() {
			return
		}
		pause.For(ctx, verifyPoll)
	}
	defer b.use.checking.Store(false)
	if !b.use.Down() {
		g.checkSince(b, brokenAt)
	}
}

// checkIfUncertain checks an endpoint through which an event is late, unless one has just come
// through it or it has recently passed a check.
func (g *Gateway) checkIfUncertain(b *backend, now time.Time) {
	if b.use.HasRecentEvent(now) || liveness.Checked(elapsed(now, &b.use.CheckedAt)) {
		return
	}
	g.checkAsync(b)
}

// checkRefused checks an endpoint that a refusal names, which has no room or has ended, on the
// conditions of checkIfUncertain; sent is when the request was sent. A misdirected request means
// that the endpoint lacks the layers of its record: then it is checked unless it has passed a check
// since sent.
func (g *Gateway) checkRefused(b *backend, misdirected bool, sent time.Time) {
	if misdirected && b.use.CheckedAt.Load() < sent.UnixNano() {
		g.checkAsync(b)
		return
	}
	g.checkIfUncertain(b, time.Now())
}

// checkBehind checks an endpoint that this gateway reaches only through another one, on the
// conditions of checkIfUncertain; there, a check by another gateway counts as much as its own. Of
// the gateways that use a slow endpoint one checks it first, and the others only if no digest
// reports that check.
func (g *Gateway) checkBehind(b *backend, now time.Time) {
	if liveness.CheckedByOthers(elapsed(now, &b.use.OthersCheckedAt), g.gossip.Overlay().ItemRank(b.ID, b.Hall)) {
		return
	}
	g.checkIfUncertain(b, now)
}

// checkNow asks an endpoint for its report, and records it as down if it does not answer or another
// incarnation does. An endpoint of a plain service has no report: checkNow records whether its host
// refuses connections. It returns false when the endpoint cannot be judged because this process was
// starved of processor time.
func (g *Gateway) checkNow(b *backend) bool {
	return g.checkSince(b, time.Time{})
}

// checkSince is like checkNow, but uses the result of another check that began after a non-zero since.
func (g *Gateway) checkSince(b *backend, since time.Time) bool {
	begun := time.Now()
	if b.Card == "" {
		if since.IsZero() || b.use.checkBegunAt.Load() <= since.UnixNano() {
			g.checkPlain(b)
			b.use.checkBegunAt.Store(begun.UnixNano())
		}
		return true
	}
	report, err := g.probes.QuerySince(context.Background(), b.Address, since)
	now := time.Now()
	switch {
	case errors.Is(err, probe.ErrUncertain):
		g.Meter.Check(checkStarved)
		return false
	case silent(err):
		g.Meter.Check(checkSilent)
		g.noteSilence(b, errors.Is(err, syscall.ECONNREFUSED), err, begun)
		return true
	case err == nil && b.replacedBy(report):
		g.Meter.Check(checkNewIncarnation)
		g.noteSilence(b, true, errNewIncarnation, begun)
		return true
	}
	g.Meter.Check(checkPassed)
	b.use.CheckedAt.Store(now.UnixNano())
	g.noteAnswer(b, begun, now)
	if err == nil {
		b.use.pace.Set(report.Pace, begun)
		b.noteLayers(report.Layers, begun)
		g.noteStalls(report)
	}
	return true
}

// referenceFresh is how recent an event must be that came through an endpoint with which a silent
// one is compared: shorter than the wait for a silent endpoint, so that the two have not ended
// together.
const referenceFresh = 60 * time.Millisecond

// reference returns the address of an endpoint with which a silent one is compared: the one, other
// than the given one, through which an event came last. It returns the empty string if that was
// longer than referenceFresh ago. When the link of this host is congested no endpoint answers in
// time.
func (g *Gateway) reference(address string) string {
	last, found := time.Now().Add(-referenceFresh).UnixNano(), ""
	for _, b := range g.fleet.Load().ByAddress {
		if at := b.use.EventAt.Load(); b.Address != address && at > last && !b.use.Down() {
			last, found = at, b.Address
		}
	}
	return found
}

// errNewIncarnation is the error of an endpoint that answers as an incarnation other than that of
// its record.
var errNewIncarnation = errors.New("the endpoint has started again")

// replacedBy reports whether a report comes from a later incarnation than the record names. That
// incarnation holds nothing that the record says.
func (b *backend) replacedBy(r runner.Report) bool {
	return endpoint.Endpoint{Born: r.Born}.Supersedes(b.Endpoint)
}

// noteSilence records that a check, begun at the given time, got no answer from an endpoint, and
// whether the endpoint has certainly ended.
func (g *Gateway) noteSilence(b *backend, ended bool, err error, begun time.Time) {
	now := time.Now()
	begunRequests := b.use.watchers.begun(now) // before the watchdogs that wait for this check unregister
	b.use.markDown(now, ended)
	g.Log.Info().Str("endpoint", b.ID).Str("address", b.Address).Err(err).Bool("ended", ended).
		Strs("begun", suspects.Prints(begunRequests)).Dur("took_ms", now.Sub(begun)).Msg("endpoint does not answer")
	if ended { // before the requests are moved, which may end other endpoints
		g.quarantine.Report(b.incarnation(), begunRequests, now)
	} else {
		b.use.begun.Store(&begunRequests)
	}
	g.announceLoss(b)
}

// checkPlain records whether the host of an endpoint of a plain service refuses connections to it.
// Its health check would wait for a slot, as requests do.
func (g *Gateway) checkPlain(b *backend) {
	ended := probe.ConnectionRefused(context.Background(), b.Address)
	if ended {
		g.Meter.Check(checkSilent)
	} else {
		g.Meter.Check(checkPassed)
	}
	if b.use.ended.Swap(ended) != ended {
		g.Log.Info().Str("endpoint", b.ID).Str("address", b.Address).Bool("ended", ended).Msg("plain endpoint was checked")
	}
}

// noteAnswer records that an endpoint has answered a question asked at begun.
func (g *Gateway) noteAnswer(b *backend, begun, now time.Time) {
	if b.use.NoteAnswered(begun, now) {
		g.Log.Info().Str("endpoint", b.ID).Str("address", b.Address).Int("witnesses", b.use.Reporters.Count(now)).
			Msg("endpoint answers, against the word of others")
	}
}

// silent reports whether an error of a check shows that the endpoint is not there: an endpoint that
// refuses is alive.
func silent(err error) bool {
	var refused *runner.RefusedError
	return err != nil && !errors.As(err, &refused)
}

// announceLoss has the streams through a lost endpoint moved, and notifies the other gateways at
// once.
func (g *Gateway) announceLoss(b *backend) {
	b.use.watchers.checkSoon()
	if b.use.Down() && b.use.Reporters.Count(time.Now()) < liveness.EnoughWitnesses {
		g.gossip.ReportLoss(b.ID)
	}
	g.gossip.SendSoon()
}

// noteStalls records which endpoints stall requests according to a report, and has the streams
// through them moved.
func (g *Gateway) noteStalls(report runner.Report) {
	now := time.Now()
	for _, stall := range report.Stalled {
		b := g.fleet.Load().ByAddress[stall.Address]
		if b == nil || b.use.PresumedDead(now) {
			continue
		}
		b.use.Stall(now)
		g.Log.Info().Str("endpoint", b.ID).Str("address", b.Address).Str("request", stall.Request).
			Msg("endpoint holds requests up")
		g.announceLoss(b)
	}
}

// hasEnded reports whether an endpoint that still has a record has ended: it has not answered this
// gateway for some time, and another gateway, if there is one, gets no answer either.
func (g *Gateway) hasEnded(b *backend, now time.Time) bool {
	if !b.use.Down() || !liveness.Ended(b.use.DownFor(now)) {
		return false
	}
	return g.peers.Alone() || b.use.OthersDown.Load() > 0
}

// revive checks the endpoints that are down until ctx ends: they get requests only after they have
// answered again.
func (g *Gateway) revive(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, liveness.RecheckInterval)
		for _, b := range g.fleet.Load().ByID {
			g.verifyReportedDown(b, time.Now())
			if !b.use.Down() || !g.recheckDue(b, time.Now()) || !b.use.checking.CompareAndSwap(false, true) {
				continue
			}
			go func() {
				defer b.use.checking.Store(false)
				g.recheck(ctx, b)
			}()
		}
	}
}

// verifyReportedDown checks an endpoint that has for some time been presumed dead because others
// report it down: the others may be cut off from it, and this gateway may be the one that reaches
// it.
func (g *Gateway) verifyReportedDown(b *backend, now time.Time) {
	if b.use.Unverified(now) {
		g.checkAsync(b)
	}
}

// isChecker reports whether this gateway is one of those that check an endpoint for the others: the
// leader and the first few in rank.
func (g *Gateway) isChecker(b *backend) bool {
	return g.leader.Leading() || liveness.IsChecker(g.gossip.Overlay().ItemRank(b.ID, b.Hall))
}

// recheckDue reports whether an endpoint that is down is to be checked again. Its checkers check it
// all the time, the other gateways once the checkers no longer report it down, or after the longest
// interval. An endpoint that is down for this gateway alone is checked at growing intervals.
func (g *Gateway) recheckDue(b *backend, now time.Time) bool {
	return g.isChecker(b) || b.use.RecheckDue(now)
}

// recheck asks an endpoint that is down for its report, and uses it again when it gives one.
func (g *Gateway) recheck(ctx context.Context, b *backend) {
	report, err := g.probes.Query(ctx, b.Address)
	if errors.Is(err, probe.ErrUncertain) {
		g.Meter.Check(checkStarved)
		return
	}
	if silent(err) || b.replacedBy(report) { // the record of the new incarnation follows
		g.Meter.Check(checkStillSilent)
		b.use.MarkStillDown(time.Now())
		if !silent(err) || errors.Is(err, syscall.ECONNREFUSED) {
			g.endedAfterSilence(b, time.Now())
		}
		return
	}
	b.use.begun.Store(nil)
	g.Meter.Check(checkRevived)
	if err == nil {
		b.noteLayers(report.Layers, time.Now())
	}
	b.use.MarkUp()
	b.use.ended.Store(false)
	g.Log.Info().Str("endpoint", b.ID).Str("address", b.Address).Msg("endpoint answers again")
}
