package gateway

import "sync"

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
	s.mu.Lock()
	list := make([]*watchdog, 0, len(s.set))
	for w := range s.set {
		list = append(list, w)
	}
	s.mu.Unlock()
	for _, w := range list {
		w.kick()
	}
}
