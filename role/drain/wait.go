// Package drain waits for a process that is leaving to become empty.
package drain

import (
	"context"
	"time"
)

// poll is how often Wait looks whether the process is empty.
const poll = 20 * time.Millisecond

// Wait returns once inFlight is 0, when the limit is over, or when ctx ends.
func Wait(ctx context.Context, limit time.Duration, inFlight func() int) {
	over := time.NewTimer(limit)
	defer over.Stop()
	ticker := time.NewTicker(poll)
	defer ticker.Stop()
	for inFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-over.C:
			return
		case <-ticker.C:
		}
	}
}
