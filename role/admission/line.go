// Package admission is where requests of a model wait for room: who goes first, how long
// each waits, who is refused at once, and when those that are refused are to come back.
package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/comeback"
	"github.com/grademill/grademill/decide/outcome"
	"github.com/grademill/grademill/decide/patience"
	"github.com/grademill/grademill/decide/rate"
	"github.com/grademill/grademill/decide/urgency"
	"github.com/grademill/grademill/role/gate"
	"github.com/grademill/grademill/state/byname"
	"github.com/grademill/grademill/state/streams"
)

// The figures of waiting for room.
const (
	// maxLine bounds the requests that wait: more would wait longer than callers do.
	maxLine = 1024
	// pollRoom is the time between two looks for room while requests wait: a few
	// streams of a hall end in it.
	pollRoom = 15 * time.Millisecond
	// returnShare is the part of the time left that a refused caller stays away at
	// most: callers heed no more than a third.
	returnShare = 0.3
	// calmTime is how long nobody must have been refused to learn from callers what they
	// have when they come first: most who are told to come back have done so by then.
	calmTime = 8 * time.Second
	// lateWait is how long a request waits that is late in any case, in parts of its
	// objective: its caller leaves after four.
	lateWait = 3
)

// Order returns the urgency of a request under a load; urgency.Load.Of is the one in use.
type Order func(l urgency.Load, begun, returned bool) urgency.Urgency

// Line is where requests wait; G is what they get, such as a chain. The zero Line is ready
// to use, and looks for room while Run runs. It is safe for concurrent use.
type Line[G any] struct {
	// Order orders requests of one priority, nil for urgency.Load.Of.
	Order Order
	// Times are how long streams take.
	Times streams.Times

	// gate and wake are set up by once, before their first use.
	once sync.Once
	gate gate.Gate[G]
	wake chan struct{}
	// callers learns what callers have when they come first, and refusedAt is when one was
	// last refused, in nanoseconds of Unix time.
	callers   byname.Map[patience.Learned]
	refusedAt atomic.Int64
	// returning is how many callers of each service come back in a second.
	returning byname.Map[rate.Meter]

	mu sync.Mutex
	// returns are the times at which refused callers come back; guarded by mu.
	returns comeback.Book
}

// ready returns the gate of the line, which is set up before its first use.
func (l *Line[G]) ready() *gate.Gate[G] {
	l.once.Do(func() {
		l.gate.MaxQueue = maxLine
		l.wake = make(chan struct{}, 1)
	})
	return &l.gate
}

// Arrive notes a request that has come, and reports whether its caller has come back.
func (l *Line[G]) Arrive(r Request) bool {
	share := r.share()
	returned := l.callers.Get(r.Service).Returned(share)
	if returned {
		l.returning.Update(r.Service, func(m rate.Meter) rate.Meter { return m.WithCount(r.Start, 1) })
	}
	if r.Start.UnixNano()-l.refusedAt.Load() >= int64(calmTime) {
		l.callers.Update(r.Service, func(p patience.Learned) patience.Learned { return p.WithShare(share) })
	}
	return returned
}

// urgency returns the urgency of a request at now.
func (l *Line[G]) urgency(r Request, now time.Time) urgency.Urgency {
	load := urgency.Load{
		Admitted: l.ready().Admitted(r.Service), Returning: l.returning.Get(r.Service).PerSecond(now),
	}
	if l.Order != nil {
		return l.Order(load, r.Begun, r.Returned)
	}
	return load.Of(r.Begun, r.Returned)
}

// Turn is how a request waits.
type Turn struct {
	// Urgency is its urgency as it was when it came to the line.
	Urgency urgency.Urgency
	// Until is until when it may wait.
	Until time.Time
}

// Turn returns how a request waits that comes to the line at now: a new one while its first
// event can come in time, since its caller can come back; one that cannot for as long as
// its caller bears to wait for an event.
func (l *Line[G]) Turn(r Request, now time.Time) Turn {
	usual := l.Times.First(r.Service)
	if urgent := l.urgency(r, now); urgent != urgency.New {
		return Turn{Urgency: urgent, Until: now.Add(lateWait*r.Objective - usual)}
	}
	return Turn{Urgency: urgency.New, Until: r.Start.Add(r.Objective - usual)}
}

// Enter waits for what try grants. It refuses at once what would wait for longer than it
// may, and what try says will never have room.
func (l *Line[G]) Enter(ctx context.Context, r Request, turn Turn, try func() (G, gate.Answer)) (G, *outcome.Report) {
	ctx, cancel := context.WithDeadline(ctx, turn.Until)
	defer cancel()
	return l.ready().Enter(ctx, gate.Ticket[G]{
		Lane: r.Service, Team: r.Team, Cost: 1,
		Priority: r.Priority*int(urgency.Levels) + int(turn.Urgency),
		Try: func() (G, gate.Answer) {
			grant, answer := try()
			if answer == gate.Full {
				l.look()
			}
			return grant, answer
		},
	})
}

// look has Run look for room soon.
func (l *Line[G]) look() {
	select {
	case l.wake <- struct{}{}:
	default: // it does
	}
}

// Waiting returns the number of requests that wait.
func (l *Line[G]) Waiting() int {
	return l.ready().Waiting()
}

// Run admits waiting requests as there is room until ctx ends.
func (l *Line[G]) Run(ctx context.Context) {
	waiting := l.ready()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for ctx.Err() == nil && waiting.Waiting() > 0 {
			pause.For(ctx, pollRoom)
			waiting.Poke()
		}
	}
}

// ComeBack returns when the caller of a request that is refused at now is to come back, and
// how many requests a second are admitted, from which that was worked out.
func (l *Line[G]) ComeBack(r Request, now time.Time) (time.Duration, float64) {
	l.refusedAt.Store(now.UnixNano())
	load := comeback.Load{Admitted: l.ready().Admitted(r.Service), Lasts: l.Times.Lasts(r.Service)}
	most := time.Duration(returnShare * float64(r.Deadline.Sub(now)))
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.returns.Wait(now, load, most), load.Admitted
}
