// Package baseline implements simple strategies for choosing a chain, against
// which measurements compare the router's own. Set one as the Chooser of an entry.
package baseline

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/grademill/grademill/decide/route"
)

// Chooser chooses a chain from a table. It returns false if the table has none.
type Chooser func(t *route.Table, seed uint64) (route.Choice, bool)

// buildChain builds a chain from layer 0 to the last. At each stage, pick chooses among
// the candidates that begin where the chain ends so far and from whose end the last
// layer can be reached.
func buildChain(t *route.Table, pick func(at int, candidates []int32) int32) (route.Choice, bool) {
	c := route.Choice{RunnerUp: -1}
	reach := reachable(t)
	for at := 0; at < t.Layers; {
		var candidates []int32
		for i := range t.Candidates {
			r := t.Candidates[i].Endpoint.Layers
			if r.First == at && reach[r.End] {
				candidates = append(candidates, int32(i))
			}
		}
		if len(candidates) == 0 || c.Len == route.MaxStages {
			return route.Choice{}, false
		}
		chosen := pick(at, candidates)
		c.Stages[c.Len] = chosen
		c.Len++
		c.Full = c.Full || t.Candidates[chosen].Usage.Load() >= 1
		at = t.Candidates[chosen].Endpoint.Layers.End
	}
	return c, true
}

// reachable returns the set of layers from which candidates lead to the last layer.
func reachable(t *route.Table) map[int]bool {
	reach := map[int]bool{t.Layers: true}
	for changed := true; changed; {
		changed = false
		for _, c := range t.Candidates {
			if r := c.Endpoint.Layers; reach[r.End] && !reach[r.First] {
				reach[r.First] = true
				changed = true
			}
		}
	}
	return reach
}

// Random returns a chooser that picks each stage at random.
func Random() Chooser {
	return func(t *route.Table, seed uint64) (route.Choice, bool) {
		rnd := rand.New(rand.NewPCG(seed, seed))
		return buildChain(t, func(_ int, candidates []int32) int32 { return candidates[rnd.IntN(len(candidates))] })
	}
}

// RoundRobin returns a chooser that picks the candidates of each stage in turn.
func RoundRobin() Chooser {
	var counter atomic.Uint64
	return func(t *route.Table, _ uint64) (route.Choice, bool) {
		n := counter.Add(1)
		return buildChain(t, func(_ int, candidates []int32) int32 { return candidates[n%uint64(len(candidates))] })
	}
}

// LeastLoaded returns a chooser that picks at each stage the candidate with the
// fewest sessions in proportion to its limit.
func LeastLoaded() Chooser {
	return func(t *route.Table, _ uint64) (route.Choice, bool) {
		return buildChain(t, func(_ int, candidates []int32) int32 {
			best := candidates[0]
			for _, i := range candidates[1:] {
				if t.Candidates[i].Usage.Load() < t.Candidates[best].Usage.Load() {
					best = i
				}
			}
			return best
		})
	}
}
