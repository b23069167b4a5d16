// Package comeback decides when refused callers are told to come back.
package comeback

import "time"

// The figures of coming back.
const (
	// soonest is the least time away: streams last for seconds, so that room found
	// taken is still taken a moment later.
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

// Wait returns how long a caller that is refused at now is to stay away, at most most,
// while admitted requests a second are taken in. Once the times reach most they begin
// anew.
func (b *Book) Wait(now time.Time, admitted float64, most time.Duration) time.Duration {
	first := now.Add(min(soonest, most))
	next := b.last.Add(time.Duration(float64(time.Second) / max(share*admitted, leastRate)))
	if next.Before(first) || next.Sub(now) > most {
		next = first
	}
	b.last = next
	return next.Sub(now)
}
