package gateway

import (
	"slices"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/isolation"
	"github.com/grademill/grademill/state/suspects"
)

// Timing of the isolated attempts of requests that may have crashed endpoints.
const (
	// isolationWait is how long a suspect waits before it is tried, so that all gateways know of
	// the suspects and isolate them: one digest interval, and one more in case a digest is lost. It
	// is also the interval between two checks whether an endpoint is free.
	isolationWait = 200 * time.Millisecond
	// isolationTimeout bounds the wait for an endpoint. It is longer than the three seconds for
	// which a reported number of ends under a request counts: a request that is a suspect only by
	// an outdated report is sent on once that has expired.
	isolationTimeout = 4 * time.Second
)

// suspected reports whether endpoints have ended under a request so often that it is tried isolated
// from all other such requests.
func (g *Gateway) suspected(q *query) bool {
	return g.quarantine.MustIsolate(q.print, time.Now())
}

// isolationPlan returns which endpoints of a service are reserved for which suspects at now.
func (g *Gateway) isolationPlan(service string, now time.Time) isolation.Plan {
	list := g.quarantine.Suspects(now)
	if len(list) == 0 {
		return isolation.Plan{}
	}
	return isolation.New(list, g.expendable(service, now))
}

// expendable returns the IDs of the endpoints of a service that can be spared for suspects at now, sorted.
func (g *Gateway) expendable(service string, now time.Time) []string {
	var endpoints []string
	var holders []isolation.Holder
	for _, b := range g.fleet.Load().open[service] {
		switch {
		case b.use.avoided(now):
		case b.Card == "":
			endpoints = append(endpoints, b.ID)
		default:
			holders = append(holders, isolation.Holder{ID: b.ID, Hall: b.Hall, Layers: b.usable(now)})
		}
	}
	endpoints = append(endpoints, isolation.Expendable(holders)...)
	return slices.Sorted(slices.Values(endpoints))
}

// awaitIsolation waits until a request may be sent on, within its deadline; a request that is no
// suspect need not wait. It returns the reason why the request may not be sent.
func (g *Gateway) awaitIsolation(q *query) shortage {
	until := time.Now().Add(min(isolationTimeout, q.timeLeft(time.Now())))
	for {
		q.isolateAt("")
		if !g.maySend(q) {
			return shortageQuarantine
		}
		now := time.Now()
		if !g.quarantine.MustIsolate(q.print, now) {
			return shortageNone
		}
		g.quarantine.Arrived(q.print, now)
		if endpoint, free := g.isolationPlan(q.service.Name, now).Endpoint(q.print); q.isolationWaited && free {
			q.isolateAt(endpoint)
			g.Log.Info().Str("request", q.ID).Stringer("print", q.print).Str("endpoint", endpoint).
				Msg("request is tried apart from others under which endpoints have ended")
			return shortageNone
		}
		if now.After(until) || q.r.Context().Err() != nil {
			return shortageQuarantine
		}
		if !q.isolationWaited {
			g.Log.Info().Str("request", q.ID).Stringer("print", q.print).Int("ends", g.quarantine.Ends(q.print, now)).
				Int("suspects", len(g.quarantine.Suspects(now))).Int("endpoints", len(g.expendable(q.service.Name, now))).
				Msg("request under which endpoints have ended waits for an isolated attempt")
		}
		q.isolationWaited = true
		pause.For(q.r.Context(), isolationWait)
	}
}

// mayStartAt reports whether a request may start at an endpoint: a suspect only at its own, any
// other request only where no suspect is tried.
func (q *query) mayStartAt(b *backend, isolated isolation.Plan) bool {
	if own := q.isolatedAt(); own != "" {
		return b.ID == own
	}
	return !isolated.Reserved(b.ID)
}

// fingerprints formats the fingerprints of requests for the log.
func fingerprints(begun []suspects.Begun) []string {
	list := make([]string, 0, len(begun))
	for _, b := range begun {
		list = append(list, b.Print.String())
	}
	return list
}
