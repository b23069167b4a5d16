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

// The figures of watching a stream.
const (
	// overdueFirst is when the first event is overdue, in parts of the objective:
	// usual times are a tenth of it.
	overdueFirst = 0.2
	// overdueLeast and overdueMost bound when a later event is overdue, in parts
	// of the allowed pause; between them it is learned from the stream. What is
	// left of the pause is to mend the chain.
	overdueLeast = 0.35
	overdueMost  = 0.5
	// overdueAgain is when the next look follows, in parts of the objective or the
	// allowed pause.
	overdueAgain = 0.5
	// maxMoves bounds how often one look tries to move a request.
	maxMoves = 3
	// moveWait bounds the order to move a request: an endpoint that lives answers
	// within milliseconds.
	moveWait = 250 * time.Millisecond
)

// watchdog watches one try of a stream. When an event is overdue it has the
// endpoints of the chain checked, and moves the request to a chain without those
// that do not answer. When that does not help it gives the try up, and the stream
// is carried over.
type watchdog struct {
	ctx    context.Context
	relay  *relay
	cancel context.CancelFunc
	begun  time.Time
	// final is set when no other try may follow.
	final bool

	mu    sync.Mutex // guards what follows
	seat  *seat
	timer *time.Timer
	// last is when an event last came, first when the first one of the chain of the
	// moment did; zero before.
	first, last time.Time
	// gaps learns how long the stream's next event takes.
	gaps timeout.Estimator
	// looking is set while a look is under way: there is one at a time.
	looking bool
	// ended is set by stop, expired when the try was given up.
	ended, expired bool
	// stuckAt is the part that the request could last not be moved away from; only
	// the look that is under way uses it.
	stuckAt string
	// suspectMoved is set once the request was moved though it was suspected: what ends then
	// has ended under a try.
	suspectMoved bool
	// stays is why the try was not left when that was last looked for.
	stays shortage
	// reserved is the seat of the next try when this one was given up for it.
	reserved *seat
}

// newWatchdog starts to watch a try along a seat, which it releases in the end.
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

// part returns a part of a duration.
func part(share float64, d time.Duration) time.Duration {
	return time.Duration(share * float64(d))
}

// event notes that an event has come.
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

// beginTime is how long a request counts as just begun after its first event: one that ends
// the endpoint that begins to run it did so 36 to 109 ms after its start, and the others that
// run there mostly began before.
const beginTime = time.Second

// begins reports whether the endpoints of the chain have got the request and had lately begun
// to run it at now.
func (w *watchdog) begins(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.relay.q.reached.Load() && (w.first.IsZero() || now.Sub(w.first) < beginTime)
}

// tries reports whether an endpoint of the chain is one at which the request, a suspect, is tried.
func (w *watchdog) tries(endpoint string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspectMoved || w.relay.q.isolatedAt() == endpoint
}

// kick has the watchdog look soon, since a part of the chain has been lost. An
// event that is not late yet may still come: it was made before.
func (w *watchdog) kick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.timer.Reset(max(time.Until(w.last.Add(w.gaps.Mean())), 0))
}

// stop ends the watch, releases the seat, and returns the one that the try was left
// for, nil for none.
func (w *watchdog) stop() *seat {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	w.seat.unwatch(w)
	w.seat.release()
	return w.reserved
}

// gaveUp reports whether the try was given up.
func (w *watchdog) gaveUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expired
}

// look is called when an event is overdue, or a part of the chain has been lost.
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

// aim returns how long the next event may take.
func (w *watchdog) aim(last time.Time) time.Duration {
	if last.IsZero() {
		return objective(w.relay.q.route)
	}
	return allowedPause(w.relay.q.route)
}

// lively is how recent an event of another stream must be for its first endpoint
// to count as working: then a wait is due to load, and another try would add to
// it.
const lively = 400 * time.Millisecond

// over reports whether the try has waited long enough.
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

// forsake gives the room of the seat back although the try goes on: its first endpoint
// has ended, so that the other ones work for it in vain, and may be given other layers.
func (w *watchdog) forsake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seat.release()
}

// faster leaves the try for one along another chain if the request can be moved, but would
// be late then and is expected much sooner there. When an endpoint is lost all streams
// through it are read again by those few of its hall that hold its layers too.
func (w *watchdog) faster(old, moved *seat, lost *backend) bool {
	if w.final || w.relay.g.suspected(w.relay.q) {
		return false
	}
	q := w.relay.q
	wait, spare := moved.readTime(q, old, lost.use.together()), w.spare(time.Now())
	if !reread.Leave(wait, 0, spare) {
		return false
	}
	q.arrived.Store(true) // so that the try costs its part of the retry budget
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
		Stringer("chain", next.chain).Msg("a try is left for a faster one")
	return true
}

// spare returns how long the next event may still take without being late.
func (w *watchdog) spare(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last.IsZero() {
		return objective(w.relay.q.route) - now.Sub(w.relay.q.start)
	}
	return allowedPause(w.relay.q.route) - now.Sub(w.last)
}

// leaveFor ends the try for one along a seat, and reports whether it has: not when it has
// ended already.
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

// leave ends the try if the request can be sent along another chain at once, and
// reports whether it has. Otherwise the try goes on: what it waits for may come while
// the caller does, and without another way nothing is won by ending it.
func (w *watchdog) leave(seat *seat) bool {
	if w.final || !w.relay.g.maySend(w.relay.q) {
		return false
	}
	q := w.relay.q
	if w.relay.g.suspected(q) { // it waits for a try apart
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

// mend moves the request away from a part of its chain that is lost, and has the
// parts checked when none is known to be. It returns false when the try is lost:
// the first endpoint does not answer, or there is no other way.
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

// move moves the request to a chain without a lost part. It returns false when
// there is none, or the request cannot be moved.
func (w *watchdog) move(seat *seat, lost *backend) bool {
	g, q, address := w.relay.g, w.relay.q, lost.Address
	if !g.maySend(q) {
		return false // it would end another part
	}
	q.avoid(address)
	for range maxMoves {
		next, short := g.moveSeat(q, seat, lost)
		if short == shortageNone && w.faster(seat, next, lost) {
			next.release() // the try ends
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

// replace takes a new seat in place of the former one.
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
