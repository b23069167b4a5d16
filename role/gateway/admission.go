package gateway

import (
	"context"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/outcome"
	"github.com/grademill/grademill/decide/patience"
	"github.com/grademill/grademill/role/gate"
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
)

// urgency orders the requests of one priority that wait for room.
type urgency int

const (
	// urgencyNew is a request that can come back when it is refused.
	urgencyNew urgency = iota
	// urgencyReturned is one with less time than callers usually have when they come
	// first: it has come back already, and will not again.
	urgencyReturned
	// urgencyBegun is one that has been sent: what was done for it would be lost.
	urgencyBegun
	// urgencies is the number of them.
	urgencies
)

// urgency returns the urgency of a request.
func (q *query) urgency() urgency {
	switch {
	case q.arrived.Load():
		return urgencyBegun
	case q.returned:
		return urgencyReturned
	}
	return urgencyNew
}

// calmTime is how long a gateway must have refused nobody to learn from callers what they
// have when they come first: most who are told to come back have done so by then.
const calmTime = 8 * time.Second

// noteCaller finds out whether a caller has come back, and learns what callers have when
// they come first.
func (g *Gateway) noteCaller(q *query) {
	if q.Patience <= 0 || q.route.Timeout <= 0 {
		return
	}
	share := min(float64(q.Patience)/float64(q.route.Timeout), 1)
	q.returned = g.callers.Get(q.service.Name).Returned(share)
	if q.start.UnixNano()-g.refusedAt.Load() < int64(calmTime) {
		return
	}
	g.callers.Update(q.service.Name, func(l patience.Learned) patience.Learned { return l.WithShare(share) })
}

// admitUntil waits in line for a seat until a time. A request that would wait for longer
// is turned away at once, and so is a new one when no chain holds all layers.
func (g *Gateway) admitUntil(q *query, until time.Time) (*seat, shortage) {
	ctx, cancel := context.WithDeadline(q.r.Context(), until)
	defer cancel()
	urgent := q.urgency()
	if urgent != urgencyBegun {
		q.ahead = g.line.Waiting()
		defer func(since time.Time) { q.waited = time.Since(since) }(time.Now())
	}
	found := shortageRoom
	taken, report := g.line.Enter(ctx, gate.Ticket[*seat]{
		Lane: q.service.Name, Team: q.team, Cost: 1,
		Priority: (maxPriority-q.priority)*int(urgencies) + int(urgent),
		Try: func() (*seat, gate.Answer) {
			taken, short := g.takeSeat(q)
			found = short
			switch {
			case short == shortageNone:
				return taken, gate.Granted
			case short == shortageLayers && urgent == urgencyNew:
				return nil, gate.Never
			}
			g.wakeLine()
			return nil, gate.Full
		},
	})
	if report == nil {
		return taken, shortageNone
	}
	if found == shortageNone || report.Code == outcome.Overloaded {
		found = shortageRoom
	}
	return nil, found
}

// wakeLine has the line looked through soon.
func (g *Gateway) wakeLine() {
	select {
	case g.lineWake <- struct{}{}:
	default: // it is being looked through
	}
}

// serveLine admits waiting requests as there is room until ctx ends.
func (g *Gateway) serveLine(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.lineWake:
		}
		for ctx.Err() == nil && g.line.Waiting() > 0 {
			pause.For(ctx, pollRoom)
			g.line.Poke()
		}
	}
}

// patience returns until when a request may wait for a seat: a new one while its first
// event can come in time, since it can come back; one that cannot for as long as its
// caller bears to wait for an event.
func (s *relay) patience(now time.Time) time.Time {
	q := s.q
	if s.headSent {
		return s.lastAt.Add(pauseWait * allowedPause(q.route))
	}
	usual := s.g.firstEvents.Usual(q.service.Name)
	if q.urgency() == urgencyNew {
		return q.start.Add(objective(q.route) - usual)
	}
	return now.Add(firstWait*objective(q.route) - usual)
}

// comeBack returns when a caller that is refused for want of room is to come back.
func (g *Gateway) comeBack(q *query, now time.Time) time.Duration {
	g.refusedAt.Store(now.UnixNano())
	q.admitted = g.line.Admitted(q.service.Name)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.returns.Wait(now, q.admitted, part(returnShare, q.left(now)))
}
