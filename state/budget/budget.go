// Package budget keeps the share of the free room of one endpoint that a gateway may take. Reads take
// no lock, because every search for a chain asks for it.
package budget

import (
	"sync/atomic"

	"github.com/grademill/grademill/decide/roomshare"
)

// Budget is a roomshare.Budget that is safe for concurrent use. The zero Budget allows everything.
type Budget struct {
	current atomic.Pointer[roomshare.Budget]
}

// Allows reports whether a request that needs this much may be placed.
func (b *Budget) Allows(need float64) bool {
	current := b.current.Load()
	return current == nil || current.Allows(need)
}

// Take counts a request that has been placed. Before the first round it does nothing, as do GiveBack,
// Release and Reject: gateways without shares of room would otherwise allocate for each endpoint of a chain.
func (b *Budget) Take(need float64) {
	if b.current.Load() != nil {
		b.update(func(c roomshare.Budget) roomshare.Budget { return c.WithRequest(need) })
	}
}

// GiveBack undoes a Take whose request is given up without being sent.
func (b *Budget) GiveBack(need float64) {
	if b.current.Load() != nil {
		b.update(func(c roomshare.Budget) roomshare.Budget { return c.WithoutRequest(need) })
	}
}

// Release counts a placed request that has ended.
func (b *Budget) Release(freed float64) {
	if b.current.Load() != nil {
		b.update(func(c roomshare.Budget) roomshare.Budget { return c.WithRelease(freed) })
	}
}

// Reject counts a request that the endpoint rejected for lack of room.
func (b *Budget) Reject() {
	if b.current.Load() != nil {
		b.update(roomshare.Budget.WithRejection)
	}
}

// Begin begins a round.
func (b *Budget) Begin(r roomshare.Round) {
	b.update(func(c roomshare.Budget) roomshare.Budget { return c.WithRound(r) })
}

// Lift ends the limit until the next Begin.
func (b *Budget) Lift() {
	b.current.Store(nil)
}

func (b *Budget) update(change func(roomshare.Budget) roomshare.Budget) {
	for {
		old := b.current.Load()
		var c roomshare.Budget
		if old != nil {
			c = *old
		}
		if next := change(c); b.current.CompareAndSwap(old, &next) {
			return
		}
	}
}
