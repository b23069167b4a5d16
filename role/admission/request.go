package admission

import "time"

// Request describes a request to the queue.
type Request struct {
	Service, Team string
	// Priority is higher for more urgent requests, 0 for the least urgent ones. The priority of a
	// route or team counts the other way.
	Priority int
	// RouteTimeout is the timeout of the route. CallerTimeout is the timeout that the caller has
	// set, 0 for none.
	RouteTimeout, CallerTimeout time.Duration
	// Objective is the target for the time to the first event.
	Objective time.Duration
	// Start is when the request arrived. After Deadline its answer is of no use to the caller.
	Start, Deadline time.Time
	// Retried is set for a retry, as reported by [Queue.Arrive]. Begun is set once an endpoint may
	// have received the request.
	Retried, Begun bool
}

// share returns the caller's timeout as a share of the route's, 1 if the caller has set none.
func (r Request) share() float64 {
	if r.CallerTimeout <= 0 || r.RouteTimeout <= 0 {
		return 1
	}
	return min(float64(r.CallerTimeout)/float64(r.RouteTimeout), 1)
}
