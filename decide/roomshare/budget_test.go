package roomshare_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/roomshare"
)

const (
	second = 67 // ticks
	// maxRejected is the requirement at 2.4 times the load; minUsed keeps the memory busy.
	maxRejected = 0.02
	minUsed     = 0.9
)

// Load: 1.5 times the capacity of the least loaded hall or more. Guards against gateways that all
// take the same free memory by late reports, and against memory left idle between two rounds.
func TestEndpointsAreFullAndRejectFew(t *testing.T) {
	for _, c := range []struct {
		gateways, halls int
		requests        float64 // that an endpoint holds
	}{{3, 3, 200}, {11, 3, 200}, {30, 3, 200}, {68, 3, 200}, {430, 10, 600}} {
		t.Run(fmt.Sprint(c.gateways), func(t *testing.T) {
			var rejected, used [budgeted + 1]float64
			t.Parallel()
			rules := []rule{unlimited, budgeted}
			if c.gateways == 68 {
				rules = append(rules, withoutReuse)
			}
			var done sync.WaitGroup
			for _, r := range rules {
				done.Go(func() {
					f := newFleet(c.gateways, c.halls, c.requests, r)
					f.run(warmUpTicks)
					rejected[r], used[r] = f.run(spanTicks)
					t.Logf("%v: rejected %.4f of arrivals, %.4f of requests, used %.3f", r, rejected[r], f.rejectedRequests(), used[r])
				})
			}
			done.Wait()
			require.Less(t, rejected[budgeted], maxRejected)
			require.GreaterOrEqual(t, used[budgeted], minUsed)
			require.Greater(t, rejected[unlimited], 5*maxRejected, "the load must make gateways race")
			if c.gateways == 68 {
				require.Less(t, used[withoutReuse], minUsed, "rounds are too long without WithRelease")
			}
		})
	}
}

// Guards against shares that depend on every digest arriving: 5 in 100 are lost.
func TestLostDigests(t *testing.T) {
	f := newFleet(30, 3, 200, budgeted)
	f.lost = 0.05
	f.run(warmUpTicks)
	rejected, used := f.run(spanTicks)
	t.Logf("rejected %.4f used %.3f", rejected, used)
	require.Less(t, rejected, maxRejected)
	require.GreaterOrEqual(t, used, minUsed)
}

// Guards against a gateway that takes all memory because it knows of no other gateway's use, and
// against the others taking the memory that it holds, which they no longer see.
func TestPartitionedGatewayKeepsWithinItsShare(t *testing.T) {
	f := newFleet(11, 3, 200, withoutLearning)
	f.run(warmUpTicks)
	f.all[1].cut = true
	rejected, _ := f.run(5 * second)
	require.Greater(t, rejected, 2*maxRejected, "the others must run into its memory")

	f = newFleet(11, 3, 200, budgeted)
	f.run(warmUpTicks)
	g := f.all[1]
	share := g.shares[g.hall*stages*replicas]
	g.cut = true
	first, _ := f.run(3 * second) // the last reports are dropped after 0.9 s
	last, held := 0.0, 0.0
	for range 2 * second {
		rejected, _ := f.run(1)
		last += rejected / (2 * second)
		held += f.held(g) / (2 * second)
	}
	t.Logf("rejected %.4f, then %.4f; held %.3f of a share of %.3f", first, last, held, share)
	require.LessOrEqual(t, held, share)
	require.Greater(t, held, share/2, "it must go on serving")
	require.Less(t, first, maxRejected)
	require.Less(t, last, maxRejected)
	g.cut = false
	f.run(second)
	rejected, _ = f.run(3 * second)
	require.Less(t, rejected, maxRejected)
}

// Guards against memory that stays idle, or that all take at once, after the reports of a gateway
// that ended have been dropped.
func TestGatewayEndsWhileItHoldsMemory(t *testing.T) {
	f := newFleet(11, 3, 200, budgeted)
	f.run(warmUpTicks)
	f.end(f.all[1])
	rejected, _ := f.run(5 * second)
	_, used := f.run(2 * second)
	t.Logf("rejected %.4f used %.3f", rejected, used)
	require.Less(t, rejected, maxRejected)
	require.GreaterOrEqual(t, used, minUsed)
}

// Guards against a gateway that starts and takes all memory before it hears the others, and against
// one that never gets its share of endpoints that are already full.
func TestGatewayStarts(t *testing.T) {
	f := newFleet(11, 3, 200, budgeted)
	g := f.all[1]
	f.end(g)
	f.run(warmUpTicks)
	f.start(g)
	rejected, _ := f.run(second)
	f.run(11 * second)
	held, weights := 0.0, 0.0
	for _, o := range f.all {
		if o.hall == g.hall {
			weights += o.weight
			held += f.hallHeld(o, g.hall)
		}
	}
	fair := held * g.weight / weights
	t.Logf("rejected %.4f held %.3f of %.3f", rejected, f.held(g), fair)
	require.Less(t, rejected, maxRejected)
	require.Greater(t, f.held(g), 0.75*fair)
}

// Guards against a fleet that is worse off than before while half of its gateways are of the
// former build: these still race, but only they are rejected often.
func TestHalfOfTheGatewaysWithoutShares(t *testing.T) {
	var rejected [budgeted + 1]float64
	for _, r := range []rule{unlimited, budgeted} {
		f := newFleet(11, 3, 200, r)
		var former, updated []*gateway
		for i, g := range f.all {
			if i/3%2 == 0 {
				g.rule = unlimited
				former = append(former, g)
			} else {
				updated = append(updated, g)
			}
		}
		f.run(warmUpTicks)
		var used float64
		rejected[r], used = f.run(spanTicks)
		t.Logf("%v: rejected %.4f, former %.4f, others %.4f, used %.3f", r, rejected[r], f.rejected(former...), f.rejected(updated...), used)
		if r == budgeted {
			require.Less(t, f.rejected(updated...), f.rejected(former...)/4)
			require.GreaterOrEqual(t, used, minUsed)
		}
	}
	require.Less(t, rejected[budgeted], 0.6*rejected[unlimited])
}

func TestZeroBudgetAllowsEverything(t *testing.T) {
	var b roomshare.Budget
	require.True(t, b.WithRequest(1e9).Allows(1e9))
}

// Guards against a large request that is never placed, or that is not paid for.
func TestLargeRequestIsPaidOffOverRounds(t *testing.T) {
	round := roomshare.Round{Free: 10 / roomshare.FillShare, Share: 0.5, Typical: 4} // adds 5
	b := roomshare.Budget{}.WithRound(round)
	require.True(t, b.Allows(12), "the credit covers a typical request")
	b = b.WithRequest(12)
	require.False(t, b.WithRound(round).Allows(4))
	require.False(t, b.WithRound(round).Allows(1), "-2")
	require.True(t, b.WithRound(round).WithRound(round).Allows(3))
	require.False(t, b.WithRound(round).WithRound(round).Allows(4))
}

// Guards against a gateway whose share is less than a request never placing one, and against idle
// gateways that collect credit without bound.
func TestCreditIsKeptUpToATypicalRequest(t *testing.T) {
	round := roomshare.Round{Free: 5 / roomshare.FillShare, Share: 0.2, Typical: 4} // adds 1
	var b roomshare.Budget
	for range 3 {
		b = b.WithRound(round)
	}
	require.False(t, b.Allows(4))
	for range 9 {
		b = b.WithRound(round)
	}
	require.True(t, b.Allows(4))
	require.False(t, b.WithRequest(4).Allows(1))
}

func TestRejectionLowersTheFreeMemoryAssumed(t *testing.T) {
	round := roomshare.Round{Free: 100, Share: 1, Typical: 10}
	b := roomshare.Budget{}.WithRound(round).WithRequest(100 * roomshare.FillShare)
	require.True(t, b.WithRound(round).Allows(10))
	rejected := b.WithRejection().WithRejection() // the second one of a round adds nothing
	require.False(t, rejected.WithRound(round).Allows(10), "5 of 100 are taken to be free again")
	for range 5 {
		rejected = rejected.WithRound(round)
	}
	require.True(t, rejected.Allows(10))
}

func TestOvercommittedEndpointAllowsNothing(t *testing.T) {
	b := roomshare.Budget{}.WithRound(roomshare.Round{Free: 100, Share: 1, Typical: 10})
	require.False(t, b.WithRound(roomshare.Round{Free: -1, Share: 1, Typical: 10}).Allows(1))
	require.False(t, b.WithRound(roomshare.IsolatedRound(100, 0, 0, 10, 0)).Allows(1), "no share")
	require.False(t, b.WithRound(roomshare.IsolatedRound(100, 21, 0.2, 10, 0)).Allows(1), "above its share")
	require.True(t, b.WithRound(roomshare.IsolatedRound(100, 10, 0.2, 10, 0)).Allows(5))
}

func TestShare(t *testing.T) {
	require.InDelta(t, 0.1, roomshare.Share(0, 0, 0, 0.2, 10), 1e-9, "no demand is known")
	require.InDelta(t, 2.0/6, roomshare.Share(2, 3, 5, 0.2, 10), 1e-9)
	require.InDelta(t, 0.01, roomshare.Share(0, 3, 5, 0.2, 10), 1e-9, "a gateway that has just started")
	require.InDelta(t, 1, roomshare.Share(2, 0, 0, 0.2, 1), 1e-9)
	require.InDelta(t, 1, roomshare.Share(0, 0, 0, 0.2, 0), 1e-9)
}
