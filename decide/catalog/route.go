package catalog

import "time"

// Kind says what a request does to the service when it is repeated.
type Kind uint8

// The kinds of requests.
const (
	// Once may run once at most.
	Once Kind = iota
	// Repeatable may run more than once.
	Repeatable
	// Stream is answered by a series of events.
	Stream
)

// String returns the word of the logs.
func (k Kind) String() string {
	return [...]string{"once", "repeatable", "stream"}[k]
}

// Route says where the requests of one host and path prefix go, and how.
type Route struct {
	Name string
	// Host is the name that callers ask for, without a port.
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares are the services that take the requests, by weight; never empty.
	Shares []Share
	// Timeout is how long a request is held at most; 0 for no bound.
	Timeout time.Duration
	// Objective is how soon an answer, or its first event, is wanted.
	Objective time.Duration
	// MaxPause is the longest wanted pause between two events.
	MaxPause time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	// Attempts is the number of endpoints that may run one request; at least 1.
	Attempts int
	// Public needs no key.
	Public bool
	// Resumable answers may go on at another endpoint after the last event.
	Resumable bool
}

// Share is the weight of a service in a route.
type Share struct {
	Service string
	Weight  int
}

// Repeats reports whether a request of the route may run again, whole or from
// its last event.
func (r *Route) Repeats() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Service returns the service of a request, picked by weight. The pick is any
// number; the same number gives the same service.
func (r *Route) Service(pick uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	at := int(pick % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
