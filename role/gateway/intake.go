package gateway

import (
	"fmt"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/overdue"
	"github.com/grademill/grademill/role/throttling"
)

// initThrottling sets up the handling of the limits and backoff periods that endpoints ask for.
func (g *Gateway) initThrottling() {
	g.throttling = throttling.Throttling{Name: g.Name, Peers: &g.peers, DigestInterval: g.gossip.DigestInterval, OnLeaving: g.handleLeaving, Log: g.Log}
}

// maxLoggedDeclined bounds the endpoints that the log entry of a request names as not accepting it.
const maxLoggedDeclined = 4

// noteDeclined records which of the endpoints that did not accept a request at now may accept it
// first. On the first search it also records the reason of each, for the log.
func (g *Gateway) noteDeclined(q *query, declined []*backend, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.next = nil
	var first time.Time
	for _, b := range declined {
		t := b.use.intake.Load()
		if from, known := t.NextSend(now); known && (q.next == nil || from.Before(first)) {
			q.next, first = b, from
		}
		if q.searched || len(q.declined) >= maxLoggedDeclined {
			continue
		}
		hold := t.Held(now)
		q.declined = append(q.declined, fmt.Sprintf("%s %s limit=%.3g share=%.3g wanted=%.3g",
			b.ID, hold, t.Limit().Rate, t.Share(), t.Demand(now)))
		g.Meter.Held(string(hold))
	}
	q.searched = true
}

// awaitIntake waits until an endpoint of a plain service accepts requests again, instead of
// refusing the request. It returns false at once when the endpoint would, after the requests
// already waiting, accept it too late for an answer in time.
func (g *Gateway) awaitIntake(q *query) bool {
	b := q.nextAvailable()
	if b == nil || q.r.Context().Err() != nil {
		return false
	}
	now := time.Now()
	from, known, leave := b.use.intake.Wait(now)
	defer leave()
	if !known || from.After(q.start.Add(overdue.Of(q.route).Objective/2)) {
		return false
	}
	pause.For(q.r.Context(), max(from.Sub(now), time.Millisecond))
	return true
}
