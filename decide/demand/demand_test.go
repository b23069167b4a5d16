package demand_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/demand"
)

// draw returns a demand of whole numbers, whose sums are exact, with the given number of teams.
func draw(draws *rand.Rand, teams int) demand.Demand {
	d := demand.Demand{
		Admitted: float64(draws.IntN(100)), Refused: float64(draws.IntN(100)), Waiting: float64(draws.IntN(100)),
		CapacitySum: float64(draws.IntN(1000)), Estimates: draws.IntN(4), Classes: make(map[demand.Class]demand.Load),
	}
	for range 4 {
		load := demand.Load{Teams: make(map[string]float64)}
		for team := range teams {
			offered := float64(1 + draws.IntN(50))
			load.Teams[fmt.Sprint("team-", team)] = offered
			load.Offered += offered
		}
		d.Classes[demand.Class{Priority: draws.IntN(3), Returning: draws.IntN(2) == 0}] = load
	}
	return d
}

// Guards against sums that depend on the order in which gateways report: gateways would then
// disagree on what to admit.
func TestPlusIsAssociativeWithinTheBoundOnTeams(t *testing.T) {
	draws := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		a, b, c := draw(draws, demand.MaxTeams), draw(draws, demand.MaxTeams), draw(draws, demand.MaxTeams)
		require.Equal(t, a.Plus(b).Plus(c), a.Plus(b.Plus(c)))
		require.Equal(t, a.Plus(b), b.Plus(a))
		require.Equal(t, demand.Sum(c, a, b), a.Plus(b).Plus(c))
	}
}

// With more teams than are named, the totals are still associative, and Sum does not depend on the
// order.
func TestSumWithManyTeamsKeepsTotals(t *testing.T) {
	draws := rand.New(rand.NewPCG(2, 1))
	for range 100 {
		a, b, c := draw(draws, 30), draw(draws, 30), draw(draws, 30)
		left, right := a.Plus(b).Plus(c), a.Plus(b.Plus(c))
		require.InDelta(t, left.Offered(), right.Offered(), 0)
		require.InDelta(t, a.Offered()+b.Offered()+c.Offered(), left.Offered(), 0)
		require.Equal(t, demand.Sum(a, b, c), demand.Sum(c, a, b))
	}
}

// Guards against a large team that is dropped from the sum in favor of a small one, and against
// sums that change their operands.
func TestHeaviestTeamsAreKept(t *testing.T) {
	class := demand.Class{Priority: 1}
	of := func(teams map[string]float64) demand.Demand {
		return demand.Demand{Classes: map[demand.Class]demand.Load{class: {Offered: 100, Teams: teams}}}
	}
	many := make(map[string]float64)
	for i := range 2 * demand.MaxTeams {
		many[fmt.Sprintf("team-%02d", i)] = 2
	}
	one := of(map[string]float64{"team-15": 1, "large": 50, "small": 1})
	sum := of(many).Plus(one).Classes[class]
	require.Equal(t, map[string]float64{
		"large": 50, "team-15": 3, "team-00": 2, "team-01": 2, "team-02": 2, "team-03": 2, "team-04": 2, "team-05": 2,
	}, sum.Teams, "the sum of both reports counts, and equal teams are taken by name")
	require.InDelta(t, 200, sum.Offered, 0, "the rate of the class includes all teams")
	require.Len(t, many, 2*demand.MaxTeams)
	require.Len(t, one.Classes[class].Teams, 3)
}

func TestCapacityIsTheMeanEstimate(t *testing.T) {
	require.Zero(t, demand.Demand{}.Capacity())
	sum := demand.Demand{CapacitySum: 600, Estimates: 1}.Plus(demand.Demand{CapacitySum: 1500, Estimates: 2}).Plus(demand.Demand{})
	require.InDelta(t, 700, sum.Capacity(), 1e-9)
}
