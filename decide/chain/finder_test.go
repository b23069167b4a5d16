package chain_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/chain"
	"github.com/grademill/grademill/decide/layer"
)

// finder returns a Finder for three halls, with hops between halls far more costly than within
// one.
func finder(layers int) *chain.Finder {
	return &chain.Finder{
		Layers: layers, Home: hallName(0), RemoteEntryCost: 1, HopCost: 0.3, RemoteHopCost: 5,
	}
}

// hallName returns the name of a hall; hall 0 is the one from which requests enter.
func hallName(hall int) string { return fmt.Sprint("hall-", hall) }

func holder(name string, hall, first, end int, perLayer float64) chain.Holder {
	return chain.Holder{
		ID: name, Address: name + ":1", Hall: hallName(hall), Layers: layer.Range{First: first, End: end}, CostPerLayer: perLayer,
	}
}

func TestFind(t *testing.T) {
	cases := []struct {
		name    string
		holders []chain.Holder
		want    string
	}{
		{"one holder", []chain.Holder{holder("a", 0, 0, 8, 1)}, "a:1[0,8)"},
		{"a part of a holder's range", []chain.Holder{holder("a", 0, 0, 6, 1), holder("b", 0, 4, 8, 0.1)}, "a:1[0,4) b:1[4,8)"},
		{"a chain stays in its hall", []chain.Holder{
			holder("a", 0, 0, 4, 1), holder("b", 0, 4, 8, 1), holder("far", 1, 4, 8, 0.5),
		}, "a:1[0,4) b:1[4,8)"},
		{"a chain leaves its hall for missing layers", []chain.Holder{holder("a", 0, 0, 4, 1), holder("far", 1, 4, 8, 1)}, "a:1[0,4) far:1[4,8)"},
		{"a chain does not return to a holder", []chain.Holder{holder("a", 0, 0, 8, 9), holder("b", 0, 3, 5, 1)}, "a:1[0,8)"},
		{"gap", []chain.Holder{holder("a", 0, 0, 4, 1), holder("b", 0, 5, 8, 1)}, ""},
		{"nobody", nil, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found, ok := finder(8).Find(c.holders)
			require.Equal(t, c.want != "", ok)
			if ok {
				require.Equal(t, c.want, found.String())
			}
		})
	}
}

// Guards against a chain that gives the layers of an endpoint's new incarnation to its former one, which is kept while a
// request is moved.
func TestIncarnationsAreNotMerged(t *testing.T) {
	former, next := holder("a", 0, 0, 4, 1), holder("a", 0, 4, 8, 1)
	next.Address = "a:2"
	found, ok := finder(8).Find([]chain.Holder{former, next})
	require.True(t, ok)
	require.Equal(t, "a:1[0,4) a:2[4,8)", found.String())
}

// Guards against a chain that leaves its hall without need or leave, and against costs of one search that remain in the
// next.
func TestFindNear(t *testing.T) {
	f := finder(8)
	holders := []chain.Holder{holder("a", 0, 0, 4, 1), holder("far", 1, 4, 8, 0.1)}
	asked := 0
	mayLeave := func(may bool) func() bool {
		return func() bool { asked++; return may }
	}
	_, ok := f.FindNear(holders, mayLeave(false))
	require.False(t, ok)
	found, ok := f.FindNear(holders, mayLeave(true))
	require.True(t, ok)
	require.Equal(t, "a:1[0,4) far:1[4,8)", found.String())
	found, ok = f.FindNear(append(holders, holder("near", 0, 4, 8, 9)), mayLeave(true))
	require.True(t, ok)
	require.Equal(t, "a:1[0,4) near:1[4,8)", found.String())
	_, ok = f.FindNear(holders[:1], mayLeave(true))
	require.False(t, ok)
	require.Equal(t, 2, asked, "only where there is another chain")
}

// Find finds a chain whenever there is one, the chain runs each layer once and in order, and
// more than nine in ten cost no more than the best of an exhaustive search that may change
// holders at any layer and return to a holder.
func TestFoundChainsCoverAllLayers(t *testing.T) {
	const layers = 12
	random := rand.New(rand.NewPCG(1, 2))
	found, best := 0, 0
	for range 5000 {
		var holders []chain.Holder
		for i := range 2 + random.IntN(9) {
			first := random.IntN(layers)
			end := first + 1 + random.IntN(layers-first)
			holders = append(holders, holder(fmt.Sprint("h", i), random.IntN(3), first, end, random.Float64()))
		}
		c, ok := finder(layers).Find(holders)
		least := leastCost(finder(layers), holders, searchState{0, -1}, map[searchState]float64{})
		require.Equal(t, !math.IsInf(least, 1), ok)
		if !ok {
			continue
		}
		found++
		require.True(t, c.Covers(layers), c)
		cost := chainCost(finder(layers), holders, c)
		require.GreaterOrEqual(t, cost, least-1e-9)
		if cost < least+1e-9 {
			best++
		}
	}
	require.Greater(t, found, 1000)
	require.Greater(t, float64(best), 0.9*float64(found))
}

// entryCost returns the cost of starting a chain at a holder.
func entryCost(f *chain.Finder, h chain.Holder) float64 {
	if h.Hall == f.Home {
		return f.EntryCost
	}
	return f.RemoteEntryCost
}

// hopCost returns the cost of passing a token on from one holder to another.
func hopCost(f *chain.Finder, from, to chain.Holder) float64 {
	if from.Hall == to.Hall {
		return f.HopCost
	}
	return f.RemoteHopCost
}

// chainCost returns the cost of a chain.
func chainCost(f *chain.Finder, holders []chain.Holder, c chain.Chain) float64 {
	cost, last := 0.0, -1
	for _, p := range c {
		j := slices.IndexFunc(holders, func(h chain.Holder) bool { return h.ID == p.ID })
		if last < 0 {
			cost += entryCost(f, holders[j])
		} else {
			cost += hopCost(f, holders[last], holders[j])
		}
		cost += float64(p.Layers.Len()) * holders[j].CostPerLayer
		last = j
	}
	return cost
}

// searchState is a state of the exhaustive search: the next layer and the holder before it.
type searchState struct{ at, last int }

// leastCost returns the least cost from a state to the last layer.
func leastCost(f *chain.Finder, holders []chain.Holder, from searchState, known map[searchState]float64) float64 {
	if from.at == f.Layers {
		return 0
	}
	if cost, ok := known[from]; ok {
		return cost
	}
	best := math.Inf(1)
	for j, h := range holders {
		if h.Layers.First > from.at || h.Layers.End <= from.at {
			continue
		}
		cost := h.CostPerLayer
		switch {
		case from.last < 0:
			cost += entryCost(f, h)
		case from.last != j:
			cost += hopCost(f, holders[from.last], h)
		}
		best = min(best, cost+leastCost(f, holders, searchState{from.at + 1, j}, known))
	}
	known[from] = best
	return best
}

func TestCovers(t *testing.T) {
	part := func(name string, first, end int) chain.Stage {
		return chain.Stage{ID: name, Address: name, Layers: layer.Range{First: first, End: end}}
	}
	require.True(t, chain.Chain{part("a", 0, 4), part("b", 4, 8)}.Covers(8))
	require.False(t, chain.Chain{part("a", 0, 4), part("b", 5, 8)}.Covers(8), "gap")
	require.False(t, chain.Chain{part("a", 0, 4), part("b", 3, 8)}.Covers(8), "overlap")
	require.False(t, chain.Chain{part("b", 4, 8), part("a", 0, 4)}.Covers(8), "order")
	require.False(t, chain.Chain{part("a", 0, 4), part("a", 4, 8)}.Covers(8), "twice")
	require.False(t, chain.Chain{part("a", 0, 4)}.Covers(8), "end")
}

func BenchmarkFind(b *testing.B) {
	f := finder(80)
	var holders []chain.Holder
	for i := range 33 {
		first := i * 7 % 74
		holders = append(holders, holder(fmt.Sprint("h", i), i%3, first, first+7, 1+float64(i%5)))
	}
	holders = append(holders, holder("rest", 0, 70, 80, 1))
	b.ReportAllocs()
	for b.Loop() {
		f.Find(holders)
	}
}
