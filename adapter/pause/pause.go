// Package pause provides a sleep that ends early when a context ends, for use in loops, and a timer
// that repeats a call until it succeeds.
package pause

import (
	"context"
	"sync"
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

// Repeat calls try in the background, first after wait and then at intervals, until try returns true
// or stop is called. A call of stop waits for the running call of try; none follows it.
func Repeat(wait, interval time.Duration, try func() bool) (stop func()) {
	var mu sync.Mutex // guards the variables below
	stopped := false
	var timer *time.Timer
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(wait, func() {
		mu.Lock()
		defer mu.Unlock()
		if !stopped && !try() {
			timer.Reset(interval)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}
