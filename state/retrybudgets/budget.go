package retrybudgets

import (
	"sync"
	"time"

	"github.com/grademill/grademill/decide/retry"
)

// Budget is a retry.Budget whose retries are charges of requests. Set the exported fields before
// the first use. It is safe for concurrent use.
type Budget struct {
	// Share, Reserve and Window are those of retry.Budget.
	Share   float64
	Reserve int
	Window  time.Duration

	mu     sync.Mutex // guards budget
	budget retry.Budget
}

// CountFirstAttempt counts a first attempt at now.
func (b *Budget) CountFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withReserve(b.Reserve).CountFirstAttempt(now)
}

// Take takes a retry at now. It returns nil if the budget allows none.
func (b *Budget) Take(now time.Time) *Charge {
	charge, _ := b.take(now, b.Reserve)
	return charge
}

// take takes a retry at now, with a reserve in place of Reserve, and returns what the budget counts
// then.
func (b *Budget) take(now time.Time, reserve int) (*Charge, retry.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.withReserve(reserve)
	var charge *Charge
	if budget.Allow(now) {
		charge = &Charge{budget: b}
	}
	return charge, budget.State(now)
}

// state returns what the budget counts at now, with a reserve in place of Reserve.
func (b *Budget) state(now time.Time, reserve int) retry.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.withReserve(reserve).State(now)
}

// withReserve returns the budget with the exported fields applied and a reserve. The caller holds
// b.mu.
func (b *Budget) withReserve(reserve int) *retry.Budget {
	b.budget.Share, b.budget.Window, b.budget.Reserve = b.Share, b.Window, reserve
	return &b.budget
}
