package gateway

import (
	"time"

	"github.com/grademill/grademill/decide/outcome"
	"github.com/grademill/grademill/decide/overdue"
	"github.com/grademill/grademill/decide/shortage"
	"github.com/grademill/grademill/decide/urgency"
	"github.com/grademill/grademill/role/admission"
	"github.com/grademill/grademill/role/gate"
)

// waiting returns the request in the form that the queue needs.
func (q *query) waiting() admission.Request {
	return admission.Request{
		Service: q.service.Name, Team: q.team, Priority: maxPriority - q.priority,
		RouteTimeout: q.route.Timeout, CallerTimeout: q.CallerTimeout, Objective: overdue.Of(q.route).Objective,
		Start: q.start, Deadline: q.deadline, Retried: q.returned, Begun: q.everReached.Load(),
	}
}

// reserveQueued waits in the queue for a reservation. A request that would have to wait for longer
// than it may is refused at once, and so is a new one when no chain holds all layers.
func (g *Gateway) reserveQueued(q *query, terms admission.Terms) (*reservation, shortage.Shortage) {
	r := q.waiting()
	if !r.Begun {
		q.ahead = g.queue.Waiting()
		defer func(since time.Time) { q.waited = time.Since(since) }(time.Now())
	}
	found := shortage.Room
	taken, report := g.queue.Enter(q.r.Context(), r, terms, func() (*reservation, gate.Answer) {
		taken, short := g.reserve(q)
		found = short
		switch {
		case short == shortage.None:
			return taken, gate.Granted
		case short == shortage.Layers && terms.Urgency == urgency.New:
			return nil, gate.Never
		case short == shortage.Held && q.availableFrom(time.Now()).After(terms.Until): // the refusal carries a Retry-After delay
			return nil, gate.Never
		}
		return nil, gate.Full
	})
	if report == nil {
		if !r.Begun {
			g.overload.CountAdmitted(q.service.Name, time.Now())
		}
		return taken, shortage.None
	}
	if found == shortage.None || report.Code == outcome.Overloaded && found != shortage.Held {
		found = shortage.Room
	}
	return nil, found
}

// terms returns how the request waits for a reservation at now: one whose caller already has events
// waits until its deadline, unless the caller leaves.
func (s *relay) terms(now time.Time) admission.Terms {
	terms := s.g.queue.Terms(s.q.waiting(), now)
	if s.out.Begun() {
		terms.Until = s.q.deadline
	}
	return terms
}
