package budget_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/roomshare"
	"github.com/grademill/grademill/state/budget"
)

// Guards against an endpoint that gets nothing until its first round, and against requests placed
// after the beginning of a round that are not charged. The free memory of the first round accounts for
// those placed before it.
func TestZeroBudgetAllowsEverything(t *testing.T) {
	var b budget.Budget
	require.True(t, b.Allows(1e12))
	b.Take(10)
	require.True(t, b.Allows(1e12))
	b.Begin(roomshare.Round{Free: 50 / roomshare.FillShare, Share: 0.5, Typical: 10}) // adds 25
	require.True(t, b.Allows(1e12), "a large request needs the credit of a typical one")
	b.Take(10)
	require.True(t, b.Allows(10), "25 less the 10 that were taken")
	b.Take(10)
	require.False(t, b.Allows(10), "25 less the 20 that were taken")
}

// Guards against changes that are lost when several requests change a budget at once: a lost charge
// admits more than the share, a lost release leaves room unused. Run with -race.
func TestConcurrentChangesAreAllCounted(t *testing.T) {
	const workers, requests = 8, 500
	round := roomshare.Round{Free: 1000, Share: 1, Typical: 1, Turnover: 1}
	var b, want budget.Budget
	b.Begin(round)
	want.Begin(round)
	for range workers * requests {
		want.Take(0.25)
		want.Release(0.125)
	}
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for range requests {
				b.Allows(1)
				b.Take(0.25)
				b.Release(0.125)
			}
		})
	}
	group.Wait()
	// Each request costs 0.25 and returns 0.97 of 0.125, so the credit is 500 less 4000 times 0.12875.
	for _, credit := range []float64{1, 1e-3, 0} {
		require.Equal(t, want.Allows(credit), b.Allows(credit))
	}
	paid := func(b *budget.Budget) int { // releases until a request is allowed again
		n := 0
		for ; !b.Allows(1); n++ {
			b.Release(0.125)
		}
		return n
	}
	require.InDelta(t, paid(&want), paid(&b), 1, "the debt of both is equal, except for rounding")
}

// Guards against a rejection that is overwritten by a concurrent request: the endpoint would go on
// getting requests that it has no room for.
func TestRejectionStopsConcurrentRequests(t *testing.T) {
	var b budget.Budget
	b.Begin(roomshare.Round{Free: 1000, Share: 0.2, Typical: 1, Turnover: 0.05})
	require.True(t, b.Allows(1))
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 100 {
				b.Take(0.5)
				b.Reject()
			}
		})
	}
	group.Wait()
	b.Begin(roomshare.Round{Free: 1000, Share: 0.2, Typical: 1, Turnover: 0.05})
	require.False(t, b.Allows(1), "the free room that the reports show is in use")
}
