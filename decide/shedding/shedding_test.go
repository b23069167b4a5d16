package shedding_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/shedding"
)

var policy = shedding.Policy{MinShare: 0.4, ReturnShare: 0.1}

func fresh(priority int) demand.Class     { return demand.Class{Priority: priority} }
func returning(priority int) demand.Class { return demand.Class{Priority: priority, Returning: true} }

func classes(offered map[demand.Class]float64) demand.Demand {
	d := demand.Demand{Classes: make(map[demand.Class]demand.Load)}
	for class, rate := range offered {
		d.Classes[class] = demand.Load{Offered: rate}
	}
	return d
}

func TestOpenWithinCapacity(t *testing.T) {
	d := classes(map[demand.Class]float64{fresh(0): 50, returning(0): 40})
	for _, capacity := range []float64{0, 90, 100} {
		l := policy.Level(d, capacity)
		require.True(t, l.Open())
		require.Equal(t, 1.0, l.Admit(fresh(7), "any"))
		require.Equal(t, 1.0, l.AdmitEarly(returning(0)))
	}
	require.True(t, shedding.Level{}.Open())
}

// Guards against classes out of order and against minima that are not given: of 100 a second, each class
// gets 0.4 of 100/200, returning callers 10, and the rest goes by priority.
func TestOrderOfClasses(t *testing.T) {
	l := policy.Level(classes(map[demand.Class]float64{
		fresh(0): 40, fresh(1): 60, fresh(2): 100, returning(0): 50, returning(2): 50,
	}), 100)
	require.False(t, l.Open())
	require.Equal(t, fresh(1), l.Marginal())
	require.InDelta(t, 1, l.Admit(fresh(0), ""), 1e-9)
	require.InDelta(t, 30.0/60, l.Admit(fresh(1), ""), 1e-9) // 100 - 40 - 20 - 10
	require.InDelta(t, 0.2, l.Admit(fresh(2), ""), 1e-9)
	require.InDelta(t, 0.1, l.Admit(returning(0), ""), 1e-9)
	require.InDelta(t, 0.1, l.Admit(returning(2), ""), 1e-9)
	require.Zero(t, l.AdmitEarly(returning(0)))
	require.Equal(t, 1.0, l.Admit(fresh(-1), ""), "more urgent than the marginal class, without known demand")
	require.InDelta(t, 0.2, l.Admit(fresh(5), ""), 1e-9)
	require.InDelta(t, 0.1, l.Admit(returning(5), ""), 1e-9)
}

// Guards against callers that come back early and take the reserved part, and against room that is left
// unused.
func TestReturningCallersGetWhatIsLeft(t *testing.T) {
	l := policy.Level(classes(map[demand.Class]float64{fresh(1): 60, returning(0): 20, returning(1): 80}), 100)
	require.InDelta(t, 1, l.Admit(fresh(1), ""), 1e-9)
	require.InDelta(t, 1, l.Admit(returning(0), ""), 1e-9) // 0.1 of 20 reserved, 18 of the 25 left beside the headroom
	require.InDelta(t, 0.9, l.AdmitEarly(fresh(0)), 1e-9)
	require.InDelta(t, 0.1+7.0/80, l.Admit(returning(1), ""), 1e-9)
	require.InDelta(t, 7.0/80, l.AdmitEarly(returning(1)), 1e-9)
	require.Equal(t, returning(1), l.Marginal())
}

// Guards against settings whose minima exceed the capacity.
func TestMinimaAreScaledDown(t *testing.T) {
	p := shedding.Policy{MinShare: 0.9, ReturnShare: 0.5}
	l := p.Level(classes(map[demand.Class]float64{fresh(0): 100, fresh(1): 100, returning(1): 100}), 70)
	admitted := 100 * (l.Admit(fresh(0), "") + l.Admit(fresh(1), "") + l.Admit(returning(1), ""))
	require.InDelta(t, 70, admitted, 1e-6)
}

// Guards against a flood at the cost of small teams, against a team that gets nothing, and against more
// than the capacity in total: 9 teams ask for 10 a second each, named or not, one for 110.
func TestTeamsOfMarginalClass(t *testing.T) {
	d := demand.Demand{Classes: map[demand.Class]demand.Load{fresh(1): {
		Offered: 200, Teams: map[string]float64{"flood": 110, "a": 10, "b": 10, "c": 10},
	}}}
	l := policy.Level(d, 160)
	require.InDelta(t, 1, l.Admit(fresh(1), "a"), 1e-9)
	require.InDelta(t, 1, l.Admit(fresh(1), "unnamed"), 1e-9)
	require.InDelta(t, 70.0/110, l.Admit(fresh(1), "flood"), 1e-6)

	l = policy.Level(d, 100) // the flood gets 0.4 of 0.5 of its demand at least
	require.GreaterOrEqual(t, l.Admit(fresh(1), "flood"), 0.2-1e-9)
	admitted := 110*l.Admit(fresh(1), "flood") + 30*l.Admit(fresh(1), "a") + 60*l.Admit(fresh(1), "unnamed")
	require.InDelta(t, 100, admitted, 1e-3)
}

func TestWeightsOfTeams(t *testing.T) {
	p := policy
	p.Weights = map[string]float64{"heavy": 3}
	l := p.Level(demand.Demand{Classes: map[demand.Class]demand.Load{fresh(1): {
		Offered: 200, Teams: map[string]float64{"heavy": 100, "light": 100},
	}}}, 100)
	require.InDelta(t, 0.75, l.Admit(fresh(1), "heavy"), 1e-6)
	require.InDelta(t, 0.25, l.Admit(fresh(1), "light"), 1e-6)
}
