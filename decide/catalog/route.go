package catalog

import "time"

// Kind says whether a request may be repeated, and how it is answered.
type Kind uint8

// The kinds of requests.
const (
	// Once requests may run at most once.
	Once Kind = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Stream requests are answered by a stream of events.
	Stream
)

// String returns the name used in log lines.
func (k Kind) String() string {
	return [...]string{"once", "repeatable", "stream"}[k]
}

// Route describes where the requests of one host and path prefix go, and how they are treated.
type Route struct {
	Name string
	// Host is the host name of the requests, without a port.
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares are the services that receive the requests, by weight; never empty.
	Shares []Share
	// Timeout bounds the total time of a request; 0 means no bound.
	Timeout time.Duration
	// TargetLatency is the target time to the answer or to its first event.
	TargetLatency time.Duration
	// MaxPause is the target for the longest pause between two events.
	MaxPause time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Attempts is the largest number of endpoints that may run one request; at least 1.
	Attempts int
	// Public routes need no API key.
	Public bool
	// Resumable answers may continue at another endpoint after the last event.
	Resumable bool
}

// Share is the weight of a service in a route.
type Share struct {
	Service string
	Weight  int
}

// Repeats reports whether a request may run again, from the start or from its last event.
func (r *Route) Repeats() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// defaultCallerTimeout is how long a caller is assumed to wait when it does not say.
const defaultCallerTimeout = 30 * time.Second

// TimeLimit returns the smaller of a caller's time limit and the route's timeout, either of
// which may be missing.
func (r *Route) TimeLimit(callerTimeout time.Duration) time.Duration {
	if callerTimeout <= 0 {
		callerTimeout = defaultCallerTimeout
	}
	if r.Timeout <= 0 {
		return callerTimeout
	}
	return min(callerTimeout, r.Timeout)
}

// Service returns a service of the route, chosen by weight. The same pick always gives the same
// service.
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
