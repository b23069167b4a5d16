package quarantine

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/backoff"
	"github.com/grademill/grademill/decide/cause"
	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/rendezvous"
	"github.com/grademill/grademill/decide/suspicion"
	"github.com/grademill/grademill/decide/trial"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/state/suspects"
	wire "github.com/grademill/grademill/wire/gossip"
)

// Times of isolated attempts.
const (
	// isolationWait is how long a claimed endpoint is reserved before the suspect is sent: all gateways hear of
	// the reservation, and what has just begun there shows whether it crashes the endpoint.
	isolationWait = 200 * time.Millisecond
	// checkInterval is the interval at which a waiting copy looks again if it hears nothing, and conflictWait how
	// long it waits after another gateway was faster.
	checkInterval, conflictWait = 50 * time.Millisecond, 300 * time.Millisecond
	// claimSpread is the time over which the gateways that wait with copies of one suspect spread their claims, of
	// which one succeeds.
	claimSpread = 40 * time.Millisecond
	// maxAttempt is how long an attempt may take until its outcome is known: less than trial.Timeout by the time
	// that the store needs.
	maxAttempt = trial.Timeout - 2*time.Second
	// crashTime is how long after an attempt its endpoint is watched: it may crash although the caller has left.
	crashTime = time.Second
	// evidenceWait is how long the other gateways have to report what else had begun at the endpoint.
	evidenceWait = 100 * time.Millisecond
	// momentWindow is how far apart the ends of endpoints become known that have one reason, such as a lost rack.
	momentWindow = 300 * time.Millisecond
	// statePoll is the interval at which the state of the endpoint is read.
	statePoll = 10 * time.Millisecond
	// refusedWait is the Retry-After delay of a copy that nobody may run for now.
	refusedWait = time.Second
)

// outcomeRetry spaces out the writes of an outcome that the store does not accept.
var outcomeRetry = backoff.Backoff{Base: 200 * time.Millisecond, Max: time.Second}

// suspect is a suspect of the request of an attempt, with its trial while the attempt is in progress.
type suspect struct {
	cause.Cause
	trial trial.Trial
}

// attempt is an isolated attempt of a request with suspects, from its claim until its outcome is known. Of its methods
// passed and finish the first that is called has an effect.
type attempt struct {
	q *Quarantine
	// causes are all causes of the request, and suspects those that the attempt has claimed, from the narrowest to the
	// broadest once all are.
	causes      []cause.Cause
	suspects    []suspect
	incarnation suspicion.Incarnation
	claimed     time.Time
	// slowest is the longest time for which an endpoint that has ended under one of the suspects had it.
	slowest  time.Duration
	finished atomic.Bool
}

// timeLeft returns how much longer the attempt may run without a known outcome.
func (a *attempt) timeLeft() time.Duration {
	return maxAttempt - crashTime - time.Since(a.claimed)
}

// awaitAnswers waits until the keepers of the causes of a request have answered an end that this gateway has just
// reported.
func (q *Quarantine) awaitAnswers(ctx context.Context, causes []cause.Cause) {
	for ctx.Err() == nil {
		left := time.Duration(0)
		q.mu.Lock()
		for _, c := range causes {
			if r := q.unanswered[c.Print]; r.missing > 0 {
				left = max(left, answerWait-time.Since(r.at))
			}
		}
		q.mu.Unlock()
		if left <= 0 {
			return
		}
		q.awaitChange(ctx, left)
	}
}

// Errors of a claim.
var (
	errTaken     = errors.New("the endpoint is reserved for another suspect")
	errPointless = errors.New("the attempt has become needless, or its endpoint has ended")
)

// isLost reports whether a claim failed although the store answers: another gateway was faster, or it is not needed any
// more.
func isLost(err error) bool {
	var conflict *kv.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, errTaken) || errors.Is(err, errPointless)
}

// claim claims an endpoint for an attempt of a request with suspects, and waits until it is isolated.
func (q *Quarantine) claim(ctx context.Context, c *Guard, s trial.Situation, list []cause.Cause, spare []suspicion.Incarnation) (*attempt, error) {
	at, ok := choose(c.Causes[0].Print, spare)
	if !ok {
		return nil, errTaken
	}
	a := &attempt{q: q, causes: c.Causes, incarnation: at, claimed: time.Now()}
	for _, suspected := range sorted(list) {
		if err := a.claim(ctx, suspected); err != nil {
			q.Log.Info().Str("request", c.Request).Stringer("cause", suspected).Err(err).Msg("attempt is not claimed")
			a.finish(false)
			return nil, err
		}
	}
	slices.SortFunc(a.suspects, func(x, y suspect) int { return cmp.Compare(slices.Index(list, x.Cause), slices.Index(list, y.Cause)) })
	q.tellAll(cause.Prints(list)...)
	pause.For(ctx, isolationWait)
	if err := q.checkClaim(ctx, a, s); err != nil {
		a.finish(false)
		return nil, err
	}
	q.Count(eventTried)
	for _, one := range a.suspects {
		q.Log.Info().Str("request", c.Request).Stringer("print", one.Print).Str("part", one.Part).Str("endpoint", at.Endpoint).
			Int("ends", s.Ends).Int("sends", one.trial.Sends).Uint64("revision", one.trial.Revision).
			Msg("request is tried apart from others under which endpoints have ended")
	}
	return a, nil
}

// sorted returns causes in an order that is the same at all gateways, so that of two that claim several at once one
// succeeds.
func sorted(list []cause.Cause) []cause.Cause {
	return slices.SortedFunc(slices.Values(list), func(a, b cause.Cause) int { return cmp.Compare(a.Print, b.Print) })
}

// claim claims the endpoint of the attempt for one of its suspects.
func (a *attempt) claim(ctx context.Context, c cause.Cause) error {
	q := a.q
	if !q.hold(c.Print) {
		return errTaken
	}
	former, now := q.trials.Get(c.Print), time.Now()
	switch {
	case !q.Suspected(c.Print, now):
		q.release(c.Print)
		return errPointless
	case !former.Claimable(now): // another gateway was faster while this one claimed the suspects before it
		q.release(c.Print)
		return errTaken
	}
	t, err := q.writeTrial(ctx, c.Print, former.WithAttempt(q.Self, a.incarnation.Endpoint, a.incarnation.Born))
	if err != nil {
		if kv.IsNotFound(err) { // the lease of the record has expired
			q.trials.Remove(c.Print, former.Revision)
			err = errTaken
		}
		q.release(c.Print)
		return err
	}
	q.trials.Note(c.Print, t)
	a.suspects = append(a.suspects, suspect{c, t})
	a.slowest = max(a.slowest, q.known.Slowest(c.Print))
	return nil
}

// checkClaim returns an error if an attempt that has been isolated is not to be made: s is what was known at its claim.
func (q *Quarantine) checkClaim(ctx context.Context, a *attempt, s trial.Situation) error {
	now := time.Now()
	if ended, _ := q.State(a.incarnation); ctx.Err() != nil || ended {
		return errPointless
	}
	reserved, suspected := q.Reserved(now)[a.incarnation.Endpoint], false
	for _, one := range a.suspects {
		if q.Remaining(one.Print, now) > 0 {
			return errPointless
		}
		suspected = suspected || one.trial.Sends > 1 || q.known.Suspected(one.Print, now)
	}
	switch {
	case !suspected && s.Ends > 0: // cleared meanwhile
		return errPointless
	case !a.claims(reserved):
		return errTaken
	}
	return nil
}

// claims reports whether the attempt has claimed its endpoint for a suspect.
func (a *attempt) claims(f fingerprint.Fingerprint) bool {
	return slices.ContainsFunc(a.suspects, func(s suspect) bool { return s.Print == f })
}

// choose returns the endpoint for a suspect among those on which it may be tried.
func choose(f fingerprint.Fingerprint, spare []suspicion.Incarnation) (suspicion.Incarnation, bool) {
	var ids []string
	byID := make(map[string]suspicion.Incarnation, len(spare))
	for _, l := range spare {
		ids, byID[l.Endpoint] = append(ids, l.Endpoint), l
	}
	top := rendezvous.Top(f.String(), ids, 1)
	if len(top) == 0 {
		return suspicion.Incarnation{}, false
	}
	return byID[top[0]], true
}

// hold marks a suspect as held by an attempt of this gateway, and reports whether none was.
func (q *Quarantine) hold(f fingerprint.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running[f] {
		return false
	}
	q.running[f] = true
	return true
}

// holds reports whether an attempt of this gateway holds a suspect.
func (q *Quarantine) holds(f fingerprint.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running[f]
}

// release ends the mark of hold.
func (q *Quarantine) release(f fingerprint.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.running, f)
	q.wakeLocked()
}

// tellAll tells all gateways of causes at once.
func (q *Quarantine) tellAll(list ...fingerprint.Fingerprint) {
	m, now := &wire.Suspects{Gateway: q.Self}, time.Now()
	for _, f := range list {
		m.Suspects = append(m.Suspects, q.describe(q.known.Get(f, now)))
	}
	q.sendTwice(q.packet(m), q.Others()...)
}

// passed records that the request, which began its answer at a time, has run without crashing its endpoint.
func (a *attempt) passed(began time.Time) {
	if a.finished.CompareAndSwap(false, true) {
		go a.conclude(trial.Passed, began)
	}
}

// finish records that the attempt is over; sent is set if the endpoint may have received the request. It returns
// at once, and the outcome is found out meanwhile.
func (a *attempt) finish(sent bool) {
	if !a.finished.CompareAndSwap(false, true) {
		return
	}
	go func() {
		outcome := trial.NotRun
		if sent {
			outcome = a.observe()
		}
		a.conclude(outcome, time.Time{})
	}()
}

// observe returns whether the endpoint of the attempt has ended. A silent one may have, as the store will tell.
func (a *attempt) observe() trial.Outcome {
	over := time.Now()
	for {
		ended, silent := a.q.State(a.incarnation)
		now := time.Now()
		switch {
		case ended:
			return trial.Ended
		case now.Sub(a.claimed) >= maxAttempt, !silent && now.Sub(over) >= crashTime:
			return trial.Unknown
		}
		pause.For(context.Background(), statePoll)
	}
}

// conclude reaches the verdict, and records the outcome for all gateways. began is when an answer began that ran well.
func (a *attempt) conclude(o trial.Outcome, began time.Time) {
	q := a.q
	if o == trial.Ended {
		a.reportEnd()
		pause.For(context.Background(), evidenceWait)
	}
	now := time.Now()
	tried := a.evidence(o, now)
	verdict := trial.Judge(tried)
	for i, s := range a.suspects {
		q.Log.Info().Stringer("print", s.Print).Str("part", s.Part).Str("endpoint", a.incarnation.Endpoint).Stringer("outcome", o).
			Int("ends", tried[i].Ends).Bool("shared", tried[i].Shared).Bool("proven", tried[i].Proven).Int("sends", s.trial.Sends).
			Dur("took_ms", now.Sub(a.claimed)).Bool("guilty", i == verdict.Culprit).Msg("outcome of an isolated attempt")
		switch {
		case i == verdict.Culprit:
			q.convict(s.Cause, a.incarnation.Life(), now)
		case o == trial.Passed:
			q.Completed(s.Print, began, now)
		}
	}
	for i, s := range a.suspects {
		go func() {
			defer q.release(s.Print)
			next := verdict.Trials[i]
			a.record(s, next, o == trial.Passed || next.Sends == 0)
		}()
	}
}

// reportEnd reports the end of the endpoint under the suspects for which this gateway has not done so yet.
func (a *attempt) reportEnd() {
	q, now := a.q, time.Now()
	var begun []suspects.Begun
	for _, s := range a.suspects {
		if !q.known.EndedUnder(s.Print, a.incarnation.Life()) {
			begun = append(begun, suspects.Begun{Print: s.Print, Age: now.Sub(a.claimed) - isolationWait, Part: s.Part != ""})
		}
	}
	if begun != nil {
		q.Report(a.incarnation, begun, now)
	}
}

// evidence returns what is known of the suspects after the attempt. One that was tried before is accountable for the
// ends that have been put down to another one since.
func (a *attempt) evidence(o trial.Outcome, now time.Time) []trial.Tried {
	q, life, list := a.q, a.incarnation.Life(), make([]trial.Tried, 0, len(a.suspects))
	for _, s := range a.suspects {
		known := q.known.Get(s.Print, now)
		e := trial.Evidence{
			Outcome: o, Ends: q.known.Ends(s.Print, now), Proven: q.known.Proven(s.Print, now),
			Shared: q.known.Shares(cause.Prints(a.causes), life, isolationWait, now) || q.othersEnded(s.Print, life),
		}
		if s.trial.Sends > 1 {
			e.Ends = known.Count
		}
		list = append(list, trial.Tried{Trial: s.trial, Evidence: e, Part: known.Part})
	}
	return list
}

// othersEnded reports whether endpoints on which a cause had not begun ended at the same moment as an incarnation.
func (q *Quarantine) othersEnded(f fingerprint.Fingerprint, l suspicion.Life) bool {
	return slices.ContainsFunc(q.ended.around(l, momentWindow), func(o suspicion.Life) bool { return !q.known.EndedUnder(f, o) })
}

// convict quarantines a cause.
func (q *Quarantine) convict(c cause.Cause, isolated suspicion.Life, now time.Time) {
	ends := q.known.Get(c.Print, now).Ends
	if !q.known.SetQuarantine(c.Print, now, now.Add(quarantineTime)) {
		return
	}
	q.Count(eventBegun)
	q.Log.Warn().Stringer("print", c.Print).Str("part", c.Part).Strs("ended", q.ended.names(ends, isolated)).
		Dur("lasts_ms", quarantineTime).Msg("request is quarantined")
	q.wake()
	q.tellAll(c.Print)
	q.queueWrite(c.Print)
}

// record writes the state of a suspect after the attempt to the store, or removes its record there, and tells all
// gateways. If the store does not answer, the attempt counts as in progress until trial.Timeout.
func (a *attempt) record(s suspect, next trial.Trial, remove bool) {
	q, f := a.q, s.Print
	for failures := 1; ; failures++ {
		var err error
		if remove {
			err = q.removeTrial(s.trial.Lease)
		} else {
			next, err = q.writeTrial(context.Background(), f, next)
		}
		if err == nil || kv.IsNotFound(err) || isLost(err) {
			break
		}
		q.Log.Warn().Err(err).Stringer("print", f).Msg("the store did not accept the outcome of an isolated attempt")
		if time.Since(a.claimed) > trial.Timeout {
			return
		}
		pause.For(context.Background(), outcomeRetry.Delay(failures, 0))
	}
	if remove {
		q.trials.Remove(f, s.trial.Revision)
	} else {
		q.trials.Note(f, next)
	}
	q.wake()
	q.tellAll(f)
}
