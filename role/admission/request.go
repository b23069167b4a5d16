package admission

import "time"

// Request is a request of a service as the line sees it.
type Request struct {
	Service, Team string
	// Priority is from 0, the least urgent.
	Priority int
	// Route is the time that the route gives, and Patience what the caller does, 0 when it
	// does not say.
	Route, Patience time.Duration
	// Objective is how soon the first event is wanted.
	Objective time.Duration
	// Start is when the request came, Deadline until when an answer is of use.
	Start, Deadline time.Time
	// Returned is set when its caller has come back, as Arrive found; Begun once an
	// endpoint may have had it.
	Returned, Begun bool
}

// share returns the part of the route's time that the caller gives, 1 when it does not say.
func (r Request) share() float64 {
	if r.Patience <= 0 || r.Route <= 0 {
		return 1
	}
	return min(float64(r.Patience)/float64(r.Route), 1)
}
