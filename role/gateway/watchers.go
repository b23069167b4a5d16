package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/grademill/grademill/state/suspects"
)

// watchers are the watchdogs of the streams that pass through an endpoint. The
// zero watchers is empty.
type watchers struct {
	mu  sync.Mutex
	set map[*watchdog]struct{}
}

// add and remove change the set.
func (s *watchers) add(w *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set == nil {
		s.set = make(map[*watchdog]struct{})
	}
	s.set[w] = struct{}{}
}

func (s *watchers) remove(w *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.set, w)
}

// kick has all of them look soon.
func (s *watchers) kick() {
	for _, w := range s.list() {
		w.kick()
	}
}

// begun returns the requests that an endpoint had lately begun to run at now.
func (s *watchers) begun(endpoint string, now time.Time) []suspects.Begun {
	var list []suspects.Begun
	for _, w := range s.list() {
		if w.begins(now) {
			list = append(list, suspects.Begun{Print: w.relay.q.print, Tried: w.tries(endpoint)})
		}
	}
	return list
}

// list returns the watchdogs of the moment.
func (s *watchers) list() []*watchdog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.set))
}
