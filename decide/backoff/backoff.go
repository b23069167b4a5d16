// Package backoff computes delays between attempts at an operation that keeps failing.
package backoff

import "time"

// Backoff is an exponential backoff with jitter. The zero Backoff has no delay.
type Backoff struct {
	// Base is the delay after the first failure, before jitter.
	Base time.Duration
	// Max is the maximum delay.
	Max time.Duration
}

// Delay returns the delay after a number of consecutive failures, 0 for no failure. The jitter, in
// [0, 1), shortens the delay by up to half, so that processes that failed at the same time do not
// retry at the same time.
func (b Backoff) Delay(failures int, jitter float64) time.Duration {
	if failures <= 0 {
		return 0
	}
	wait := b.Base
	for i := 1; i < failures && wait < b.Max; i++ {
		wait *= 2
	}
	wait = min(wait, b.Max)
	return wait - time.Duration(jitter*float64(wait)/2)
}
