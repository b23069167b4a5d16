package gateway

import (
	"time"

	"github.com/grademill/grademill/state/set"
	"github.com/grademill/grademill/state/suspects"
)

// watchers are the watchdogs of the streams that pass through an endpoint.
type watchers struct{ set.Set[*watchdog] }

// checkSoon has all watchdogs check soon.
func (s *watchers) checkSoon() {
	for _, w := range s.Values() {
		w.checkSoon()
	}
}

// begun returns the causes of the requests that an endpoint had recently started at now.
func (s *watchers) begun(now time.Time) []suspects.Begun {
	var list []suspects.Begun
	for _, w := range s.Values() {
		if w.justStarted(now) {
			list = append(list, w.relay.q.guard.Begun(w.age(now))...)
		}
	}
	return suspects.Unique(list)
}
