package soak_test

import (
	"net/http"
	"strings"
	"time"

	"github.com/stretchr/testify/assert"
)

// The bounds of the promises, with the slack that the machine needs.
const (
	// revokeBound is how long after it was taken away a key may still work.
	revokeBound = 5 * time.Second
	// leaveBound is how long after an endpoint said that it leaves it may still
	// get work from a gateway that is in touch with the store.
	leaveBound = 2500 * time.Millisecond
	// touch is how long after a fault a gateway counts as out of touch.
	touch = 5 * time.Second
	// handOver is how long after the signal to stop a request may be taken and
	// must still end.
	handOver = 3 * time.Second
)

// check compares what callers were told with what ran.
func (w *world) check(c *callers, mended time.Time) {
	assert.Empty(w.t, w.backs.site.Faults(), "each layer once and in order")
	served, late := 0, 0
	for _, s := range c.all {
		runs := w.runs(s.id)
		switch {
		case !s.repeats():
			assert.LessOrEqual(w.t, runs, 1, "%s %s ran more than once", s.id, s.path)
		}
		if s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests {
			if !assert.Zero(w.t, runs, "%s %s was refused as not run", s.id, s.path) {
				w.t.Log(s.body)
			}
		}
		if s.status == http.StatusOK {
			w.checkAnswer(s)
		}
		w.checkStop(s)
		if s.at.After(mended) {
			late++
			if s.passedOn() {
				served++
			}
		}
	}
	w.checkKeys(c)
	w.checkLeaving(c)
	w.checkEndings()
	w.checkWords(c)
	assert.Greater(w.t, len(c.all), 50, "requests were sent")
	assert.GreaterOrEqual(w.t, float64(served), 0.7*float64(late), "served again after all is mended")
	w.t.Logf("%d requests, %d of %d served after the faults", len(c.all), served, late)
}

// checkAnswer checks that an answer is the right one, or visibly cut.
func (w *world) checkAnswer(s sent) {
	if s.whole {
		assert.Equal(w.t, s.want(), s.body, "%s %s", s.id, s.path)
		return
	}
	assert.True(w.t, strings.HasPrefix(s.want(), s.body), "%s %s: other bytes than its own: %q", s.id, s.path, s.body)
}

// checkStop checks that a planned stop cut nothing, when it was the only thing
// that happened.
func (w *world) checkStop(s sent) {
	_, stop := s.node.state()
	if s.stop.IsZero() && stop.IsZero() || len(w.unplanned) > 0 {
		return
	}
	if s.status == 0 && w.runs(s.id) > 0 {
		assert.Fail(w.t, "a planned stop cut a request", "%s %s sent %s", s.id, s.path, s.at)
	}
}

// runs returns how often a request ran.
func (w *world) runs(id string) int {
	n := 0
	for _, e := range w.backs.all {
		n += e.Ran(id)
	}
	return n
}

// checkKeys checks that no request ran with a key that was taken away long before
// it was sent, in touch or not.
func (w *world) checkKeys(c *callers) {
	for _, s := range c.all {
		revoked, ok := w.backs.revoked[s.key]
		if ok && s.at.After(revoked.Add(revokeBound)) {
			assert.Zero(w.t, w.runs(s.id), "%s ran with a key taken away %s before", s.id, s.at.Sub(revoked))
		}
	}
}

// checkLeaving checks that endpoints that leave get no new work, however long they go on serving, from
// gateways that were in touch when they got the request.
func (w *world) checkLeaving(c *callers) {
	byID := make(map[string]sent, len(c.all))
	for _, s := range c.all {
		byID[s.id] = s
	}
	checked := 0
	for e, left := range w.backs.left {
		for _, a := range arrivals(e, left.Add(leaveBound), time.Now(), byID) {
			if w.outOfTouch(a.node, a.at) {
				continue
			}
			assert.Fail(w.t, "a leaving endpoint got work", "%s got %s from %s %s after it left", e.ID, a.id, a.node.name, a.arrived.Sub(left))
		}
		for _, s := range c.all {
			if s.at.After(left.Add(leaveBound)) && !w.outOfTouch(s.node, s.at) {
				checked++
			}
		}
	}
	w.t.Logf("%d endpoints left, and %d times a request was sent that one of them must not get", len(w.backs.left), checked)
}

// checkEndings checks that a request reached no more than three endpoints later than the gateways
// had to hear that it had ended three.
func (w *world) checkEndings() {
	late := 0
	for i, at := range w.backs.endings {
		if i >= 3 && at.Sub(w.backs.endings[2]) > touch {
			late++
		}
	}
	assert.LessOrEqual(w.t, late, 3, "ended late, of %d endpoints", len(w.backs.endings))
	if len(w.backs.endings) > 0 {
		w.t.Logf("%d endpoints ended under a request, %d of them late", len(w.backs.endings), late)
	}
}

// outOfTouch reports whether a gateway may have heard of nothing lately: it, or its way to the store, was
// harmed.
func (w *world) outOfTouch(n *node, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, harmed := range w.harms[n] {
		if at.After(harmed.from) && at.Before(harmed.until.Add(touch)) {
			return true
		}
	}
	return false
}
