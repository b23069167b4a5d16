package gateway

import (
	"slices"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/trial"
	"github.com/grademill/grademill/state/suspects"
)

// The figures of trying the requests that may have ended endpoints.
const (
	// laneWait is how long a suspect waits before it is tried, so that all gateways know of the
	// suspects and keep them apart: a digest, and one more for a lost one. It is the time between
	// two looks whether a lane is free, too.
	laneWait = 200 * time.Millisecond
	// lanePatience bounds the wait for a lane: the word of another gateway on a suspect that
	// has run to its end counts for three seconds.
	lanePatience = 4 * time.Second
)

// suspected reports whether endpoints have ended under a request so often that it is tried apart
// from all others of which that is so.
func (g *Gateway) suspected(q *query) bool {
	return g.quarantine.Suspected(q.print, time.Now())
}

// lanes returns the endpoints of a service at which suspects are tried at now.
func (g *Gateway) lanes(service string, now time.Time) trial.Lanes {
	list := g.quarantine.Suspects(now)
	if len(list) == 0 {
		return trial.Lanes{}
	}
	var endpoints []string
	for _, b := range g.fleet.Load().open[service] {
		if begins := b.Card == "" || !b.usable(now).Empty() && b.usable(now).First == 0; begins && !b.use.avoided(now) {
			endpoints = append(endpoints, b.ID)
		}
	}
	return trial.New(list, slices.Sorted(slices.Values(endpoints)))
}

// awaitLane waits until a request may be sent on, for as long as its caller may wait: at once
// unless it is a suspect. It returns why it may not.
func (g *Gateway) awaitLane(q *query) shortage {
	until := time.Now().Add(min(lanePatience, q.left(time.Now())))
	for {
		q.setLane("")
		if !g.maySend(q) {
			return shortageQuarantine
		}
		now := time.Now()
		if !g.quarantine.Suspected(q.print, now) {
			return shortageNone
		}
		if lane, free := g.lanes(q.service.Name, now).Of(q.print); q.apart && free {
			q.setLane(lane)
			g.Log.Info().Str("request", q.ID).Stringer("print", q.print).Str("lane", lane).
				Msg("request is tried apart from others under which endpoints have ended")
			return shortageNone
		}
		if now.After(until) || q.r.Context().Err() != nil {
			return shortageQuarantine
		}
		q.apart = true
		pause.For(q.r.Context(), laneWait)
	}
}

// mayBegin reports whether a request may begin to run at an endpoint: a suspect at its lane, and
// any other where no suspect is tried.
func (q *query) mayBegin(b *backend, lanes trial.Lanes) bool {
	if lane := q.triedAt(); lane != "" {
		return b.ID == lane
	}
	return !lanes.Taken(b.ID)
}

// prints returns the fingerprints of requests as the log writes them.
func prints(begun []suspects.Begun) []string {
	list := make([]string, 0, len(begun))
	for _, b := range begun {
		list = append(list, b.Print.String())
	}
	return list
}
