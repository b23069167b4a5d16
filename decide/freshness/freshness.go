// Package freshness decides by the age of a proof that the configuration is
// current what a gateway may do, and how often it has to prove it anew.
package freshness

import "time"

// The figures of the users' platform.
const (
	// deafness is how long a watch of the store may have missed changes without
	// its knowing.
	deafness = time.Second
	// margin is the time between the check of a proof and the moment at which an
	// endpoint gets the request.
	margin = 300 * time.Millisecond
	// readyShare is the part of the bound of revocation up to which a gateway is
	// ready: callers are led elsewhere before requests have to be refused.
	readyShare = 0.6
	// longestWait and shortestWait bound a question for changes: what is longer
	// saves nothing, and what is shorter asks more often than the store answers.
	longestWait  = 1100 * time.Millisecond
	shortestWait = 200 * time.Millisecond
)

// Policy is what the age of a proof allows. The zero Policy has no bound.
type Policy struct {
	// Revocation is how soon a key that was taken away must not work anywhere, 0
	// for no bound.
	Revocation time.Duration
}

// Serves reports whether requests with a key may be served on a proof of an age.
func (p Policy) Serves(age time.Duration) bool {
	return p.Revocation == 0 || age < p.serves()
}

// Ready reports whether a gateway counts as ready on a proof of an age.
func (p Policy) Ready(age time.Duration) bool {
	return p.Revocation == 0 || age < p.ready()
}

// Wait returns how long a question for changes may wait. While one waits, the
// newest proof is that of the question before it, so that a proof gets as old as
// two of them.
func (p Policy) Wait() time.Duration {
	if p.Revocation == 0 {
		return longestWait
	}
	oldest := min(p.serves(), p.ready()) - margin
	return min(max(oldest/2, shortestWait), longestWait)
}

// LateIn returns how long it takes until a proof of an age is late, though calls of the
// store do not fail.
func (p Policy) LateIn(age time.Duration) time.Duration {
	return 2*p.Wait() + margin - age
}

// Late reports whether a proof of an age is older than in calm times, when each
// question for changes is answered as soon as it has waited. While calls of the
// store fail it counts as late a whole question earlier.
func (p Policy) Late(age time.Duration, failing bool) bool {
	if failing {
		age += p.Wait()
	}
	return p.LateIn(age) < 0
}

func (p Policy) serves() time.Duration {
	return p.Revocation - deafness - margin
}

func (p Policy) ready() time.Duration {
	return time.Duration(readyShare * float64(p.Revocation))
}
