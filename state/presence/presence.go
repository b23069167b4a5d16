// Package presence keeps what a gateway has observed, and what others report, of whether an endpoint is
// there.
package presence

import (
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/decide/liveness"
	"github.com/grademill/grademill/state/reporters"
)

// Presence is the state of one endpoint. Its times are in nanoseconds of Unix time, 0 for never. Set
// Reporters before the first use. It is safe for concurrent use.
type Presence struct {
	// Reporters are the other gateways that report it down.
	Reporters reporters.Reporters
	// OthersDown is the number of other gateways that recently got no answer from it.
	OthersDown atomic.Int64
	// EventAt is when an event last came through it.
	EventAt atomic.Int64
	// CheckedAt is when it last answered a check, and OthersCheckedAt when it last answered one of another
	// gateway.
	CheckedAt, OthersCheckedAt atomic.Int64

	// downSince is when it was found not to answer, 0 while it answers, silentAt when it last gave no
	// answer, and rechecks counts the consecutive checks without an answer since it was found down.
	downSince, silentAt, rechecks atomic.Int64
	// reportedDownUntil is until when it is presumed dead because other gateways report it down,
	// reportedDownSince since when it is, and contradictedUntil until when these reports do not count
	// because it has answered this gateway meanwhile.
	reportedDownUntil, reportedDownSince, contradictedUntil atomic.Int64
	// stalledUntil is until when it is avoided after it stalled requests, as observed by this gateway, and
	// othersStalledUntil the same as reported by others; stalls counts the stalls observed by this gateway.
	stalledUntil, othersStalledUntil, stalls atomic.Int64
}

// elapsed returns the time from at to now.
func elapsed(now time.Time, at *atomic.Int64) time.Duration {
	return time.Duration(now.UnixNano() - at.Load())
}

// Down reports whether the endpoint does not answer this gateway.
func (p *Presence) Down() bool {
	return p.downSince.Load() != 0
}

// MarkDown records at now that the endpoint does not answer.
func (p *Presence) MarkDown(now time.Time) {
	p.downSince.Store(now.UnixNano())
	p.silentAt.Store(now.UnixNano())
	p.rechecks.Store(0)
}

// MarkStillDown records at now that an endpoint that is down has not answered a further check.
func (p *Presence) MarkStillDown(now time.Time) {
	p.silentAt.Store(now.UnixNano())
	p.rechecks.Add(1)
}

// MarkUp records that the endpoint answers again.
func (p *Presence) MarkUp() {
	p.downSince.Store(0)
}

// DownFor returns how long the endpoint has been down at now, if it is.
func (p *Presence) DownFor(now time.Time) time.Duration {
	return elapsed(now, &p.downSince)
}

// RecheckDue reports whether an endpoint that is down is to be checked again by a gateway that is not one
// of its checkers.
func (p *Presence) RecheckDue(now time.Time) bool {
	return liveness.RecheckDue(elapsed(now, &p.silentAt), int(p.rechecks.Load()), p.OthersDown.Load() != 0)
}

// Reportable reports whether this gateway reports the endpoint down at now.
func (p *Presence) Reportable(now time.Time) bool {
	return p.Down() && elapsed(now, &p.silentAt) < liveness.ReportFresh
}

// ReportDown records a report of another gateway that the endpoint is down, and reports whether that is
// the first one, and whether the reports are to be believed.
func (p *Presence) ReportDown(from string, now time.Time) (first, believed bool) {
	first = p.Reporters.Count(now) == 0
	return first, p.Reporters.Report(from, now) >= liveness.EnoughWitnesses && !p.contradicted(now)
}

// BelieveDown presumes the endpoint dead because other gateways report it down. It reports whether that is
// new.
func (p *Presence) BelieveDown(now time.Time) bool {
	known := p.PresumedDead(now)
	if now.UnixNano() > p.reportedDownUntil.Load() {
		p.reportedDownSince.Store(now.UnixNano())
	}
	p.reportedDownUntil.Store(now.Add(liveness.ReportFresh).UnixNano())
	return !known
}

// Unverified reports whether the endpoint has been presumed dead by the reports of others for so long that
// this gateway checks it itself.
func (p *Presence) Unverified(now time.Time) bool {
	return now.UnixNano() < p.reportedDownUntil.Load() && liveness.VerifyReports(elapsed(now, &p.reportedDownSince))
}

// PresumedDead reports whether the endpoint is presumed to have ended, or to be cut off, at now: the
// requests that run there are lost. The loss of a single request there says nothing about the others.
func (p *Presence) PresumedDead(now time.Time) bool {
	at := now.UnixNano()
	return p.Down() || at < p.stalledUntil.Load() || at < p.othersStalledUntil.Load() || at < p.reportedDownUntil.Load()
}

// ReportedDown reports whether other gateways report the endpoint down while no event has recently come
// through it here. It then gets no new requests; those that run there are checked.
func (p *Presence) ReportedDown(now time.Time) bool {
	return p.OthersDown.Load() >= liveness.EnoughWitnesses && !p.contradicted(now) && liveness.Idle(elapsed(now, &p.EventAt))
}

// contradicted reports whether reports that the endpoint is down do not count, since it has answered this
// gateway.
func (p *Presence) contradicted(now time.Time) bool {
	return now.UnixNano() < p.contradictedUntil.Load()
}

// NoteAnswered records that the endpoint has answered a question asked at begun, and reports whether it
// had been presumed dead because others reported it down.
func (p *Presence) NoteAnswered(begun, now time.Time) bool {
	if p.Reporters.Count(now) == 0 || begun.UnixNano() <= p.reportedDownSince.Load() {
		return false
	}
	p.contradictedUntil.Store(now.Add(liveness.ContradictionTime).UnixNano())
	return now.UnixNano() < p.reportedDownUntil.Swap(0)
}

// NoteOthersCheck records that the endpoint answered a check of another gateway at a time.
func (p *Presence) NoteOthersCheck(at time.Time) {
	if at.UnixNano() > p.OthersCheckedAt.Load() {
		p.OthersCheckedAt.Store(at.UnixNano())
	}
}

// LatestCheckAge returns how long ago at now the endpoint last answered a check of any gateway.
func (p *Presence) LatestCheckAge(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - max(p.CheckedAt.Load(), p.OthersCheckedAt.Load()))
}

// HasRecentEvent reports whether an event has just come through the endpoint.
func (p *Presence) HasRecentEvent(now time.Time) bool {
	return liveness.Alive(elapsed(now, &p.EventAt))
}

// Stall records at now that the endpoint stalled requests.
func (p *Presence) Stall(now time.Time) {
	p.stalledUntil.Store(now.Add(liveness.StallWait(int(p.stalls.Add(1)))).UnixNano())
}

// StalledFor returns for how long after now the endpoint is avoided because it stalled requests, 0 if it
// is not.
func (p *Presence) StalledFor(now time.Time) time.Duration {
	return max(time.Duration(p.stalledUntil.Load()-now.UnixNano()), 0)
}

// NoteOthersStall records at now that another gateway avoids the endpoint for wait, because it stalled
// requests. It reports whether the endpoint was not presumed dead before.
func (p *Presence) NoteOthersStall(now time.Time, wait time.Duration) bool {
	isNew := !p.PresumedDead(now)
	p.othersStalledUntil.Store(now.Add(wait).UnixNano())
	return isNew
}
