package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/adapter/withdrawal"
	"github.com/grademill/grademill/decide/failover"
	"github.com/grademill/grademill/decide/liveness"
	"github.com/grademill/grademill/decide/overdue"
	"github.com/grademill/grademill/decide/shortage"
	"github.com/grademill/grademill/decide/timeout"
	"github.com/grademill/grademill/decide/trial"
	"github.com/grademill/grademill/port/runner"
)

// Timing and bounds of watching a stream.
const (
	// maxMoves bounds the attempts of one check to move a request.
	maxMoves = 3
	// moveWait bounds the order to move a request: a live endpoint answers within milliseconds.
	moveWait = 250 * time.Millisecond
)

// watchdog watches one attempt of a stream. When an event is overdue it checks the endpoints of the
// chain and moves the request to a chain without those that do not answer. When that does not help
// it tries another attempt along another chain, which replaces this one once it has begun to answer.
type watchdog struct {
	ctx   context.Context
	relay *relay
	// giveUp ends the attempt.
	giveUp    func()
	startedAt time.Time
	bounds    overdue.Bounds
	// reached is set once the first endpoint of the chain may have received the request.
	reached atomic.Bool

	mu          sync.Mutex // guards the fields below
	reservation *reservation
	timer       *time.Timer
	// last is when the latest event arrived, first when the first event of the current chain did;
	// zero before.
	first, last time.Time
	// gaps estimates the time until the stream's next event.
	gaps timeout.Estimator
	// checking is set while a check runs; there is one at a time.
	checking bool
	// ended is set by stop.
	ended bool
	// unmovableFrom is the address of the endpoint from which the last move failed. Only the
	// running check uses it.
	unmovableFrom string
	// chainAt is when the request was sent along, or moved to, the current chain.
	chainAt time.Time
	// passed is set once the request has run for so long that it does not crash the endpoints of the chain.
	passed bool
	// lastShortage is why no other attempt was tried at the previous check.
	lastShortage shortage.Shortage
}

// newWatchdog starts to watch the attempt with a context along a reservation, which stop releases.
func newWatchdog(ctx withdrawal.Context, s *relay, taken *reservation) *watchdog {
	bounds := overdue.Of(s.q.route)
	w := &watchdog{
		ctx: ctx, relay: s, reservation: taken, giveUp: ctx.Cancel, startedAt: time.Now(),
		gaps: bounds.Gaps(), bounds: bounds,
	}
	w.chainAt = w.startedAt
	w.mu.Lock()
	defer w.mu.Unlock()
	taken.addWatchdog(w)
	w.timer = time.AfterFunc(bounds.FirstCheck(), w.check)
	return w
}

// event records that an event has arrived.
func (w *watchdog) event() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.last.IsZero() {
		w.gaps = w.gaps.WithSample(now.Sub(w.last))
	}
	if w.first.IsZero() {
		w.first = now
	}
	w.last = now
	w.passed = w.passed || w.relay.q.guard.Ran(now.Sub(w.chainAt), now.Sub(w.first))
	w.reservation.notePromptRead()
	for _, b := range w.reservation.parts {
		b.use.EventAt.Store(now.UnixNano())
	}
	w.timer.Reset(w.gaps.Value())
}

// justStarted reports whether the endpoints of the chain may have received the request and had only
// recently started it at now.
func (w *watchdog) justStarted(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reached.Load() && (w.first.IsZero() || now.Sub(w.first) < trial.StartWindow)
}

// age returns how long the endpoints of the chain have had the request at now.
func (w *watchdog) age(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.chainAt)
}

// checkSoon schedules a check because an endpoint of the chain has been lost. The check waits until
// the next event is later than usual: an event produced before the loss may still be on its way.
func (w *watchdog) checkSoon() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.timer.Reset(max(time.Until(w.last.Add(w.gaps.Mean())), 0))
}

// stop ends the watch and releases the reservation.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	w.reservation.removeWatchdog(w)
	w.reservation.releaseMoved()
}

// check runs when an event is overdue or an endpoint of the chain has been lost.
func (w *watchdog) check() {
	w.mu.Lock()
	last, reservation := w.last, w.reservation
	if w.ended || w.ctx.Err() != nil {
		w.mu.Unlock()
		return
	}
	if w.checking {
		w.timer.Reset(w.bounds.Postponed(last.IsZero()))
		w.mu.Unlock()
		return
	}
	w.checking = true
	w.mu.Unlock()

	if w.waitedEnough(reservation, last) || !w.repair(reservation) {
		w.tryAnother(reservation)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checking = false
	if !w.ended && w.last.Equal(last) {
		w.timer.Reset(w.bounds.Recheck(last.IsZero()))
	}
}

// waitedEnough reports whether the attempt has waited long enough for an event.
func (w *watchdog) waitedEnough(reservation *reservation, last time.Time) bool {
	q, now := w.relay.q, time.Now()
	if !q.route.Repeats() || liveness.Working(elapsed(now, &reservation.first.use.EventAt)) {
		return false
	}
	if last.IsZero() {
		return now.Sub(w.startedAt) > w.bounds.MaxWait(true)
	}
	return now.Sub(last) > w.bounds.MaxWait(false)
}

// releaseReservation releases the reservation although the attempt goes on. The first endpoint has
// ended, so the other endpoints work for the attempt in vain; once released, they may be given
// other layers.
func (w *watchdog) releaseReservation() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reservation.release()
}

// switchIfFaster is called before a request is moved to the chain of the reservation target. If the
// next event would be late there and is expected much sooner on another chain, it tries an attempt
// along that chain. It reports whether it does. When an endpoint is lost, the few endpoints of its hall
// that hold the same layers have to read the prompts of all its streams again.
func (w *watchdog) switchIfFaster(old, target *reservation, lost *backend) bool {
	if w.final() || w.relay.q.guard.MayCrash() {
		return false
	}
	q := w.relay.q
	wait, slack := target.promptReadTime(q, old, lost.use.fleetFactor()), w.slack(time.Now())
	if !failover.ShouldRestart(wait, 0, slack) {
		return false
	}
	chosen := w.trySuccessor(old.first, func() (*reservation, shortage.Shortage) {
		next, short := w.relay.g.reserveAttempt(q, causeAbandoned)
		if short == shortage.None && !failover.ShouldRestart(wait, next.promptReadTime(q, nil, 1), slack) {
			next.cancel()
			return nil, shortage.Room
		}
		return next, short
	})
	if chosen {
		w.relay.g.Log.Info().Str("request", q.ID).Str("lost", lost.Address).Dur("wait_ms", wait).Msg("a faster chain is tried")
	}
	return chosen
}

// final reports whether no further attempt may follow.
func (w *watchdog) final() bool {
	q := w.relay.q
	return !q.route.Repeats() || q.runs() >= q.route.Attempts || q.sends.Count() >= maxSends && !w.relay.out.Begun()
}

// slack returns how long the next event may still take without being late.
func (w *watchdog) slack(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last.IsZero() {
		return w.bounds.Objective - now.Sub(w.relay.q.start)
	}
	return w.bounds.Pause - now.Sub(w.last)
}

// trySuccessor tries an attempt along the reservation that reserve makes, which replaces this one, whose
// first endpoint is current, once it has begun to answer. It reports whether it does; it does not while
// another one is being tried.
func (w *watchdog) trySuccessor(current *backend, reserve func() (*reservation, shortage.Shortage)) bool {
	s := w.relay
	ctx := withdrawal.Until(s.q.r.Context(), s.q.deadline)
	after, ok := s.handover.Begin(ctx.Withdraw)
	if !ok {
		ctx.Cancel()
		return false
	}
	next, short := (*reservation)(nil), shortage.None
	if w.ctx.Err() == nil { // otherwise the attempt has ended, and another one may have been started since
		s.q.everReached.Store(true) // this attempt may have reached an endpoint, and goes on
		s.q.avoid(current.Address)
		next, short = reserve()
	}
	if next != nil && short == shortage.None && ctx.Err() == nil {
		go s.succeed(ctx, next, after, w)
		return true
	}
	next.cancel()
	ctx.Cancel()
	s.handover.Fail()
	return false
}

// tryAnother tries another attempt if there is a chain for it. The attempt of a suspect ends once its
// first endpoint has ended: its next attempt is isolated.
func (w *watchdog) tryAnother(current *reservation) {
	if w.final() {
		return
	}
	q := w.relay.q
	if q.guard.MayCrash() {
		q.everReached.Store(true)
		if current.first.use.ended.Load() {
			w.giveUp()
		}
		return
	}
	w.trySuccessor(current.first, func() (*reservation, shortage.Shortage) {
		next, short := w.reserveOther()
		if short != w.lastShortage || short == shortage.None {
			w.relay.g.Log.Info().Str("request", q.ID).Str("first", current.first.Address).Bool("down", current.first.use.Down()).
				Str("shortage", string(short)).Msg("whether a try is left for another")
		}
		w.lastShortage = short
		return next, short
	})
}

// reserveOther makes a reservation for another attempt, along a chain that is alive.
func (w *watchdog) reserveOther() (*reservation, shortage.Shortage) {
	if !w.alive(w.relay.g.otherChain(w.relay.q)) {
		return nil, shortage.Silent
	}
	if w.lastShortage == shortage.Silent { // its own chain may go on like the other; only a check sets it
		return nil, shortage.Resumed
	}
	return w.relay.g.reserveAttempt(w.relay.q, causeAbandoned)
}

// alive reports whether all of some endpoints, at least one, seem to be alive: all may be silent for a
// moment, and then no chain is better than another. A starved process takes them for alive.
func (w *watchdog) alive(parts []*backend) bool {
	var checks sync.WaitGroup
	for _, b := range parts {
		if !b.use.HasRecentEvent(time.Now()) {
			checks.Go(func() { w.relay.g.verify(w.ctx, b) })
		}
	}
	checks.Wait()
	return len(parts) > 0 && !slices.ContainsFunc(parts, func(b *backend) bool { return b.use.Down() })
}

// repair moves the request away from a lost endpoint of its chain, or has the endpoints checked
// when none is known to be lost. It returns false when the attempt is lost: the first endpoint does
// not answer, or there is no other chain.
func (w *watchdog) repair(reservation *reservation) bool {
	now := time.Now()
	if reservation.first.use.Down() {
		if reservation.first.use.ended.Load() || w.relay.g.hasEnded(reservation.first, now) {
			w.releaseReservation()
		}
		return false
	}
	for _, b := range reservation.parts[1:] {
		if b.use.PresumedDead(now) {
			return w.move(reservation, b)
		}
	}
	w.relay.g.checkIfUncertain(reservation.first, now)
	for _, b := range reservation.parts[1:] {
		w.relay.g.checkBehind(b, now)
	}
	return true
}

// move moves the request to a chain without a lost endpoint. It returns false when there is none,
// or the request cannot be moved.
func (w *watchdog) move(reservation *reservation, lost *backend) bool {
	g, q, address := w.relay.g, w.relay.q, lost.Address
	if q.guard.MayCrash() { // it might crash another endpoint
		return w.unmovable(address, shortage.Quarantine)
	}
	q.avoid(address)
	// Ends that become known from here on count only for a request that has been moved: the endpoints of one chain may end
	// at a moment for a reason of their own.
	moved := w.chainAt.After(w.startedAt)
	for range maxMoves {
		next, short := g.reserveMove(q, reservation, lost)
		if short == shortage.None && w.switchIfFaster(reservation, next, lost) {
			next.releaseUnsent()
			return true
		}
		if short != shortage.None {
			return w.unmovable(address, short)
		}
		joining := reservation.joining(next)
		if !w.alive(append(joining, next.first)) || moved && q.guard.MayCrash() { // a silent endpoint may carry out the order later
			next.releaseUnsent()
			continue
		}
		ctx, cancel := context.WithTimeout(w.ctx, moveWait)
		err := g.Runners.Reroute(ctx, q.ID, next.chain)
		cancel()
		g.Log.Info().Str("request", q.ID).Str("lost", address).Stringer("former", reservation.chain).
			Stringer("chain", next.chain).Strs("halls", next.halls()).AnErr("error", err).
			Msg("request moved")
		if err == nil {
			w.replace(next)
			return true
		}
		next.release()
		var refused *runner.RefusedError
		if !errors.As(err, &refused) || refused.RefusedBy == "" {
			return false
		}
		address = refused.RefusedBy
		q.avoid(address)
		moved = moved || slices.ContainsFunc(joining, func(b *backend) bool { return b.Address == address })
	}
	return false
}

// unmovable logs once for each lost endpoint that the request cannot be moved, and returns false.
func (w *watchdog) unmovable(lost string, reason shortage.Shortage) bool {
	if w.unmovableFrom != lost {
		w.unmovableFrom = lost
		w.relay.g.Log.Info().Str("request", w.relay.q.ID).Str("lost", lost).Str("reason", string(reason)).Msg("request cannot be moved")
	}
	return false
}

// replace exchanges the reservation for another one.
func (w *watchdog) replace(next *reservation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		next.release()
		return
	}
	w.reservation.removeWatchdog(w)
	w.reservation.releaseMoved()
	w.reservation, w.first, w.passed = next, time.Time{}, false
	w.chainAt = time.Now()
	next.addWatchdog(w)
	w.relay.q.noteUsed("moved: " + next.chain.String())
}
