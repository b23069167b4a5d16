package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/route"
)

// candidate returns an endpoint with a known step time.
func candidate(name, hall string, first, end int, step time.Duration) route.Candidate {
	u := new(route.Usage)
	u.Report(route.Report{Limit: 8, Batch: 4, Step: step})
	return route.Candidate{
		Endpoint: fleet.Endpoint{Name: name, Hall: hall, Layers: layer.Range{First: first, End: end}},
		Usage:    u,
	}
}

func links(from, to string) time.Duration {
	if from == to {
		return 0
	}
	return 10 * time.Millisecond
}

func names(t *route.Table, c route.Choice) []string {
	var all []string
	for _, i := range c.Stages[:c.Len] {
		all = append(all, t.Candidates[i].Endpoint.Name)
	}
	return all
}

func TestChoose(t *testing.T) {
	const ms = time.Millisecond
	fast, slow := candidate("fast", "x", 0, 4, 2*ms), candidate("slow", "x", 0, 4, 9*ms)
	last, far := candidate("last", "x", 4, 8, 5*ms), candidate("far", "y", 4, 8, 1*ms)
	whole := candidate("whole", "x", 0, 8, 100*ms)
	leaving := candidate("leaving", "x", 0, 4, ms)
	leaving.Endpoint = leaving.Endpoint.WithLeaving(true)
	cases := []struct {
		name       string
		candidates []route.Candidate
		want       []string
		runnerUp   string
	}{
		{"the faster endpoint", []route.Candidate{fast, slow, last}, []string{"fast", "last"}, "slow"},
		{"a link costs more than a slower step", []route.Candidate{fast, last, far}, []string{"fast", "last"}, "far"},
		{"two stages beat one slow one", []route.Candidate{fast, last, whole}, []string{"fast", "last"}, "whole"},
		{"one endpoint with all layers", []route.Candidate{fast, whole}, []string{"whole"}, ""},
		{"no leaving endpoint", []route.Candidate{leaving, slow, last}, []string{"slow", "last"}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := route.New(8, "x", c.candidates, links)
			choice, ok := table.Choose(1, nil)
			require.True(t, ok)
			require.Equal(t, c.want, names(table, choice))
			if c.runnerUp == "" {
				require.Equal(t, int32(-1), choice.RunnerUp)
				return
			}
			require.Equal(t, c.runnerUp, table.Candidates[choice.RunnerUp].Endpoint.Name)
			require.Greater(t, choice.RunnerUpCost, choice.Cost)
		})
	}
}

func TestNoChain(t *testing.T) {
	for name, candidates := range map[string][]route.Candidate{
		"nobody":                 nil,
		"a stage is missing":     {candidate("a", "x", 0, 4, 1)},
		"boundaries do not meet": {candidate("a", "x", 0, 5, 1), candidate("b", "x", 4, 8, 1)},
		"beyond the model":       {candidate("a", "x", 0, 9, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := route.New(8, "x", candidates, links).Choose(1, nil)
			require.False(t, ok)
		})
	}
}

func TestAvoid(t *testing.T) {
	table := route.New(4, "x", []route.Candidate{candidate("a", "x", 0, 4, 1), candidate("b", "x", 0, 4, 2)}, links)
	choice, ok := table.Choose(1, func(e *fleet.Endpoint) bool { return e.Name == "a" })
	require.True(t, ok)
	require.Equal(t, []string{"b"}, names(table, choice))
}

func TestFullEndpointsComeLast(t *testing.T) {
	full, slow := candidate("full", "x", 0, 4, time.Millisecond), candidate("slow", "x", 0, 4, time.Second)
	full.Usage.OwnSessions.Store(8)
	table := route.New(4, "x", []route.Candidate{full, slow}, links)
	choice, ok := table.Choose(1, nil)
	require.True(t, ok)
	require.Equal(t, []string{"slow"}, names(table, choice))
	require.False(t, choice.Full)
	slow.Usage.OtherSessions.Store(8)
	choice, ok = table.Choose(1, nil)
	require.True(t, ok)
	require.True(t, choice.Full)
}

// Every chain covers each layer once and in order, whatever the endpoints hold.
func TestChainsCoverEveryLayerOnce(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	found := 0
	for range 500 {
		var candidates []route.Candidate
		for i := range 30 {
			first := rnd.IntN(12)
			end := first + 1 + rnd.IntN(12-first)
			hall := fmt.Sprint("hall-", rnd.IntN(3))
			candidates = append(candidates, candidate(fmt.Sprint(i), hall, first, end, time.Duration(1+rnd.IntN(1000))))
		}
		table := route.New(12, "hall-0", candidates, links)
		choice, ok := table.Choose(rnd.Uint64(), nil)
		if !ok {
			continue
		}
		found++
		next := 0
		for i := range choice.Len {
			r := table.Range(choice, i)
			require.Equal(t, next, r.First)
			next = r.End
		}
		require.Equal(t, 12, next)
	}
	require.Greater(t, found, 300)
}

// fourStageFleet returns n endpoints, each with a quarter of a model's layers, spread over
// halls.
func fourStageFleet(n, halls int) []route.Candidate {
	rnd := rand.New(rand.NewPCG(3, 4))
	var candidates []route.Candidate
	for i := range n {
		part := i % 4
		step := time.Duration(2+rnd.IntN(20)) * time.Millisecond
		hall := fmt.Sprint("hall-", (i/4)%halls)
		candidates = append(candidates, candidate(fmt.Sprint("endpoint-", i), hall, part*8, part*8+8, step))
	}
	return candidates
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct {
		name     string
		n, halls int
	}{
		{"today/33", 33, 3},
		{"subset of one model/25", 25, 10},
		{"subset as one model/318", 318, 10},
		{"fleet as one model/3800", 3800, 10},
	} {
		b.Run(size.name, func(b *testing.B) {
			table := route.New(32, "hall-0", fourStageFleet(size.n, size.halls), links)
			b.ReportAllocs()
			var seed uint64
			for b.Loop() {
				seed++
				if _, ok := table.Choose(seed, nil); !ok {
					b.Fatal("no chain")
				}
			}
		})
	}
}

func BenchmarkNew(b *testing.B) {
	for _, n := range []int{33, 318, 3800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			candidates := fourStageFleet(n, 10)
			b.ReportAllocs()
			for b.Loop() {
				route.New(32, "hall-0", candidates, links)
			}
		})
	}
}
