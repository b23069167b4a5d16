// Package backoff spaces out tries against something that keeps failing.
package backoff

import "time"

// Backoff is an exponential wait with jitter. The zero value never waits.
type Backoff struct {
	// Base is the wait after the first failure, before jitter.
	Base time.Duration
	// Max bounds the wait.
	Max time.Duration
}

// Delay returns the wait after so many failures in a row, none for no failure.
// The jitter, in [0, 1), takes up to half of the wait away, so that processes
// that failed together do not try again together.
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
