package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/grademill/grademill/decide/reread"
	"github.com/grademill/grademill/decide/timeout"
	"github.com/grademill/grademill/port/runner"
)

// Timing and bounds of watching a stream.
const (
	// firstOverdueShare is when the first event is overdue, as a share of the objective; usual
	// times are a tenth of the objective.
	overdueFirst = 0.2
	// minOverdueShare and maxOverdueShare bound when a later event is overdue, as a share of the
	// allowed pause; the value between them is learned from the stream. The rest of the pause
	// remains for repairing the chain.
	overdueLeast = 0.35
	overdueMost  = 0.5
	// recheckShare is the delay until the next check, as a share of the objective or of the allowed
	// pause.
	overdueAgain = 0.5
	// maxMoves bounds the attempts of one check to move a request.
	maxMoves = 3
	// moveWait bounds the order to move a request: a live endpoint answers within milliseconds.
	moveWait = 250 * time.Millisecond
)

// watchdog watches one attempt of a stream. When an event is overdue it checks the endpoints of the
// chain and moves the request to a chain without those that do not answer. When that does not help
// it abandons the attempt, and the stream is resumed along another chain.
type watchdog struct {
	ctx    context.Context
	relay  *relay
	cancel context.CancelFunc
	begun  time.Time
	// final is set when no further attempt may follow.
	final bool

	mu    sync.Mutex // guards the fields below
	seat  *seat
	timer *time.Timer
	// last is when the latest event arrived, first when the first event of the current chain did;
	// zero before.
	first, last time.Time
	// gaps estimates the time until the stream's next event.
	gaps timeout.Estimator
	// checking is set while a check runs; there is one at a time.
	looking bool
	// ended is set by stop, abandoned when the attempt was given up.
	ended, expired bool
	// unmovableFrom is the address of the endpoint from which the last move failed. Only the
	// running check uses it.
	stuckAt string
	// movedWhileSuspect is set once the request was moved although it is a suspect: an endpoint
	// that ends after that has ended under an isolated attempt.
	suspectMoved bool
	// lastShortage is why the attempt was not abandoned at the previous check.
	stays shortage
	// reserved is the reservation of the next attempt when this one was abandoned for it.
	reserved *seat
}

// newWatchdog starts to watch an attempt along a reservation, which stop releases.
func newWatchdog(ctx context.Context, s *relay, taken *seat, cancel context.CancelFunc) *watchdog {
	pause := allowedPause(s.q.route)
	w := &watchdog{
		ctx: ctx, relay: s, seat: taken, cancel: cancel, begun: time.Now(),
		final: !s.q.route.Repeats() || s.q.runs()+1 >= s.q.route.Attempts || s.q.sends+1 >= maxSends && !s.headSent,
		gaps:  timeout.Estimator{Min: part(overdueLeast, pause), Max: part(overdueMost, pause)},
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	taken.watch(w)
	w.timer = time.AfterFunc(part(overdueFirst, objective(s.q.route)), w.look)
	return w
}

// fraction returns the given share of a duration.
func part(share float64, d time.Duration) time.Duration {
	return time.Duration(share * float64(d))
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
	w.seat.read()
	for _, b := range w.seat.parts {
		b.use.eventAt.Store(now.UnixNano())
	}
	w.timer.Reset(w.gaps.Value())
}

// startWindow is how long a request counts as just started after its first event. A request that
// crashed the endpoint that started it did so 36 to 109 ms after its start, and the other requests
// there had mostly started before.
const beginTime = time.Second

// justStarted reports whether the endpoints of the chain may have received the request and had only
// recently started it at now.
func (w *watchdog) begins(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.relay.q.reached.Load() && (w.first.IsZero() || now.Sub(w.first) < beginTime)
}

// isolatedAt reports whether the request is a suspect and tried at the endpoint.
func (w *watchdog) tries(endpoint string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspectMoved || w.relay.q.isolatedAt() == endpoint
}

// checkSoon schedules a check since an endpoint of the chain has been lost. An event that is not
// late yet may still arrive, produced before the loss.
func (w *watchdog) kick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.timer.Reset(max(time.Until(w.last.Add(w.gaps.Mean())), 0))
}

// stop ends the watch, releases the reservation, and returns the one for which the attempt was
// abandoned, nil for none.
func (w *watchdog) stop() *seat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	w.seat.unwatch(w)
	w.seat.release()
	return w.reserved
}

// gaveUp reports whether the attempt was abandoned.
func (w *watchdog) gaveUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expired
}

// check runs when an event is overdue or an endpoint of the chain has been lost.
func (w *watchdog) look() {
	w.mu.Lock()
	last, seat := w.last, w.seat
	if w.ended || w.ctx.Err() != nil {
		w.mu.Unlock()
		return
	}
	if w.looking {
		w.timer.Reset(part(overdueLeast, w.aim(last)))
		w.mu.Unlock()
		return
	}
	w.looking = true
	w.mu.Unlock()

	if (w.over(seat, last) || !w.mend(seat)) && w.leave(seat) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looking = false
	if !w.ended && w.last.Equal(last) {
		w.timer.Reset(part(overdueAgain, w.aim(last)))
	}
}

// target returns how long the next event may take.
func (w *watchdog) aim(last time.Time) time.Duration {
	if last.IsZero() {
		return objective(w.relay.q.route)
	}
	return allowedPause(w.relay.q.route)
}

// workingEventAge is how recent an event of another stream must be for its first endpoint to count
// as working. A delay there is due to load, to which another attempt would add.
const lively = 400 * time.Millisecond

// waitedEnough reports whether the attempt has waited long enough for an event.
func (w *watchdog) over(seat *seat, last time.Time) bool {
	q, now := w.relay.q, time.Now()
	if !q.route.Repeats() || now.UnixNano()-seat.first.use.eventAt.Load() < int64(lively) {
		return false
	}
	if last.IsZero() {
		return now.Sub(w.begun) > firstWait*objective(q.route)
	}
	return now.Sub(last) > pauseWait*allowedPause(q.route)
}

// releaseReservation releases the reservation although the attempt goes on: its first endpoint has
// ended, so that the other endpoints work for it in vain and may be given other layers.
func (w *watchdog) forsake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seat.release()
}

// switchIfFaster abandons the attempt for one along another chain if the request could be moved,
// but would be late after the move and is expected much sooner on the other chain. When an endpoint
// is lost, the few endpoints of its hall that hold the same layers have to read the prompts of all
// its streams again.
func (w *watchdog) faster(old, moved *seat, lost *backend) bool {
	if w.final || w.relay.g.suspected(w.relay.q) {
		return false
	}
	q := w.relay.q
	wait, spare := moved.readTime(q, old, lost.use.together()), w.spare(time.Now())
	if !reread.Leave(wait, 0, spare) {
		return false
	}
	q.arrived.Store(true) // so that the new attempt is charged to the retry budget
	next, short := w.relay.g.takeTry(q, causeLeft)
	if short != shortageNone {
		return false
	}
	if !reread.Leave(wait, next.readTime(q, nil, 1), spare) || !w.leaveFor(next) {
		next.release()
		w.relay.g.retries.Return(q.service.Name)
		return false
	}
	w.relay.g.Log.Info().Str("request", q.ID).Str("lost", lost.Address).Dur("wait_ms", wait).
		Stringer("chain", next.chain).Msg("attempt abandoned for a faster chain")
	return true
}

// timeLeft returns how long the next event may still take without being late.
func (w *watchdog) spare(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last.IsZero() {
		return objective(w.relay.q.route) - now.Sub(w.relay.q.start)
	}
	return allowedPause(w.relay.q.route) - now.Sub(w.last)
}

// abandonFor ends the attempt for one along another reservation, and reports whether it did; it
// does not when the attempt has already ended.
func (w *watchdog) leaveFor(next *seat) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return false
	}
	w.expired, w.reserved = true, next
	w.cancel()
	return true
}

// abandon ends the attempt if the request can be sent along another chain at once, and reports
// whether it did. Otherwise the attempt goes on: the event may still arrive in time, and without
// another chain nothing is gained by ending it.
func (w *watchdog) leave(seat *seat) bool {
	if w.final || !w.relay.g.maySend(w.relay.q) {
		return false
	}
	q := w.relay.q
	if w.relay.g.suspected(q) { // it waits for an isolated attempt
		q.arrived.Store(true)
		return seat.first.use.down() && w.leaveFor(nil)
	}
	q.arrived.Store(true)
	q.avoid(seat.first.Address)
	next, short := w.relay.g.takeTry(q, causeLeft)
	w.mu.Lock()
	defer w.mu.Unlock()
	if short != w.stays || short == shortageNone {
		w.relay.g.Log.Info().Str("request", q.ID).Str("first", seat.first.Address).Bool("down", seat.first.use.down()).
			Str("shortage", string(short)).Msg("whether a try is left for another")
	}
	w.stays = short
	if short != shortageNone {
		return false
	}
	if w.ended {
		next.release()
		return true
	}
	w.expired, w.reserved = true, next
	w.cancel()
	return true
}

// repair moves the request away from a lost endpoint of its chain, or has the endpoints checked
// when none is known to be lost. It returns false when the attempt is lost: the first endpoint does
// not answer, or there is no other chain.
func (w *watchdog) mend(seat *seat) bool {
	now := time.Now()
	if seat.first.use.down() {
		w.forsake()
		return false
	}
	for _, b := range seat.parts[1:] {
		if b.use.dead(now) {
			return w.move(seat, b)
		}
	}
	w.relay.g.doubt(seat.first, now)
	for _, b := range seat.parts[1:] {
		w.relay.g.doubtBehind(b, now)
	}
	return true
}

// move moves the request to a chain without a lost endpoint. It returns false when there is none,
// or the request cannot be moved.
func (w *watchdog) move(seat *seat, lost *backend) bool {
	g, q, address := w.relay.g, w.relay.q, lost.Address
	if !g.maySend(q) {
		return false // it would crash another endpoint
	}
	q.avoid(address)
	for range maxMoves {
		next, short := g.moveSeat(q, seat, lost)
		if short == shortageNone && w.faster(seat, next, lost) {
			next.release() // the attempt ends
			return true
		}
		if short != shortageNone {
			if w.stuckAt != address {
				w.stuckAt = address
				g.Log.Info().Str("request", q.ID).Str("lost", address).Str("reason", string(short)).Msg("request cannot be moved")
			}
			return false
		}
		ctx, cancel := context.WithTimeout(w.ctx, moveWait)
		err := g.Runners.Reroute(ctx, q.ID, next.chain)
		cancel()
		g.Log.Info().Str("request", q.ID).Str("lost", address).Stringer("chain", next.chain).AnErr("error", err).
			Msg("request moved")
		if err == nil {
			w.replace(next)
			return true
		}
		next.release()
		var refused *runner.RefusedError
		if !errors.As(err, &refused) || refused.Blamed == "" {
			return false
		}
		address = refused.Blamed
		q.avoid(address)
	}
	return false
}

// replace exchanges the reservation for another one.
func (w *watchdog) replace(next *seat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		next.release()
		return
	}
	w.seat.unwatch(w)
	w.seat.release()
	w.seat, w.first = next, time.Time{}
	w.suspectMoved = w.relay.g.suspected(w.relay.q)
	next.watch(w)
	w.relay.q.note("moved: " + next.chain.String())
}
