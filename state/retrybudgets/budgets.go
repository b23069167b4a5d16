// Package retrybudgets limits the retries of this process by service, to its share of the
// retry budgets of the whole fleet.
package retrybudgets

import (
	"sync"
	"time"

	"github.com/grademill/grademill/decide/retry"
)

// usableFraction is the fraction of the budgets that processes use. The remainder covers
// changes in the number of processes.
const usableFraction = 0.85

// Budgets holds the retry budgets of services. Set the exported fields before the first
// use. It is safe for concurrent use.
type Budgets struct {
	// All processes together may retry, within Window, the fraction Share of a service's
	// first attempts and Reserve more requests.
	Share   float64
	Reserve int
	Window  time.Duration
	// Size returns the number of processes, among which the reserve is divided evenly.
	Size func() int

	mu sync.Mutex // guards services
	// services holds the budgets by service name.
	services map[string]*retry.Budget
}

// CountFirstAttempt counts the first attempt of a request for a service at now.
func (b *Budgets) CountFirstAttempt(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service).CountFirstAttempt(now)
}

// Allow takes one retry from this process's share of a service's budget at now, and
// reports whether there was one.
func (b *Budgets) Allow(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetOf(service).Allow(now)
}

// Refund gives back a retry that was allowed but not used.
func (b *Budgets) Refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service).Refund()
}

// budgetOf returns the budget of a service, with the reserve for the present number of
// processes. The caller holds b.mu.
func (b *Budgets) budgetOf(service string) *retry.Budget {
	budget := b.services[service]
	if budget == nil {
		if b.services == nil {
			b.services = make(map[string]*retry.Budget)
		}
		budget = &retry.Budget{Share: b.Share * usableFraction, Window: b.Window}
		b.services[service] = budget
	}
	budget.Reserve = int(float64(b.Reserve) * usableFraction / float64(b.Size()))
	return budget
}
