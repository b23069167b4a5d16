package quarantine

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/backoff"
	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/rendezvous"
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
	// statePoll is the interval at which the state of the endpoint is read.
	statePoll = 10 * time.Millisecond
	// refusedWait is the Retry-After delay of a copy that nobody may run for now.
	refusedWait = time.Second
)

// outcomeRetry spaces out the writes of an outcome that the store does not accept.
var outcomeRetry = backoff.Backoff{Base: 200 * time.Millisecond, Max: time.Second}

// attempt is an isolated attempt of a suspect, from its claim until its outcome is known. Of its methods passed and
// finish the first that is called has an effect.
type attempt struct {
	q           *Quarantine
	print       fingerprint.Fingerprint
	incarnation suspects.Incarnation
	trial       trial.Trial
	claimed     time.Time
	// slowest is the longest time for which an endpoint that has ended under the suspect had it.
	slowest  time.Duration
	finished atomic.Bool
}

// timeLeft returns how much longer the attempt may run without a known outcome.
func (a *attempt) timeLeft() time.Duration {
	return maxAttempt - crashTime - time.Since(a.claimed)
}

// awaitAnswers waits until the keepers of a request have answered an end that this gateway has just reported.
func (q *Quarantine) awaitAnswers(ctx context.Context, f fingerprint.Fingerprint) {
	for ctx.Err() == nil {
		q.mu.Lock()
		r := q.unanswered[f]
		q.mu.Unlock()
		left := answerWait - time.Since(r.at)
		if r.missing <= 0 || left <= 0 {
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

// claim claims an endpoint for an attempt of a copy, and waits until it is isolated.
func (q *Quarantine) claim(ctx context.Context, c *Guard, s trial.Situation, spare []suspects.Incarnation) (*attempt, error) {
	at, ok := choose(c.Print, spare)
	if !ok || !q.hold(c.Print) {
		return nil, errTaken
	}
	a := &attempt{q: q, print: c.Print, incarnation: at, claimed: time.Now(), slowest: q.known.Get(c.Print, time.Now()).Slowest()}
	t, err := q.writeTrial(ctx, c.Print, s.Trial.WithAttempt(q.Self, at.Endpoint, at.Born))
	if err != nil {
		if kv.IsNotFound(err) { // the lease of the record has expired
			q.trials.Remove(c.Print, s.Trial.Revision)
			err = errTaken
		}
		q.release(c.Print)
		q.Log.Info().Str("request", c.Request).Stringer("print", c.Print).Err(err).Msg("attempt is not claimed")
		return nil, err
	}
	a.trial = t
	q.trials.Note(c.Print, t)
	q.tellAll(c.Print)
	pause.For(ctx, isolationWait)
	now := time.Now()
	switch ended, _ := q.State(at); {
	case ctx.Err() != nil, ended, q.Remaining(c.Print, now) > 0, q.known.Ends(c.Print, now) < trial.SuspectFrom && s.Ends >= trial.SuspectFrom:
		err = errPointless
	case q.Reserved(now)[at.Endpoint] != c.Print:
		err = errTaken
	}
	if err != nil {
		a.finish(false)
		return nil, err
	}
	q.Count(eventTried)
	q.Log.Info().Str("request", c.Request).Stringer("print", c.Print).Str("endpoint", at.Endpoint).Int("ends", s.Ends).Int("sends", t.Sends).
		Uint64("revision", t.Revision).Msg("request is tried apart from others under which endpoints have ended")
	return a, nil
}

// choose returns the endpoint for a suspect among those on which it may be tried.
func choose(f fingerprint.Fingerprint, spare []suspects.Incarnation) (suspects.Incarnation, bool) {
	var ids []string
	byID := make(map[string]suspects.Incarnation, len(spare))
	for _, l := range spare {
		ids, byID[l.Endpoint] = append(ids, l.Endpoint), l
	}
	top := rendezvous.Top(f.String(), ids, 1)
	if len(top) == 0 {
		return suspects.Incarnation{}, false
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

// tellAll tells all gateways of a request at once.
func (q *Quarantine) tellAll(f fingerprint.Fingerprint) {
	s := q.describe(q.known.Get(f, time.Now()))
	q.sendTwice(q.packet(&wire.Suspects{Gateway: q.Self, Suspects: []*wire.Suspect{s}}), q.Others()...)
}

// passed records that the request has run without crashing its endpoint.
func (a *attempt) passed() {
	if a.finished.CompareAndSwap(false, true) {
		go a.conclude(trial.Passed)
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
		a.conclude(outcome)
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

// conclude reaches the verdict, and records the outcome for all gateways.
func (a *attempt) conclude(o trial.Outcome) {
	q, f := a.q, a.print
	defer q.release(f)
	life := a.incarnation.Life()
	if o == trial.Ended && !slices.ContainsFunc(q.known.Get(f, time.Now()).Ends, func(e suspects.End) bool { return e.Life == life }) {
		q.Report(a.incarnation, []suspects.Begun{{Print: f}}, time.Now())
	}
	if o == trial.Ended {
		pause.For(context.Background(), evidenceWait)
	}
	now := time.Now()
	known := q.known.Get(f, now)
	evidence := trial.Evidence{Outcome: o, Ends: q.known.Ends(f, now), Shared: q.known.Shares(f, life, isolationWait, now)}
	guilty := a.trial.Guilty(evidence)
	q.Log.Info().Stringer("print", f).Str("endpoint", a.incarnation.Endpoint).Stringer("outcome", o).Int("ends", evidence.Ends).
		Bool("shared", evidence.Shared).Int("sends", a.trial.Sends).Dur("took_ms", now.Sub(a.claimed)).Bool("guilty", guilty).
		Msg("outcome of an isolated attempt")
	switch {
	case guilty:
		q.convict(f, known, life, now)
	case o == trial.Passed:
		q.Completed(f, now)
	}
	next := a.trial.WithOutcome(o, evidence.Ends)
	a.record(next, o == trial.Passed || next.Sends == 0)
}

// convict quarantines a request.
func (q *Quarantine) convict(f fingerprint.Fingerprint, known suspects.Suspect, isolated suspects.Life, now time.Time) {
	if !q.known.SetQuarantine(f, now, now.Add(quarantineTime)) {
		return
	}
	q.Count(eventBegun)
	q.Log.Warn().Stringer("print", f).Strs("ended", q.nameEnds(known.Ends, isolated)).Dur("lasts_ms", quarantineTime).Msg("request is quarantined")
	q.wake()
	q.tellAll(f)
	q.queueWrite(f)
}

// record writes the state after the attempt to the store, or removes its record there, and tells all gateways. If the
// store does not answer, the attempt counts as in progress until trial.Timeout.
func (a *attempt) record(next trial.Trial, remove bool) {
	q, f := a.q, a.print
	for failures := 1; ; failures++ {
		var err error
		if remove {
			err = q.removeTrial(a.trial.Lease)
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
		q.trials.Remove(f, a.trial.Revision)
	} else {
		q.trials.Note(f, next)
	}
	q.wake()
	q.tellAll(f)
}
