// Package baseline has simple ways to choose a chain, against which the
// router's own is measured.
package baseline

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/grademill/grademill/decide/route"
)

// Chooser chooses a chain out of a table.
type Chooser func(t *route.Table, seed uint64) (route.Choice, bool)

// walk goes from layer 0 to the last and lets pick choose among the candidates
// that begin where the chain ends so far and from which the end can be reached.
func walk(t *route.Table, pick func(at int, from []int32) int32) (route.Choice, bool) {
	c := route.Choice{RunnerUp: -1}
	reach := reachable(t)
	for at := 0; at < t.Layers; {
		var from []int32
		for i := range t.Candidates {
			r := t.Candidates[i].Endpoint.Layers
			if r.First == at && reach[r.End] {
				from = append(from, int32(i))
			}
		}
		if len(from) == 0 || c.Len == route.MaxStages {
			return route.Choice{}, false
		}
		chosen := pick(at, from)
		c.Stages[c.Len] = chosen
		c.Len++
		c.Full = c.Full || t.Candidates[chosen].Usage.Load() >= 1
		at = t.Candidates[chosen].Endpoint.Layers.End
	}
	return c, true
}

// reachable returns from which layers the end can be reached.
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

// Random picks any valid chain.
func Random() Chooser {
	return func(t *route.Table, seed uint64) (route.Choice, bool) {
		rnd := rand.New(rand.NewPCG(seed, seed))
		return walk(t, func(_ int, from []int32) int32 { return from[rnd.IntN(len(from))] })
	}
}

// RoundRobin takes the candidates of each layer in turn.
func RoundRobin() Chooser {
	var turn atomic.Uint64
	return func(t *route.Table, _ uint64) (route.Choice, bool) {
		n := turn.Add(1)
		return walk(t, func(_ int, from []int32) int32 { return from[n%uint64(len(from))] })
	}
}

// LeastLoaded takes at each layer the candidate with the fewest sessions for
// its limit.
func LeastLoaded() Chooser {
	return func(t *route.Table, _ uint64) (route.Choice, bool) {
		return walk(t, func(_ int, from []int32) int32 {
			best := from[0]
			for _, i := range from[1:] {
				if t.Candidates[i].Usage.Load() < t.Candidates[best].Usage.Load() {
					best = i
				}
			}
			return best
		})
	}
}
