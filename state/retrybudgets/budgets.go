// Package retrybudgets limits the retries of this process by service, to its share of the
// retry budgets of the whole fleet.
package retrybudgets

import (
	"sync"
	"time"

	"github.com/grademill/grademill/decide/recentmax"
)

// usableFraction is the fraction of the budgets that processes use. The remainder covers
// changes in the number of processes.
const usableFraction = 0.85

// Budgets holds the retry budgets of services. The retries of all processes stay within those of
// the fleet although processes end and start at any time: the share of each in first attempts is
// that of its own, the reserve is divided among all that may still use a part of it, and a process
// that starts uses nothing while what its predecessor used may still count. Set the exported fields
// before the first use, and call Tick regularly. It is safe for concurrent use.
type Budgets struct {
	// All processes together may retry, within Window, the fraction Share of a service's
	// first attempts and Reserve more requests.
	Share   float64
	Reserve int
	Window  time.Duration
	// Size returns the number of processes, among which the reserve is divided evenly; 0 while it is
	// unknown, and none of the reserve may be used.
	Size func() int
	// Overlap is how long a process may go on once the others no longer count it.
	Overlap time.Duration
	// Start is when this process started. A former one in its place may have used its whole part just
	// before, and may still be stopping, so that it uses nothing until Window later and none of the
	// reserve for Overlap more. It is zero if there was no former one.
	Start time.Time

	mu sync.Mutex // guards the fields below
	// services holds the budgets by service name.
	services map[string]*Budget
	// size is the largest number of processes whose parts of the reserve still count.
	size recentmax.Max[int]
	// knownAt is when the number of processes was last known.
	knownAt time.Time
	// returned is when it was known again after so long a time that the others may have divided the
	// reserve without this process, which has been suspended or cut off; zero if that was never so.
	returned time.Time
}

// Tick notes the number of processes at now.
func (b *Budgets) Tick(now time.Time) {
	b.ownReserve(now)
}

// CountFirstAttempt counts the first attempt of a request for a service at now.
func (b *Budgets) CountFirstAttempt(service string, now time.Time) {
	b.budgetOf(service).CountFirstAttempt(now)
}

// Take takes a retry from this process's share of a service's budget at now, and returns what the
// budget counts then. The charge is nil if the budget allows none.
func (b *Budgets) Take(service string, now time.Time) (*Charge, State) {
	s := b.ownReserve(now)
	budget := b.budgetOf(service)
	if !b.Start.IsZero() && now.Sub(b.Start) < b.Window {
		s.State = budget.state(now, 0)
		return nil, s
	}
	var charge *Charge
	charge, s.State = budget.take(now, s.Reserve)
	return charge, s
}

// State returns what this process's share of a service's budget counts at now.
func (b *Budgets) State(service string, now time.Time) State {
	s := b.ownReserve(now)
	s.State = b.budgetOf(service).state(now, s.Reserve)
	return s
}

// ownReserve returns a State that says how much of the reserve this process may use at now.
func (b *Budgets) ownReserve(now time.Time) State {
	size := b.Size()
	b.mu.Lock()
	defer b.mu.Unlock()
	if size <= 0 {
		return State{Limit: FleetUnknown}
	}
	counts := b.Window + b.Overlap // how long the retries of a process may count after it has left
	b.size.Window = counts
	size = b.size.Set(size, now)
	if !b.knownAt.IsZero() && now.Sub(b.knownAt) > counts {
		b.returned = now
	}
	b.knownAt = now
	switch {
	case !b.Start.IsZero() && now.Sub(b.Start) < counts:
		return State{Limit: RecentStart, Size: size}
	case !b.returned.IsZero() && now.Sub(b.returned) < counts:
		return State{Limit: RecentReturn, Size: size}
	}
	return State{Limit: UsedUp, Size: size, Reserve: int(float64(b.Reserve) * usableFraction / float64(size))}
}

// budgetOf returns the budget of a service.
func (b *Budgets) budgetOf(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.services[service]
	if budget == nil {
		if b.services == nil {
			b.services = make(map[string]*Budget)
		}
		budget = &Budget{Share: b.Share * usableFraction, Window: b.Window}
		b.services[service] = budget
	}
	return budget
}
