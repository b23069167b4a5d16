// Package drain waits until a stopping process has no requests in flight.
package drain

import (
	"context"
	"time"
)

// pollInterval is the time between two checks of inFlight.
const pollInterval = 20 * time.Millisecond

// Wait returns when inFlight returns 0, when limit has passed, or when ctx ends.
func Wait(ctx context.Context, limit time.Duration, inFlight func() int) {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for inFlight() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-timeout.C:
			return
		case <-ticker.C:
		}
	}
}
