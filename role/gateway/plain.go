package gateway

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/adapter/steadywrite"
	"github.com/grademill/grademill/adapter/upstream"
	"github.com/grademill/grademill/adapter/withdrawal"
	"github.com/grademill/grademill/decide/health"
	"github.com/grademill/grademill/decide/overdue"
	"github.com/grademill/grademill/decide/plainload"
	"github.com/grademill/grademill/decide/shortage"
	"github.com/grademill/grademill/decide/throttle"
	"github.com/grademill/grademill/state/handover"
	"github.com/grademill/grademill/state/retrybudgets"
)

// maxSends bounds how often one request is sent. A stream whose caller already has events may exceed
// it after refusals.
const maxSends = 4

// answerWait bounds the write of a piece of an answer to a caller that does not read.
const answerWait = 10 * time.Second

// servePlain serves a request of a plain service.
func (g *Gateway) servePlain(q *query) {
	reason := "no endpoint is there"
	for q.sends.Count() < maxSends {
		// It would wait for an isolated attempt, or hold memory that other answers wait for.
		if f := q.failure.Load(); f != nil && (q.guard.MayCrash() || len(f.body) > upstream.MaxSmallBody) {
			break
		}
		short := g.awaitIsolation(q, false, time.Time{})
		if short == shortage.None && q.gone() {
			short = shortage.Caller
		}
		if short != shortage.None {
			reason = short.Then(reason)
			break
		}
		b := g.pick(q)
		if b == nil && q.failure.Load() == nil && g.awaitIntake(q) {
			continue
		}
		if b == nil {
			break
		}
		place, short := g.claim(q, b, q.cause)
		if short == shortage.Held {
			continue // another request has taken the room meanwhile
		}
		if short != shortage.None {
			reason = short.Then(reason)
			break
		}
		answer, why := g.attemptPlain(q, place)
		if answer != nil {
			defer answer.close()
			g.deliver(q, answer)
			return
		}
		reason = why
		if q.mayHaveRun.Load() && (!q.route.Repeats() || q.runs() >= q.route.Attempts) || q.timeLeft(time.Now()) <= 0 {
			break
		}
	}
	g.giveUp(q, reason)
}

// claimed is the place of a request at an endpoint of a plain service, with its retry, nil for none.
type claimed struct {
	backend *backend
	at      time.Time
	retry   *retrybudgets.Charge
}

// claim takes a place at an endpoint, and a retry if the request may have reached one before.
func (g *Gateway) claim(q *query, b *backend, cause string) (*claimed, shortage.Shortage) {
	c := &claimed{backend: b, at: time.Now()}
	if b.use.intake.Take(c.at) != throttle.NotHeld {
		return nil, shortage.Held
	}
	if q.everReached.Load() {
		var short shortage.Shortage
		if c.retry, short = g.takeRetry(q, cause); c.retry == nil {
			c.giveBack()
			return nil, short
		}
	}
	return c, shortage.None
}

// giveBack gives back a place that is not used, and its retry. On nil it does nothing.
func (c *claimed) giveBack() {
	if c != nil {
		c.retry.Return()
		c.backend.use.intake.GiveBack(c.at, time.Now())
	}
}

// claimOther claims a place, and a retry, at another endpoint for a request that was sent at sentAt. It
// returns nil if there is none where the answer can be expected sooner.
func (g *Gateway) claimOther(q *query, sentAt time.Time) *claimed {
	now := time.Now()
	if q.guard.MayCrash() { // it waits for an isolated attempt
		return nil
	}
	sent := q.sends.Ran()
	other := g.leastLoaded(slices.DeleteFunc(g.candidates(q, now).free, func(o *backend) bool {
		requests := o.use.active.Load() + o.use.othersActive.Load()
		return slices.ContainsFunc(sent, func(b *backend) bool { return b.Address == o.Address }) ||
			!overdue.Elsewhere(now.Sub(sentAt), elapsed(now, &o.use.answeredAt), requests)
	}), now)
	if other == nil {
		return nil
	}
	q.everReached.Store(true) // the current attempt may reach its endpoint
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
	return cmp.Or(g.leastLoaded(c.free, now), c.spare)
}

// leastLoaded returns the least loaded of some backends, nil for none.
func (g *Gateway) leastLoaded(list []*backend, now time.Time) *backend {
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, func(a, b *backend) int { return cmp.Compare(g.load(a, now), g.load(b, now)) })
}

// load returns the load score of a backend of a plain service.
func (g *Gateway) load(b *backend, now time.Time) float64 {
	return plainload.Load{
		Active: b.use.active.Load() + b.use.othersActive.Load(), Waiting: b.use.waiting.Load(),
		ReportAge: time.Duration(now.UnixNano() - b.use.loadReportedAt.Load()),
		OtherHall: b.Hall != g.Hall, FailureRate: b.use.health.Load().FailureRate,
	}.Score()
}

// attemptPlain sends the request to the endpoint of a place and, while that is silent, to others: the first
// whole answer counts. It returns nil and why the endpoint of the place gave no answer if none did.
func (g *Gateway) attemptPlain(q *query, place *claimed) (*sendResult, string) {
	ctx := withdrawal.Until(q.r.Context(), q.deadline)
	defer ctx.Cancel()
	var h handover.Handover[*sendResult]
	h.Start("")
	stop := func() {}
	if q.route.Repeats() {
		wait, sends, sentAt := overdue.AnswerWait(q.route), q.sends.Count(), time.Now()
		stop = pause.Repeat(wait, wait/2, func() bool {
			if n := q.sends.Count(); n > sends && n < maxSends && q.runs() < q.route.Attempts {
				g.tryOther(q, &h, sentAt, ctx.Cancel)
			}
			return false
		})
	} else { // if this process ends now, this line is the only trace of the request
		g.Log.Info().Str("request", q.ID).Str("endpoint", place.backend.ID).Str("address", place.backend.Address).
			Uint64("version", q.version).Msg("request is sent")
	}
	answer, cause, why := g.sendPlain(ctx, q, place)
	stop()
	q.cause = cause
	if other, ok := h.End(answer != nil && h.Proceed("")); ok {
		answer.close()
		return other, ""
	}
	return answer, why
}

// tryOther sends a request, whose attempt is under way since sentAt, to another endpoint if the answer can
// be expected sooner there. It calls abandon once that has answered.
func (g *Gateway) tryOther(q *query, h *handover.Handover[*sendResult], sentAt time.Time, abandon func()) {
	ctx := withdrawal.Until(q.r.Context(), q.deadline)
	if _, ok := h.Begin(ctx.Withdraw); !ok {
		ctx.Cancel()
		return
	}
	place := g.claimOther(q, sentAt)
	if place == nil || ctx.Err() != nil {
		place.giveBack()
		ctx.Cancel()
		h.Fail()
		return
	}
	go func() {
		defer ctx.Cancel()
		answer, _, why := g.sendPlain(ctx, q, place)
		replaced := answer != nil && h.Succeed(answer)
		g.Log.Info().Str("request", q.ID).Str("endpoint", place.backend.ID).Bool("replaced", replaced).Str("reason", why).
			Msg("request was sent to another endpoint while its own was silent")
		if replaced {
			abandon()
			return
		}
		answer.close()
		h.Fail()
	}()
}

// sendPlain sends the request to the endpoint of a place. It returns the whole answer, which the caller
// closes, or else the cause of another attempt and why this one failed. The request keeps a failure answer.
func (g *Gateway) sendPlain(ctx context.Context, q *query, place *claimed) (answer *sendResult, cause, why string) {
	b := place.backend
	b.use.take(0)
	defer b.use.release(0)
	q.noteUsed(b.Address)
	t, whole := g.send(ctx, q, b, nil, q.LastEvent, place.retry, new(atomic.Bool)), false
	defer func() {
		if !whole {
			t.close()
		}
		if answer == nil {
			q.avoid(b.Address)
		}
	}()
	switch t.verdict {
	case verdictNotRun:
		return nil, causeNotRun, notRunReason(t)
	case verdictLost, verdictEnded:
		g.endedUnder(ctx, q, b, t.sentAt)
		return nil, causeLost, t.err.Error()
	}
	var err error
	if t.body, err = t.answer.ReadAll(); err != nil {
		if !withdrawal.Withdrawn(ctx) {
			b.use.health.Update(health.Record.WithFailure)
		}
		g.endedUnder(ctx, q, b, t.sentAt)
		return nil, causeBroken, "the answer broke off: " + err.Error()
	}
	t.answer.Finish()
	whole = true
	q.guard.PassedSince(t.sentAt)
	if t.answer.Status >= http.StatusInternalServerError {
		b.use.health.Update(health.Record.WithFailure)
		q.failure.Swap(&t).close()
		return nil, causeFailed, "the endpoint answered " + strconv.Itoa(t.answer.Status)
	}
	b.use.health.Update(health.Record.WithSuccess)
	return &t, "", ""
}

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

// deliver passes a whole answer on.
func (g *Gateway) deliver(q *query, t *sendResult) {
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
		q.w.Header().Set("Content-Length", strconv.Itoa(len(t.body)))
	}
	q.w.WriteHeader(t.answer.Status)
	if err := steadywrite.Write(q.w, t.body, answerWait); err != nil {
		q.setOutcome(t.answer.Status, outcomeLeft, err.Error())
	}
}
