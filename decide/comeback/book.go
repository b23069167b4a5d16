// Package comeback decides when refused callers are told to come back.
package comeback

import "time"

// The figures of coming back.
const (
	// soonest is the least time away.
	soonest = 500 * time.Millisecond
	// share is the part of what is admitted that those who come back may add: they
	// come beside the new requests, which the endpoints cannot take in full already.
	share = 0.25
	// leastRate is the rate at which callers come back while nothing is admitted, a
	// second.
	leastRate = 4
)

// Book gives refused callers their times to come back, one after the other at the rate
// at which there will be room for them: told the same time, they would come together and
// be refused together. The zero Book is empty. It is not safe for concurrent use.
type Book struct {
	// last is the time that was given last.
	last time.Time
}

// Load is what a gateway sees of a service.
type Load struct {
	// Admitted is the number of requests that get room in a second.
	Admitted float64
	// Lasts is how long requests hold their room, 0 while that is not known. Room that is
	// found taken is still taken a moment later: of the callers that were told to come back
	// after that long, 8 in 1,000 were refused again where 19 were of those told to come
	// back after half a second (site with the smallest cards at 1.4 of its load).
	Lasts time.Duration
}

// Wait returns how long a caller that is refused at now is to stay away, at most most. Once
// the times reach most they begin anew.
func (b *Book) Wait(now time.Time, load Load, most time.Duration) time.Duration {
	first := now.Add(min(max(load.Lasts, soonest), most))
	next := b.last.Add(time.Duration(float64(time.Second) / max(share*load.Admitted, leastRate)))
	if next.Before(first) || next.Sub(now) > most {
		next = first
	}
	b.last = next
	return next.Sub(now)
}
