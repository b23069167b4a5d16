package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/grademill/grademill/adapter/eventwrite"
	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/adapter/withdrawal"
	"github.com/grademill/grademill/decide/event"
	"github.com/grademill/grademill/decide/health"
	"github.com/grademill/grademill/decide/shortage"
	"github.com/grademill/grademill/state/budget"
	"github.com/grademill/grademill/state/handover"
)

// Timing of streams.
const (
	// pollBudget is the interval at which a stream polls the retry budget: the same for all that wait, so
	// that none is put behind for having waited longer.
	pollBudget = 15 * time.Millisecond
	// noRoomWait is how long an endpoint that refused for lack of room is avoided, and how long a stream
	// that has begun pauses before it tries again.
	noRoomWait = 200 * time.Millisecond
)

// relay passes a stream on to a caller.
type relay struct {
	g   *Gateway
	q   *query
	out eventwrite.Writer
	// handover replaces the attempt by a successor. Its position is the ID of the last event that the
	// caller gets.
	handover handover.Handover[*attempt]
	// last is the ID of the last event that was sent to the caller.
	last string
}

// attempt is one send of a stream along a chain.
type attempt struct {
	*reservation
	sendResult
	watchdog *watchdog
	// reader reads the events; nil if the answer is no stream.
	reader *event.Reader
	// close ends the attempt.
	close func()
}

// serveModel serves a request of a model. It reports whether the answer has broken off and must not
// look complete.
func (g *Gateway) serveModel(q *query) bool {
	var early bool
	q.returned, early = g.queue.Arrive(q.waiting())
	s := &relay{g: g, q: q, last: q.LastEvent, out: eventwrite.Writer{Response: q.w}}
	defer func() { q.first, q.events, q.pause = cmp.Or(q.first, s.out.First), s.out.Events, s.out.Pause }()
	if !g.admitArrival(q, early) {
		g.giveUp(q, string(shortage.Fleet))
		return false
	}
	reason := ""
	for s.maySendAgain() {
		reservation, short := s.reservation()
		if short != shortage.None {
			reason = short.Then(reason)
			break
		}
		done, why := s.run(reservation)
		if done {
			return false
		}
		reason = why
		if q.r.Context().Err() != nil || q.timeLeft(time.Now()) <= 0 || !s.mayRunAgain() {
			break
		}
	}
	if s.out.Begun() {
		q.setOutcome(q.status, outcomeBroken, reason)
		if q.callerLeft() {
			q.outcome = outcomeLeft
		}
		return true
	}
	g.giveUp(q, reason)
	return false
}

// maySendAgain reports whether the request may be sent once more. A stream whose caller already has
// events is not broken off after maxSends: maySendAgain waits for noRoomWait, until an endpoint that
// refused may be tried again, and allows another send until the deadline.
func (s *relay) maySendAgain() bool {
	if s.q.sends.Count() < maxSends {
		return true
	}
	if !s.out.Begun() {
		return false
	}
	pause.For(s.q.r.Context(), noRoomWait)
	return s.q.r.Context().Err() == nil && s.q.timeLeft(time.Now()) > 0
}

// mayRunAgain reports whether the request may run once more. A stream whose caller already has events
// goes on at endpoints that have run it once their number has reached that of its route.
func (s *relay) mayRunAgain() bool {
	q := s.q
	return !q.mayHaveRun.Load() || q.route.Repeats() && (s.out.Begun() || q.runs() < q.route.Attempts)
}

// reservation makes a reservation, with a retry from the budget when the request may already have reached
// an endpoint. It waits for as long as the request may, and holds neither a retry nor room meanwhile: many
// streams may wait until their deadlines.
func (s *relay) reservation() (*reservation, shortage.Shortage) {
	for {
		// An isolated attempt must not fail for want of a retry once its endpoint is reserved.
		short := s.awaitRetry()
		if short == shortage.None {
			short = s.g.awaitIsolation(s.q, s.out.Begun(), s.terms(time.Now()).Until)
		}
		if short != shortage.None {
			return nil, short
		}
		taken, short := s.queued()
		if short == shortage.None && s.q.guard.Suspected() {
			taken.cancel() // it has become a suspect while it waited in the queue
			continue
		}
		if short == shortage.None && s.q.everReached.Load() {
			taken.retry, short = s.g.takeRetry(s.q, s.q.cause)
		}
		if short == shortage.None {
			return taken, shortage.None
		}
		taken.cancel()
		if !s.out.Begun() || s.q.timeLeft(time.Now()) <= 0 || s.q.r.Context().Err() != nil {
			return nil, short
		}
		pause.For(s.q.r.Context(), noRoomWait) // the queue is full, or expects a longer wait
	}
}

// queued makes a reservation, for which a request that is no suspect waits in the queue.
func (s *relay) queued() (*reservation, shortage.Shortage) {
	var taken *reservation
	var short shortage.Shortage
	if s.q.guard.Endpoint() != "" { // it has an endpoint of its own
		taken, short = s.g.reserve(s.q)
	} else {
		taken, short = s.g.reserveQueued(s.q, s.terms(time.Now()))
	}
	if short == shortage.None && s.q.gone() {
		taken.cancel()
		return nil, shortage.Caller
	}
	return taken, short
}

// awaitRetry returns once the budget has a retry, if the request needs one, or else why it has none. A
// stream whose caller already has events waits for one; any other request is refused at once, since its
// caller can retry.
func (s *relay) awaitRetry() shortage.Shortage {
	for s.q.everReached.Load() {
		retry, short := s.g.chargeRetry(s.q)
		retry.Return()
		if short == shortage.None || !s.out.Begun() || s.q.timeLeft(time.Now()) <= 0 || s.q.r.Context().Err() != nil {
			return short
		}
		pause.For(s.q.r.Context(), pollBudget)
	}
	return shortage.None
}

// run sends the request along a chain and passes the events on, also those of attempts that replace the
// first one. It reports whether the request has ended; otherwise it also returns why the last attempt
// failed.
func (s *relay) run(r *reservation) (done bool, why string) {
	s.handover.Start(s.last)
	ctx := withdrawal.Until(s.q.r.Context(), s.q.deadline)
	for a, ok := s.start(ctx, r, s.last), true; ok; {
		done, why = s.follow(a)
		a.close()
		if a, ok = s.handover.End(done); ok {
			s.q.resumed++
		}
	}
	return done, why
}

// start sends the request along a chain, for the events after the given one.
func (s *relay) start(ctx withdrawal.Context, r *reservation, after string) *attempt {
	q, g := s.q, s.g
	q.noteUsed(r.chain.String())
	a := &attempt{reservation: r, watchdog: newWatchdog(ctx, s, r)}
	stopExpiry := q.guard.OnExpiry(ctx.Cancel)
	a.sendResult = g.send(ctx, q, r.first, r.chain, after, r.retry, &a.watchdog.reached)
	a.close = func() {
		a.sendResult.close()
		stopExpiry()
		a.watchdog.stop()
		ctx.Cancel()
	}
	if a.verdict == verdictAnswer && a.answer.Status == http.StatusOK {
		a.reader = event.NewReader(a.answer, q.MaxAnswer)
	}
	return a
}

// follow passes on what an attempt answers. It reports whether the request has ended; otherwise it also
// returns why the attempt failed.
func (s *relay) follow(a *attempt) (bool, string) {
	if a.reader != nil {
		return s.events(a)
	}
	if a.verdict == verdictAnswer {
		return s.passWhole(a)
	}
	if s.handover.Replaced() {
		return false, ""
	}
	var why string
	s.q.cause, why = s.noteFailure(a)
	return false, why
}

// noteFailure records that an attempt got no answer. It returns the cause of another one, and the reason.
func (s *relay) noteFailure(a *attempt) (cause, why string) {
	if a.verdict == verdictNotRun {
		s.noteRefusal(a)
		return causeNotRun, notRunReason(a.sendResult)
	}
	if a.verdict == verdictLost {
		s.g.verify(s.q.r.Context(), a.first)
	}
	s.noteLoss(a.first)
	s.q.avoid(a.first.Address)
	return causeLost, a.err.Error()
}

// succeed tries an attempt that replaces the one of a watchdog, which goes on until the new one has begun
// to answer.
func (s *relay) succeed(ctx withdrawal.Context, r *reservation, after string, former *watchdog) {
	limit := time.AfterFunc(former.bounds.MaxWait(true), ctx.Cancel)
	a := s.start(ctx, r, after)
	err := a.err
	if a.reader != nil {
		_, err = a.reader.Peek()
	}
	begun := a.reader != nil && (err == nil || errors.Is(err, io.EOF))
	if limit.Stop() && begun && s.handover.Succeed(a) {
		former.giveUp()
		s.g.Log.Info().Str("request", s.q.ID).Str("after", after).Stringer("chain", r.chain).Msg("attempt replaced")
		return
	}
	if withdrawal.Withdrawn(ctx) || s.q.r.Context().Err() != nil {
		err = context.Cause(ctx)
	} else if a.reader != nil {
		s.noteBroken(a, err)
	} else if a.verdict != verdictAnswer {
		s.noteFailure(a)
	} else {
		a.body, _ = a.answer.ReadAll()
		s.noteError(a)
	}
	a.close()
	s.g.Log.Info().Str("request", s.q.ID).Stringer("chain", r.chain).Int("verdict", int(a.verdict)).Err(err).Msg("attempt is not replaced")
	s.handover.Fail()
}

// noteRefusal records which endpoint of a chain refused.
func (s *relay) noteRefusal(a *attempt) {
	address := a.first.Address
	if a.answer != nil && a.reply.RefusedBy != "" {
		address = a.reply.RefusedBy
	}
	s.q.avoid(address)
	if b := s.g.fleet.Load().ByAddress[address]; b != nil {
		b.use.noRoomUntil.Store(time.Now().Add(noRoomWait).UnixNano())
		room, free := b.room(s.q.service.Model, 0)
		full := a.answer != nil && a.answer.Status == http.StatusServiceUnavailable
		if full && !budget.Ample(free, room) { // with ample room the refusal has another reason
			b.use.budget.Reject()
		}
		if address != a.first.Address {
			s.g.checkRefused(b, a.answer != nil && a.answer.Status == http.StatusMisdirectedRequest, a.sentAt)
		}
	}
	s.g.Log.Info().Str("request", s.q.ID).Str("first", a.first.Address).Str("blamed", address).
		Str("reason", notRunReason(a.sendResult)).Msg("chain refused the request")
}

// noteLoss records, after the loss of an attempt, how many requests of the whole fleet are sent
// again for each one of this gateway: the ratio at the first endpoint if that is presumed dead, since
// all gateways then send the requests that ran there again, and 0 if only this request is.
func (s *relay) noteLoss(first *backend) {
	fleetFactor := 0.0
	if first.use.PresumedDead(time.Now()) {
		fleetFactor = first.use.fleetFactor()
	}
	s.q.fleetFactor.Update(func(float64) float64 { return fleetFactor })
}

// passWhole passes on an answer that is not a stream.
func (s *relay) passWhole(a *attempt) (bool, string) {
	var err error
	a.body, err = a.answer.ReadAll()
	if s.handover.Replaced() {
		return false, ""
	}
	if err != nil || s.out.Begun() || a.answer.Status >= http.StatusInternalServerError && s.q.route.Repeats() {
		s.noteError(a)
		s.q.cause = causeFailed
		return false, "the endpoint answered " + strconv.Itoa(a.answer.Status)
	}
	if !s.handover.Proceed(s.last) {
		return false, ""
	}
	a.watchdog.stop() // the caller may take long to read the answer
	s.g.deliver(s.q, &a.sendResult)
	return true, ""
}

// noteError records that an endpoint answered a stream with a failure, and keeps the answer if it is whole.
func (s *relay) noteError(a *attempt) {
	if a.body != nil {
		s.q.failure.Store(&a.sendResult)
	}
	a.first.use.health.Update(func(r health.Record) health.Record { return r.WithError(time.Now()) })
	s.q.avoid(a.first.Address)
}

// events passes events on until the stream ends or breaks. It reports whether the request has
// ended; otherwise it also returns why the chain broke.
func (s *relay) events(a *attempt) (bool, string) {
	a.first.use.health.Update(health.Record.WithoutErrors)
	for {
		e, err := a.reader.Next()
		ended := errors.Is(err, io.EOF)
		if err == nil {
			err = e.After(s.last)
		}
		if err != nil && !ended {
			s.out.Flush()
			return false, s.broken(a, err)
		}
		last := cmp.Or(e.ID, s.last)
		if !s.handover.Proceed(last) {
			return false, ""
		}
		s.last = last
		if ended {
			a.first.use.health.Update(health.Record.WithSuccess)
			s.out.End(a.answer)
			s.q.setOutcome(a.answer.Status, outcomeServed, "")
			s.q.guard.Passed()
			s.g.queue.Times.NoteDuration(s.q.service.Name, time.Since(a.sentAt))
			return true, ""
		}
		a.watchdog.event()
		if !s.out.Begun() {
			s.g.queue.Times.NoteFirst(s.q.service.Name, time.Since(a.sentAt))
		}
		err = s.out.Write(a.answer, e, !a.reader.Ready())
		s.q.setOutcome(a.answer.Status, outcomeServed, "")
		if err != nil {
			s.q.setOutcome(a.answer.Status, outcomeLeft, err.Error())
			return true, ""
		}
	}
}

// broken records that the stream of an attempt broke, unless the attempt has been replaced, and returns
// why.
func (s *relay) broken(a *attempt, err error) string {
	q := s.q
	if s.handover.Replaced() {
		a.first.use.health.Update(health.Record.WithFailure)
		return ""
	}
	if q.r.Context().Err() != nil {
		return "the caller left"
	}
	if q.timeLeft(time.Now()) <= 0 {
		return "the time limit has passed"
	}
	q.resumed++
	q.cause = causeBroken
	s.g.Log.Info().Str("request", q.ID).Stringer("chain", a.chain).Err(err).
		Int("events", s.out.Events).Str("last", s.last).Msg("chain broke")
	s.noteBroken(a, err)
	return "the chain broke: " + err.Error()
}

// noteBroken records that a chain broke off its answer.
func (s *relay) noteBroken(a *attempt, err error) {
	s.g.noteExceeded(s.q, a.first, err)
	s.q.avoid(a.first.Address)
	a.first.use.health.Update(health.Record.WithFailure)
	s.g.verify(s.q.r.Context(), a.first)
	s.noteLoss(a.first)
}
