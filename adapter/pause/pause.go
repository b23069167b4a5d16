// Package pause provides a sleep that ends early when a context ends, for use in loops.
package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx ends. It returns at once if d is not positive.
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
