// Package freshness decides what a gateway may do, given the age of its freshness proof, and how
// often it must renew the proof. A freshness proof shows that the gateway's configuration was
// current at a point in time.
package freshness

import "time"

// Parameters for the store and the load balancers.
const (
	// maxWatchLag is how long a watch of the store may miss changes undetected.
	maxWatchLag = time.Second
	// sendMargin allows for the time from the check of a proof until the request arrives at an
	// endpoint.
	sendMargin = 300 * time.Millisecond
	// readyShare is the fraction of the revocation bound up to which a gateway is ready, so that
	// load balancers redirect callers before the gateway has to refuse requests.
	readyShare = 0.6
	// maxWait and minWait bound the duration of a watch request: a longer one saves nothing, a
	// shorter one queries the store more often than it answers.
	maxWait = 1100 * time.Millisecond
	minWait = 200 * time.Millisecond
)

// Policy decides by the age of a freshness proof. The zero Policy has no bound.
type Policy struct {
	// Revocation is the time within which a revoked key must stop working everywhere, 0 for no
	// bound.
	Revocation time.Duration
}

// MayServe reports whether requests with a key may be served with a proof of the given age.
func (p Policy) MayServe(age time.Duration) bool {
	return p.Revocation == 0 || age < p.maxServingAge()
}

// Ready reports whether a gateway is ready with a proof of the given age.
func (p Policy) Ready(age time.Duration) bool {
	return p.Revocation == 0 || age < p.maxReadyAge()
}

// WatchTimeout returns the duration of a watch request. While one is pending, the latest proof
// dates from the start of the request before it, so a proof becomes as old as two requests last.
func (p Policy) WatchTimeout() time.Duration {
	if p.Revocation == 0 {
		return maxWait
	}
	oldest := min(p.maxServingAge(), p.maxReadyAge()) - sendMargin
	return min(max(oldest/2, minWait), maxWait)
}

// TimeUntilLate returns the time until a proof of the given age is late, if calls to the store
// succeed.
func (p Policy) TimeUntilLate(age time.Duration) time.Duration {
	return 2*p.WatchTimeout() + sendMargin - age
}

// Late reports whether a proof is older than in normal operation, in which the store answers each
// watch request as soon as its wait ends. While calls to the store fail, a proof is late one wait
// earlier.
func (p Policy) Late(age time.Duration, failing bool) bool {
	if failing {
		age += p.WatchTimeout()
	}
	return p.TimeUntilLate(age) < 0
}

func (p Policy) maxServingAge() time.Duration {
	return p.Revocation - maxWatchLag - sendMargin
}

func (p Policy) maxReadyAge() time.Duration {
	return time.Duration(readyShare * float64(p.Revocation))
}
