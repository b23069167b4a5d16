package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/adapter/steadywrite"
	"github.com/grademill/grademill/adapter/upstream"
	"github.com/grademill/grademill/decide/health"
	"github.com/grademill/grademill/decide/overdue"
	"github.com/grademill/grademill/decide/plainload"
	"github.com/grademill/grademill/decide/throttle"
	"github.com/grademill/grademill/state/retrybudgets"
)

// maxSends bounds how often one request is sent. A stream whose caller already has events may exceed
// it after refusals.
const maxSends = 4

// answerWait bounds the write of a piece of an answer to a caller that does not read.
const answerWait = 10 * time.Second

// servePlain serves a request of a plain service.
func (g *Gateway) servePlain(q *query) {
	defer q.dropClaimed()
	reason := "no endpoint is there"
	for q.sends.Count() < maxSends {
		if q.failure != nil && q.guard.MayCrash() { // it would wait for an isolated attempt
			break
		}
		short := g.awaitIsolation(q, false, time.Time{})
		if short == shortageNone && q.gone() {
			short = shortageCaller
		}
		if short != shortageNone {
			reason = joinReasons(short, reason)
			break
		}
		if q.guard.Suspected() || q.guard.Endpoint() != "" {
			q.dropClaimed() // it has become a suspect
		}
		if q.claimed == nil {
			b := g.pick(q)
			if b == nil && q.failure == nil && g.awaitIntake(q) {
				continue
			}
			if b == nil {
				break
			}
			if q.claimed, short = g.claim(q, b, q.cause); short == shortageHeld {
				continue // another request has taken the room meanwhile
			}
			if short != shortageNone {
				reason = joinReasons(short, reason)
				break
			}
		}
		place := q.claimed
		q.claimed = nil
		b := place.backend
		q.noteUsed(b.Address)
		done, why := g.attemptPlain(q, b, place.retry)
		if done {
			return
		}
		reason = why
		q.avoid(b.Address)
		if q.mayHaveRun.Load() && (!q.route.Repeats() || q.runs() >= q.route.Attempts) {
			break
		}
		if q.timeLeft(time.Now()) <= 0 {
			break
		}
	}
	q.dropClaimed() // the caller may take long to read a kept answer
	g.giveUp(q, reason)
}

// claimed is the place of a request at an endpoint of a plain service, and its retry, nil for none.
type claimed struct {
	backend *backend
	at      time.Time
	retry   *retrybudgets.Charge
}

// claim takes a place at an endpoint, and a retry if the request may have reached one before.
func (g *Gateway) claim(q *query, b *backend, cause string) (*claimed, shortage) {
	c := &claimed{backend: b, at: time.Now()}
	if b.use.intake.Take(c.at) != throttle.NotHeld {
		return nil, shortageHeld
	}
	if q.everReached.Load() {
		var short shortage
		if c.retry, short = g.takeRetry(q, cause); c.retry == nil {
			b.use.intake.GiveBack(c.at, time.Now())
			return nil, short
		}
	}
	return c, shortageNone
}

// dropClaimed gives back a claimed place that is not used.
func (q *query) dropClaimed() {
	if c := q.claimed; c != nil {
		c.retry.Return()
		c.backend.use.intake.GiveBack(c.at, time.Now())
		q.claimed = nil
	}
}

// claimOther claims a place, and a retry, at an endpoint other than b for a request that was sent to b
// at sentAt. It returns nil if there is none where the answer can be expected sooner.
func (g *Gateway) claimOther(q *query, b *backend, sentAt time.Time) *claimed {
	now := time.Now()
	if q.guard.MayCrash() { // it waits for an isolated attempt
		return nil
	}
	other := g.leastLoaded(slices.DeleteFunc(g.candidates(q, now).free, func(o *backend) bool {
		requests := o.use.active.Load() + o.use.othersActive.Load()
		return o.Address == b.Address || !overdue.Elsewhere(now.Sub(sentAt), elapsed(now, &o.use.answeredAt), requests)
	}), now)
	if other == nil {
		return nil
	}
	q.everReached.Store(true) // the request may reach b until its attempt has ended
	c, _ := g.claim(q, other, causeAbandoned)
	return c
}

// candidates are the backends of a plain service that a request may use.
type candidates struct {
	// free accept requests, limited have no share of their limit left for this gateway, and
	// unavailable accept nothing for another reason.
	free, limited, unavailable []*backend
	// spare is a backend that is avoided but accepts requests, nil for none.
	spare *backend
}

// candidates returns the backends to which a request may go at now.
func (g *Gateway) candidates(q *query, now time.Time) candidates {
	var c candidates
	own, reserved := q.guard.Endpoint(), g.quarantine.Reserved(now)
	for _, b := range g.fleet.Load().Open[q.service.Name] {
		if q.avoids(b.Address, now) || own != "" && b.ID != own {
			continue
		}
		hold, passedOver := b.use.intake.Held(now), !q.guard.MayUse(b.ID, reserved) || b.use.avoided(now)
		switch {
		case hold == throttle.NotHeld && passedOver:
			c.spare = b
		case hold == throttle.NotHeld:
			c.free = append(c.free, b)
		case hold == throttle.Limited && !passedOver:
			c.limited = append(c.limited, b)
		case hold != throttle.Limited:
			c.unavailable = append(c.unavailable, b)
		}
	}
	return c
}

// pick returns the least loaded backend of a plain service that accepts requests, by the requests
// of all gateways there, the queue length that the endpoint reported recently, its hall and its
// failure rate. If all of them are avoided or reserved for suspects, it returns one of those. A
// backend that accepts nothing for now is not returned even if it is the only one.
func (g *Gateway) pick(q *query) *backend {
	now := time.Now()
	c := g.candidates(q, now)
	if wanted := g.leastLoaded(slices.Concat(c.free, c.limited), now); wanted != nil && !q.hasSearched() {
		wanted.use.intake.CountDemand(now)
	}
	g.noteDeclined(q, slices.Concat(c.limited, c.unavailable), now)
	if best := g.leastLoaded(c.free, now); best != nil {
		return best
	}
	return c.spare
}

// leastLoaded returns the least loaded of some backends, nil for none.
func (g *Gateway) leastLoaded(list []*backend, now time.Time) *backend {
	var best *backend
	least := 0.0
	for _, b := range list {
		if score := g.load(b, now); best == nil || score < least {
			best, least = b, score
		}
	}
	return best
}

// load returns the load score of a backend of a plain service.
func (g *Gateway) load(b *backend, now time.Time) float64 {
	return plainload.Load{
		Active: b.use.active.Load() + b.use.othersActive.Load(), Waiting: b.use.waiting.Load(),
		ReportAge: time.Duration(now.UnixNano() - b.use.loadReportedAt.Load()),
		OtherHall: b.Hall != g.Hall, FailureRate: b.use.health.Load().FailureRate,
	}.Score()
}

// attemptPlain sends the request to a backend with the retry taken for that, nil for none. It reports whether the request has ended; otherwise
// it also returns why this attempt failed.
func (g *Gateway) attemptPlain(q *query, b *backend, retry *retrybudgets.Charge) (bool, string) {
	b.use.take(0)
	defer b.use.release(0)
	deadline, cancelDeadline := context.WithDeadline(q.r.Context(), q.deadline)
	defer cancelDeadline()
	ctx, cancel := context.WithCancelCause(deadline)
	defer cancel(nil)
	last := !q.route.Repeats() || q.runs()+1 >= q.route.Attempts || q.sends.Count()+1 >= maxSends
	stop := func() {}
	if wait, sentAt := overdue.AnswerWait(q.route), time.Now(); !last {
		stop = pause.Repeat(wait, wait/2, func() bool {
			if q.claimed = g.claimOther(q, b, sentAt); q.claimed != nil {
				cancel(errAbandoned)
			}
			return q.claimed != nil
		})
	}
	defer func() { stop() }()
	if !q.route.Repeats() { // if this process ends now, this line is the only trace of the request
		g.Log.Info().Str("request", q.ID).Str("endpoint", b.ID).Str("address", b.Address).
			Uint64("version", q.version).Msg("request is sent")
	}
	t := g.send(ctx, q, b, nil, q.LastEvent, retry)
	if t.answer != nil {
		defer t.answer.Close()
	}
	switch t.verdict {
	case verdictNotRun:
		q.cause = causeNotRun
		return false, notRunReason(t)
	case verdictLost, verdictEnded:
		q.cause = causeLost
		g.endedUnder(q, b, t.sentAt)
		return false, t.err.Error()
	}
	body, err := t.answer.ReadAll()
	stop()
	if err != nil {
		b.use.health.Update(health.Record.WithFailure)
		q.cause = causeBroken
		g.endedUnder(q, b, t.sentAt)
		return false, "the answer broke off: " + err.Error()
	}
	q.guard.PassedSince(t.sentAt)
	if t.answer.Status >= http.StatusInternalServerError {
		b.use.health.Update(health.Record.WithFailure)
		q.failure, q.cause = &wholeAnswer{t, body}, causeFailed
		return false, "the endpoint answered " + strconv.Itoa(t.answer.Status)
	}
	b.use.health.Update(health.Record.WithSuccess)
	q.dropClaimed() // the caller may take long to read the answer
	g.deliver(q, t, body)
	return true, ""
}

// errAbandoned ends an attempt for one at another endpoint.
var errAbandoned = errors.New("the attempt was abandoned for another endpoint")

// notRunReason returns why a request was not run.
func notRunReason(t sendResult) string {
	if t.err != nil {
		return t.err.Error()
	}
	return "the endpoint turned it away with status " + strconv.Itoa(t.answer.Status)
}

// notRunStatuses are the statuses that tell a caller that the request has not run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// wholeAnswer is an answer whose body has been read to its end.
type wholeAnswer struct {
	sendResult
	body []byte
}

// deliver passes a whole answer on.
func (g *Gateway) deliver(q *query, t sendResult, body []byte) {
	if notRunStatuses[t.answer.Status] { // the endpoint ran it, but its status would say otherwise
		g.fail(q, http.StatusBadGateway, "the endpoint ran the request and answered "+strconv.Itoa(t.answer.Status))
		return
	}
	q.first = time.Now()
	q.setOutcome(t.answer.Status, outcomeServed, "")
	if t.answer.Status >= http.StatusBadRequest {
		q.outcome = outcomeFailed
		q.reason = "the endpoint's own answer"
	}
	upstream.CopyHeader(q.w.Header(), t.answer.Header)
	if q.r.Method != http.MethodHead {
		q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	q.w.WriteHeader(t.answer.Status)
	if err := steadywrite.Write(q.w, body, answerWait); err != nil {
		q.setOutcome(t.answer.Status, outcomeLeft, err.Error())
	}
}
