package soak_test

import (
	"net/http"
	"strings"
	"time"

	"github.com/stretchr/testify/assert"
)

// Upper bounds of the guarantees, including slack for a busy machine.
const (
	// revokeBound is how long a key may still be accepted after it was revoked.
	revokeBound = 5 * time.Second
	// leaveBound is how long a gateway with a working connection to the store may
	// still send requests to an endpoint that has announced its departure.
	leaveBound = 2500 * time.Millisecond
	// reconnectBound is how long after the end of a fault a gateway may still lack updates.
	reconnectBound = 5 * time.Second
	// handoverBound is how long after SIGTERM a gateway may still accept a request
	// that it has to finish.
	handoverBound = 3 * time.Second
)

// check compares the responses that callers received with the runs that endpoints recorded.
func (w *world) check(c *callers, recovered time.Time) {
	assert.Empty(w.t, w.backends.site.InvalidChains(), "each layer runs once and in order")
	served, late := 0, 0
	for _, s := range c.all {
		runs := w.runs(s.id)
		switch {
		case !s.retryable():
			assert.LessOrEqual(w.t, runs, 1, "%s %s is not retryable and ran more than once", s.id, s.path)
		}
		if s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests {
			if !assert.Zero(w.t, runs, "%s %s was refused but ran", s.id, s.path) {
				w.t.Log(s.body)
			}
		}
		if s.status == http.StatusOK {
			w.checkAnswer(s)
		}
		w.checkStop(s)
		if s.at.After(recovered) {
			late++
			if s.passedOn() {
				served++
			}
		}
	}
	for _, n := range w.nodes {
		assert.Empty(w.t, n.ownEnds(), "a gateway ended by itself")
	}
	w.checkKeys(c)
	w.checkLeaving(c)
	w.checkCrashes()
	w.checkOverloadReports(c)
	assert.Greater(w.t, len(c.all), 50, "too few requests were sent")
	assert.GreaterOrEqual(w.t, float64(served), 0.7*float64(late), "too few requests were served after the faults ended")
	w.t.Logf("%d requests, %d of %d served after the faults", len(c.all), served, late)
}

// checkAnswer checks that a response body is the expected one or, if the response
// broke off, a prefix of it.
func (w *world) checkAnswer(s exchange) {
	if want := s.want(); s.whole && s.body != want || !strings.HasPrefix(want, s.body) {
		at := 0
		for at < min(len(want), len(s.body)) && want[at] == s.body[at] {
			at++
		}
		assert.Fail(w.t, "not the expected body, or a prefix of it", "%s %s: whole %t, %d bytes, %d expected, the same up to %d, then %.60q", s.id, s.path, s.whole, len(s.body), len(want), at, s.body[at:])
	}
}

// checkStop checks that a planned stop of a gateway cut off no request that had
// started to run. It checks nothing if unplanned faults were injected too.
func (w *world) checkStop(s exchange) {
	_, stop := s.node.state()
	if s.stop.IsZero() && stop.IsZero() || len(w.unplanned) > 0 {
		return
	}
	if s.status == 0 && w.runs(s.id) > 0 {
		assert.Fail(w.t, "a planned stop cut off a request", "%s %s sent %s", s.id, s.path, s.at)
	}
}

// runs returns how often a request ran, over all endpoints.
func (w *world) runs(id string) int {
	n := 0
	for _, e := range w.backends.all {
		n += e.Ran(id)
	}
	return n
}

// checkKeys checks that no request ran with a key revoked more than revokeBound
// before the request was sent, whether or not the gateway could reach the store.
func (w *world) checkKeys(c *callers) {
	for _, s := range c.all {
		revoked, ok := w.backends.revoked[s.key]
		if ok && s.at.After(revoked.Add(revokeBound)) {
			assert.Zero(w.t, w.runs(s.id), "%s ran with a key revoked %s before", s.id, s.at.Sub(revoked))
		}
	}
}

// checkLeaving checks that an endpoint gets no new requests while it is leaving, for as long as it keeps
// serving. It ignores requests sent to a gateway while that gateway may have missed updates.
func (w *world) checkLeaving(c *callers) {
	byID := make(map[string]exchange, len(c.all))
	for _, s := range c.all {
		byID[s.id] = s
	}
	checked := 0
	for e, left := range w.backends.left {
		for _, a := range arrivals(e, left.Add(leaveBound), time.Now(), byID) {
			if w.disconnected(a.node, a.at) {
				continue
			}
			assert.Fail(w.t, "a leaving endpoint got a new request", "%s got %s from %s %s after it announced its departure", e.ID, a.id, a.node.name, a.arrived.Sub(left))
		}
		for _, s := range c.all {
			if s.at.After(left.Add(leaveBound)) && !w.disconnected(s.node, s.at) {
				checked++
			}
		}
	}
	w.t.Logf("%d endpoints left; %d pairs of a request and an endpoint that must not get it", len(w.backends.left), checked)
}

// checkCrashes checks that the poison request or part crashed at most three endpoints after
// the gateways had time to learn of the first crashes.
func (w *world) checkCrashes() {
	late := 0
	for i, at := range w.backends.crashes {
		if i >= w.knownFrom && at.Sub(w.backends.crashes[w.knownFrom-1]) > reconnectBound {
			late++
		}
	}
	assert.LessOrEqual(w.t, late, 3, "late crashes, out of %d", len(w.backends.crashes))
	if len(w.backends.crashes) > 0 {
		w.t.Logf("%d endpoints crashed while running the poison request, %d of them late", len(w.backends.crashes), late)
	}
}

// disconnected reports whether a gateway may have missed recent updates because it, or its
// link to the store, was faulty.
func (w *world) disconnected(n *node, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, fault := range w.gatewayFaults[n] {
		if at.After(fault.from) && at.Before(fault.until.Add(reconnectBound)) {
			return true
		}
	}
	return false
}
