package hallsplit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/hallsplit"
)

func hall(name string, demand, capacity, linkRate float64) hallsplit.Hall {
	return hallsplit.Hall{Name: name, Demand: demand, Capacity: capacity, LinkRate: linkRate}
}

// Guards against demand that leaves halls that have room, that goes where none is, or that exceeds
// what the links bear.
func TestPlan(t *testing.T) {
	type part struct {
		from, to string
		part     float64
	}
	for _, c := range []struct {
		name  string
		halls []hallsplit.Hall
		want  []part
	}{
		{"no halls", nil, []part{{"a", "a", 1}, {"a", "b", 0}}},
		{"under the threshold", []hallsplit.Hall{hall("a", 84, 100, 0), hall("b", 0, 100, 0)}, []part{{"a", "a", 1}}},
		{"even", []hallsplit.Hall{hall("a", 200, 100, 0), hall("b", 0, 300, 0), hall("c", 0, 100, 0)}, []part{{"a", "a", 0.2}, {"a", "b", 0.6}, {"a", "c", 0.2}, {"b", "b", 1}}},
		{"all beyond capacity", []hallsplit.Hall{hall("a", 400, 100, 0), hall("b", 200, 100, 0)}, []part{{"a", "b", 0.25}, {"b", "b", 1}}},
		{"bound of the sender", []hallsplit.Hall{hall("a", 200, 100, 20), hall("b", 0, 100, 0)}, []part{{"a", "b", 0.1}}},
		{"bound of a receiver", []hallsplit.Hall{hall("a", 200, 100, 0), hall("b", 0, 100, 20), hall("c", 0, 100, 0)}, []part{{"a", "b", 0.1}, {"a", "c", 0.45}, {"a", "a", 0.45}}},
		{"no capacity", []hallsplit.Hall{hall("a", 10, 0, 0), hall("b", 10, 0, 0)}, []part{{"a", "a", 1}, {"b", "b", 1}}},
		{"a hall without endpoints", []hallsplit.Hall{hall("a", 10, 0, 0), hall("b", 40, 100, 0), hall("c", 20, 100, 0)}, []part{{"a", "a", 0}, {"b", "b", 1}}},
		{"no demand", []hallsplit.Hall{hall("a", 0, 0, 0), hall("b", 0, 100, 0)}, []part{{"a", "a", 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			plan := hallsplit.Plan(c.halls)
			for _, w := range c.want {
				require.InDelta(t, w.part, plan.Part(w.from, w.to), 1e-6, w)
			}
			for _, h := range c.halls {
				sum := 0.0
				for _, to := range c.halls {
					sum += plan.Part(h.Name, to.Name)
				}
				require.InDelta(t, 1, sum, 1e-6)
			}
		})
	}
}

// Guards against a plan that jumps, and parts that swing, when a hall is near the threshold: 1% more
// demand may move at most the 3% that follow from the constant evening.
func TestPlanIsContinuous(t *testing.T) {
	plan := func(demand float64) hallsplit.Split {
		return hallsplit.Plan([]hallsplit.Hall{hall("a", demand, 100, 0), hall("b", 40, 100, 0), hall("c", 10, 0.1, 0)})
	}
	last := plan(70)
	require.Equal(t, 1.0, last.Part("a", "a"), "the demand of a hall with little capacity moves no other")
	for demand := 71.0; demand < 300; demand++ {
		plan := plan(demand)
		require.Less(t, plan.Change(last), 0.035, demand)
		last = plan
	}
}

// Guards against parts that follow a step at once, or that reach it much later than after 1 s, and
// against a change of an earlier value.
func TestWithPlanIsSmooth(t *testing.T) {
	plan := hallsplit.Plan([]hallsplit.Hall{hall("a", 200, 100, 0), hall("b", 0, 100, 0)})
	first := hallsplit.Split{}.WithPlan(plan, begin)
	require.Zero(t, first.Part("a", "b"))
	split := first
	for n := 1; n <= 10; n++ {
		split = split.WithPlan(plan, begin.Add(time.Duration(n)*100*time.Millisecond))
	}
	require.InDelta(t, 0.95*0.5, split.Part("a", "b"), 0.01)
	require.Zero(t, first.Part("a", "b"))
	require.InDelta(t, 0.475, split.Change(first), 0.01)
	split = split.WithPlan(hallsplit.Split{}, begin.Add(time.Minute))
	require.Equal(t, 1.0, split.Part("a", "a"))
}

// Guards against runs of requests to one hall, and against gateways that all send the first request to
// the same one.
func TestSequenceIsEven(t *testing.T) {
	split := hallsplit.Split{}.WithPlan(hallsplit.Split{}, begin).
		WithPlan(hallsplit.Plan([]hallsplit.Hall{hall("a", 200, 100, 0), hall("b", 0, 100, 0), hall("c", 0, 200, 0)}), begin.Add(time.Minute))
	firsts := make(map[string]int)
	for start := range 20 {
		q := hallsplit.Sequence{Position: float64(start) / 20}
		counts, to := make(map[string]float64), ""
		for n := 1; n <= 1000; n++ {
			to, q = q.Next(split, "a")
			if n == 1 {
				firsts[to]++
			}
			counts[to]++
			for _, name := range []string{"a", "b", "c"} {
				require.InDelta(t, float64(n)*split.Part("a", name), counts[name], 3)
			}
		}
		to, _ = q.Next(split, "b")
		require.Equal(t, "b", to)
	}
	require.Equal(t, map[string]int{"a": 5, "b": 5, "c": 10}, firsts)
}

// BenchmarkPlan shows that the cost depends on the number of halls, here ten, and not on that of
// their gateways.
func BenchmarkPlan(b *testing.B) {
	var halls []hallsplit.Hall
	for i := range 10 {
		halls = append(halls, hall(hallName(i), float64(50+40*i), 200, 0))
	}
	split := hallsplit.Split{}
	b.ReportAllocs()
	for b.Loop() {
		split = split.WithPlan(hallsplit.Plan(halls), begin)
	}
}
