// Package plainload rates the load of the endpoints of a plain service, of which a request goes to the
// least loaded.
package plainload

import "time"

const (
	// loadFresh is how long the load that an endpoint reported counts.
	loadFresh = 500 * time.Millisecond
	// failingWeight is the weight of the failure rate relative to load.
	failingWeight = 8
	// otherHallWeight is the extra load, in requests, attributed to an endpoint in another data
	// hall.
	otherHallWeight = 0.3
)

// Load is what a gateway knows of the load of an endpoint.
type Load struct {
	// Active is the number of requests of all gateways there.
	Active int64
	// Waiting is the number of queued requests that it last reported, ReportAge how long ago that
	// was.
	Waiting   int64
	ReportAge time.Duration
	// OtherHall is set if it is in another data hall than the gateway.
	OtherHall bool
	// FailureRate is the share of its recent requests that failed, from 0 to 1.
	FailureRate float64
}

// Score returns the load score of the endpoint; less is better.
func (l Load) Score() float64 {
	score := float64(l.Active)
	if l.ReportAge < loadFresh {
		score += float64(l.Waiting)
	}
	if l.OtherHall {
		score += otherHallWeight
	}
	return (score + 1) * (1 + failingWeight*l.FailureRate)
}
