// Package budgets keeps this process's part of what a fleet may send again, by service.
package budgets

import (
	"sync"
	"time"

	"github.com/grademill/grademill/decide/retry"
)

// margin is the part of the allowance that is used: processes come and go.
const margin = 0.85

// Budgets are the retry budgets of services. Set the exported fields before the first use. They are safe
// for concurrent use.
type Budgets struct {
	// Share, Reserve and Window bound what all processes together send again to a service.
	Share   float64
	Reserve int
	Window  time.Duration
	// Size returns the number of processes, which divide the reserve evenly.
	Size func() int

	mu sync.Mutex // guards what follows
	// services are by name.
	services map[string]*retry.Budget
}

// First counts a request for a service at now.
func (b *Budgets) First(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).First(now)
}

// Allow takes one retry of a service out of this process's part at now, and reports whether there was
// one.
func (b *Budgets) Allow(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Allow(now)
}

// Return gives a retry back that was allowed and not used.
func (b *Budgets) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).Return()
}

// of returns the budget of a service; b.mu is held.
func (b *Budgets) of(service string) *retry.Budget {
	one := b.services[service]
	if one == nil {
		if b.services == nil {
			b.services = make(map[string]*retry.Budget)
		}
		one = &retry.Budget{Share: b.Share * margin, Window: b.Window}
		b.services[service] = one
	}
	one.Reserve = int(float64(b.Reserve) * margin / float64(b.Size()))
	return one
}
