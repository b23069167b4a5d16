// Package sends records the endpoints to which a request has been sent.
package sends

import (
	"slices"
	"sync"
	"time"
)

// Sends are the sends of one request to endpoints of type E. The zero Sends has none. It is safe for
// concurrent use.
type Sends[E comparable] struct {
	mu sync.Mutex // guards the fields below
	// ran has an entry for each send whose endpoint may have run the request.
	ran []E
	// count is the number of all sends, last the endpoint of the latest one, and at when that was.
	count int
	last  E
	at    time.Time
}

// Add records that the request is sent to an endpoint at a time: from now on that may run it.
func (s *Sends[E]) Add(endpoint E, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran = append(s.ran, endpoint)
	s.count++
	s.last, s.at = endpoint, at
}

// NotRun records that an endpoint to which the request was sent has not run it, and will not.
func (s *Sends[E]) NotRun(endpoint E) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.ran, endpoint); i >= 0 {
		s.ran = slices.Delete(s.ran, i, i+1)
	}
}

// Count returns the number of sends.
func (s *Sends[E]) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// Last returns the endpoint of the latest send, and when that was: the zero values if there is none.
func (s *Sends[E]) Last() (endpoint E, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last, s.at
}

// Ran returns the endpoints that run the request or may have run it, one entry for each send.
func (s *Sends[E]) Ran() []E {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ran)
}
