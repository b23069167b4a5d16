package fair_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fair"
)

// serve pushes items of cost 1 for teams with the given weights, and returns how many of the first
// n items served belong to each team.
func serve(t *testing.T, weights map[string]float64, each, n int) map[string]int {
	q := fair.Queue[int]{Max: each * len(weights)}
	for i := range each {
		for team, weight := range weights {
			_, ok := q.Push(&fair.Item[int]{Team: team, Weight: weight, Cost: 1, Value: i})
			require.True(t, ok)
		}
	}
	served := make(map[string]int)
	for range n {
		served[q.Pop().Team]++
	}
	return served
}

func TestTeamsShareByWeight(t *testing.T) {
	served := serve(t, map[string]float64{"small": 1, "large": 3}, 100, 80)
	require.InDelta(t, 20, served["small"], 1)
	require.InDelta(t, 60, served["large"], 1)
}

func TestFloodingTeamDoesNotDelayAnother(t *testing.T) {
	q := fair.Queue[int]{Max: 1000}
	for range 500 {
		q.Push(&fair.Item[int]{Team: "flood", Weight: 1, Cost: 1})
	}
	q.Push(&fair.Item[int]{Team: "quiet", Weight: 1, Cost: 1})
	for i := range 3 {
		if q.Pop().Team == "quiet" {
			return
		}
		require.Less(t, i, 2, "the quiet team waits")
	}
}

func TestPriorityGoesFirst(t *testing.T) {
	q := fair.Queue[string]{Max: 10}
	q.Push(&fair.Item[string]{Team: "a", Cost: 1, Value: "later"})
	q.Push(&fair.Item[string]{Team: "a", Cost: 1, Priority: 1, Value: "first"})
	require.Equal(t, "first", q.Pop().Value)
}

func TestFullQueueDisplacesItemServedLast(t *testing.T) {
	q := fair.Queue[int]{Max: 4}
	for i := range 4 {
		_, ok := q.Push(&fair.Item[int]{Team: "flood", Weight: 1, Cost: 1, Value: i})
		require.True(t, ok)
	}
	displaced, ok := q.Push(&fair.Item[int]{Team: "quiet", Weight: 1, Cost: 1})
	require.False(t, ok)
	require.Equal(t, "flood", displaced.Team)
	require.Equal(t, 3, displaced.Value)
	require.Equal(t, 4, q.Len())
}

func TestRemove(t *testing.T) {
	q := fair.Queue[int]{Max: 4}
	it := &fair.Item[int]{Team: "a", Cost: 1}
	q.Push(it)
	require.True(t, q.Remove(it))
	require.False(t, q.Remove(it))
	require.Nil(t, q.Pop())
}

func TestZeroQueueRefuses(t *testing.T) {
	var q fair.Queue[int]
	it := &fair.Item[int]{Team: "a"}
	displaced, ok := q.Push(it)
	require.False(t, ok)
	require.Same(t, it, displaced)
}

func ExampleQueue() {
	q := fair.Queue[string]{Max: 10}
	for _, job := range []string{"a1", "a2", "a3"} {
		q.Push(&fair.Item[string]{Team: "a", Weight: 1, Cost: 1, Value: job})
	}
	q.Push(&fair.Item[string]{Team: "b", Weight: 1, Cost: 1, Value: "b1"})
	for it := q.Pop(); it != nil; it = q.Pop() {
		fmt.Print(it.Value, " ")
	}
	// Output: a1 b1 a2 a3
}

// Under overload from all teams alike a small queue must serve them by weight.
func TestOverloadedTeamsShareByWeight(t *testing.T) {
	const small, overload, rounds = 8, 3, 20_000
	q := fair.Queue[int]{Max: 64}
	served := make(map[string]int)
	for i := range rounds {
		team, weight := fmt.Sprint("small-", i%10), 1.0
		if i%10 < 2 {
			team, weight = fmt.Sprint("large-", i%10), 4
		}
		q.Push(&fair.Item[int]{Team: team, Weight: weight, Cost: 96})
		if i%overload == 0 {
			served[q.Pop().Team[:5]]++
		}
	}
	ratio := float64(served["large"]) / 2 / (float64(served["small"]) / small)
	require.InDelta(t, 4, ratio, 0.2, served)
}

// The cost of the items of a priority and above must follow all changes of the queue, including
// removals.
func TestCostOfAPriorityAndAbove(t *testing.T) {
	q := &fair.Queue[int]{Max: 3}
	items := []*fair.Item[int]{{Team: "a", Cost: 0.5, Priority: 1}, {Team: "a", Cost: 2, Priority: 2}, {Team: "b", Cost: 4, Priority: 3}}
	for _, it := range items {
		q.Push(it)
	}
	require.InDelta(t, 6.5, q.Cost(1), 1e-9)
	require.InDelta(t, 6, q.Cost(2), 1e-9)
	require.InDelta(t, 4, q.Cost(3), 1e-9)
	require.Zero(t, q.Cost(4))
	displaced, _ := q.Push(&fair.Item[int]{Team: "c", Cost: 1, Priority: 4})
	require.Same(t, items[0], displaced)
	q.Pop()
	require.True(t, q.Remove(items[1]))
	require.InDelta(t, 4, q.Cost(0), 1e-9)
}

func BenchmarkCost(b *testing.B) {
	q := &fair.Queue[int]{Max: 1024}
	for i := range 1024 {
		q.Push(&fair.Item[int]{Team: "a", Cost: 1, Priority: i % 4})
	}
	for b.Loop() {
		q.Cost(2)
	}
}
