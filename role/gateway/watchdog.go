package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/grademill/grademill/decide/health"
	"github.com/grademill/grademill/port/runner"
)

// The figures of watching a stream.
const (
	// overdueFirst and overdueNext are when an event is overdue, in parts of the
	// objective and of the allowed pause. Usual times are a fifth of these, and
	// half of the aim is left to mend the chain.
	overdueFirst = 0.4
	overdueNext  = 0.5
	// overdueAgain is when the next look follows, in the same parts.
	overdueAgain = 0.5
	// maxMoves bounds how often one look tries to move a request.
	maxMoves = 3
)

// watchdog watches one try of a stream. When an event is overdue it asks the
// first endpoint of the chain what the request waits for, and moves the request
// to a chain without it. When that does not help it gives the try up, and the
// stream is carried over.
type watchdog struct {
	ctx    context.Context
	relay  *relay
	cancel context.CancelFunc
	begun  time.Time

	mu    sync.Mutex // guards what follows
	seat  *seat
	timer *time.Timer
	// last is when an event last came; zero before the first.
	last time.Time
	// ended is set by stop, expired when the try was given up.
	ended, expired bool
}

// newWatchdog starts to watch a try along a seat, which it releases in the end.
func newWatchdog(ctx context.Context, s *relay, taken *seat, cancel context.CancelFunc) *watchdog {
	w := &watchdog{ctx: ctx, relay: s, seat: taken, cancel: cancel, begun: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
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
	w.last = time.Now()
	w.seat.read()
	w.seat.first.use.eventAt.Store(w.last.UnixNano())
	w.timer.Reset(part(overdueNext, allowedPause(w.relay.q.route)))
}

// stop ends the watch and releases the seat.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	w.seat.release()
}

// gaveUp reports whether the try was given up.
func (w *watchdog) gaveUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expired
}

// look is called when an event is overdue.
func (w *watchdog) look() {
	q := w.relay.q
	w.mu.Lock()
	last, ended, seat := w.last, w.ended, w.seat
	w.mu.Unlock()
	if ended || w.ctx.Err() != nil {
		return
	}
	if w.over(seat, last) {
		w.giveUp()
		return
	}
	if !w.mend(seat) && q.route.Repeats() {
		w.giveUp()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
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

// giveUp ends the try.
func (w *watchdog) giveUp() {
	w.mu.Lock()
	w.expired = true
	w.mu.Unlock()
	w.cancel()
}

// mend asks what the request waits for and moves it. It returns false when the
// first endpoint does not answer, so that the try is lost.
func (w *watchdog) mend(seat *seat) bool {
	g, q := w.relay.g, w.relay.q
	report, err := g.probes.ask(w.ctx, g.Runners, seat.first.Address)
	if err != nil {
		if w.ctx.Err() == nil {
			seat.first.use.judge(func(r health.Record) health.Record { return r.WithLoss(time.Now()) })
			g.Log.Info().Str("request", q.ID).Str("first", seat.first.Address).Err(err).Msg("first endpoint gives no report")
		}
		return false
	}
	for _, stall := range report.Stalled {
		g.noteStall(stall)
		// A report lags: it may still name an endpoint that was left behind.
		if stall.Request == q.ID && seat.chain.Uses(stall.Address) {
			return w.move(seat, stall.Address)
		}
	}
	now := time.Now()
	for _, b := range seat.parts[1:] {
		if b.use.dead(now) {
			return w.move(seat, b.Address)
		}
	}
	return true
}

// noteStall notes that an endpoint holds requests up.
func (g *Gateway) noteStall(stall runner.Stall) {
	b := g.fleet.Load().byAddress[stall.Address]
	now := time.Now()
	if b == nil || b.use.dead(now) {
		return
	}
	b.use.stall(now, 0)
	g.Log.Info().Str("endpoint", b.ID).Str("address", b.Address).Str("request", stall.Request).Msg("endpoint holds requests up")
}

// move moves the request to a chain without an address. It returns false when
// there is none, or the request cannot be moved.
func (w *watchdog) move(seat *seat, address string) bool {
	g, q := w.relay.g, w.relay.q
	q.avoid(address)
	for range maxMoves {
		next, short := g.moveSeat(q, seat)
		if short != shortageNone {
			g.Log.Info().Str("request", q.ID).Str("stalled", address).Str("reason", string(short)).Msg("request cannot be moved")
			return false
		}
		ctx, cancel := context.WithTimeout(w.ctx, probeWait)
		err := g.Runners.Reroute(ctx, q.ID, next.chain)
		cancel()
		g.Log.Info().Str("request", q.ID).Str("stalled", address).Stringer("chain", next.chain).AnErr("error", err).
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
	w.seat.release()
	w.seat = next
	w.relay.q.note("moved: " + next.chain.String())
}
