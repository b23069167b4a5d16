// Package pause waits in a loop that must end with its context.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends. It does not wait for no time or less.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
