package chain

import (
	"math"
	"slices"

	"github.com/grademill/grademill/decide/layer"
)

// MaxStages is the largest number of stages in a chain. Engines refuse longer chains.
const MaxStages = 32

// initialCapacity is the capacity of a new chain.
const initialCapacity = 12

// Holder is an endpoint that holds layers, with the current cost of using it.
type Holder struct {
	// ID may be that of another incarnation as well, Address tells the holders of a search apart.
	ID, Address string
	// Hall is the name of its data hall.
	Hall   string
	Layers layer.Range
	// CostPerLayer is the cost of one layer for one token, in seconds.
	CostPerLayer float64
	// FixedCost is the cost per token that does not depend on the number of layers, in seconds.
	FixedCost float64
}

// Finder finds the cheapest chain. It reuses its working memory between calls and is not safe
// for concurrent use.
type Finder struct {
	// Layers is the number of layers of the model.
	Layers int
	// Home is the name of the hall from which requests enter. The cost of starting a chain there is
	// EntryCost, and in any other hall RemoteEntryCost, in seconds per token.
	Home                       string
	EntryCost, RemoteEntryCost float64
	// HopCost is the cost of passing a token on within a hall, RemoteHopCost to another hall, in
	// seconds per token.
	HopCost, RemoteHopCost float64

	boundaries []int
	// halls holds the names of the holders' halls, hallOf the index in halls of each holder's.
	halls  []string
	hallOf []int16
	// cost and from have a row for each boundary and a column for each holder: the least cost
	// of a chain up to the boundary that ends at the holder, and the holder that runs the layers
	// before the previous boundary.
	cost         []float64
	from         []int16
	cheapestEnds []int16
}

// Find returns the cheapest chain of holders, and false when none of at most MaxStages covers
// all layers. Where the cheapest chain would return to a holder, that holder runs the layers
// between as well, since engines accept each endpoint only once in a chain.
func (f *Finder) Find(holders []Holder) (Chain, bool) {
	f.collectBoundaries(holders)
	if len(f.boundaries) < 2 || f.boundaries[0] != 0 || f.boundaries[len(f.boundaries)-1] != f.Layers {
		return nil, false
	}
	f.reset(holders)
	for k := 1; k < len(f.boundaries); k++ {
		f.advance(k, holders)
	}
	return f.trace(holders)
}

// FindNear returns the cheapest chain of holders of one hall or, if there is none and mayLeave returns
// true, the cheapest chain of all of them. It calls mayLeave only if there is such a chain.
func (f *Finder) FindNear(holders []Holder, mayLeave func() bool) (Chain, bool) {
	if found, ok := f.findInHall(holders); ok {
		return found, true
	}
	if found, ok := f.Find(holders); ok && mayLeave() {
		return found, true
	}
	return nil, false
}

// findInHall is like Find, for holders of one hall.
func (f *Finder) findInHall(holders []Holder) (Chain, bool) {
	remote := f.RemoteHopCost
	f.RemoteHopCost = math.Inf(1)
	defer func() { f.RemoteHopCost = remote }()
	return f.Find(holders)
}

// collectBoundaries collects the layers at which a chain may change holders: the ends of all
// ranges.
func (f *Finder) collectBoundaries(holders []Holder) {
	f.boundaries = f.boundaries[:0]
	for _, h := range holders {
		if h.Layers.Empty() || h.Layers.First < 0 || h.Layers.End > f.Layers {
			continue
		}
		f.boundaries = append(f.boundaries, h.Layers.First, h.Layers.End)
	}
	slices.Sort(f.boundaries)
	f.boundaries = slices.Compact(f.boundaries)
}

// reset clears the tables.
func (f *Finder) reset(holders []Holder) {
	size := len(f.boundaries) * len(holders)
	f.cost = slices.Grow(f.cost[:0], size)[:size]
	f.from = slices.Grow(f.from[:0], size)[:size]
	f.numberHalls(holders)
	f.cheapestEnds = slices.Grow(f.cheapestEnds[:0], len(f.halls))[:len(f.halls)]
	for i := range f.cost {
		f.cost[i] = math.Inf(1)
		f.from[i] = -1
	}
}

// numberHalls fills halls and hallOf.
func (f *Finder) numberHalls(holders []Holder) {
	f.halls, f.hallOf = f.halls[:0], f.hallOf[:0]
	for _, h := range holders {
		i := slices.Index(f.halls, h.Hall)
		if i < 0 {
			i = len(f.halls)
			f.halls = append(f.halls, h.Hall)
		}
		f.hallOf = append(f.hallOf, int16(i))
	}
}

// advance extends the chains by the layers between boundaries k-1 and k.
func (f *Finder) advance(k int, holders []Holder) {
	n := len(holders)
	low, high := f.boundaries[k-1], f.boundaries[k]
	before, after := f.cost[(k-1)*n:k*n], f.cost[k*n:(k+1)*n]
	f.findCheapestEnds(before)
	for j, h := range holders {
		if h.Layers.First > low || h.Layers.End < high {
			continue
		}
		cost, from := f.cheapestEntry(k, j, before, holders)
		if before[j] <= cost {
			cost, from = before[j], int16(j)
		}
		after[j] = cost + float64(high-low)*h.CostPerLayer
		f.from[k*n+j] = from
	}
}

// findCheapestEnds finds, for each hall, the holder at which the cheapest chain ends.
func (f *Finder) findCheapestEnds(before []float64) {
	for hall := range f.cheapestEnds {
		f.cheapestEnds[hall] = -1
	}
	for i, cost := range before {
		if math.IsInf(cost, 1) {
			continue
		}
		if best := f.cheapestEnds[f.hallOf[i]]; best < 0 || cost < before[best] {
			f.cheapestEnds[f.hallOf[i]] = int16(i)
		}
	}
}

// cheapestEntry returns the least cost of entering holder j at boundary k-1, and the holder
// before it, -1 for none.
func (f *Finder) cheapestEntry(k, j int, before []float64, holders []Holder) (float64, int16) {
	h := holders[j]
	if k == 1 {
		if h.Hall == f.Home {
			return f.EntryCost + h.FixedCost, -1
		}
		return f.RemoteEntryCost + h.FixedCost, -1
	}
	cost, from := math.Inf(1), int16(-1)
	for hall, i := range f.cheapestEnds {
		if i < 0 || int(i) == j {
			continue
		}
		hop := f.RemoteHopCost
		if hall == int(f.hallOf[j]) {
			hop = f.HopCost
		}
		if c := before[i] + hop + h.FixedCost; c < cost {
			cost, from = c, i
		}
	}
	return cost, from
}

// trace follows the cheapest chain back from the last layer.
func (f *Finder) trace(holders []Holder) (Chain, bool) {
	n := len(holders)
	k := len(f.boundaries) - 1
	end := f.cost[k*n : (k+1)*n]
	at := 0
	for i := range end {
		if end[i] < end[at] {
			at = i
		}
	}
	if math.IsInf(end[at], 1) {
		return nil, false
	}
	chain := make(Chain, 0, initialCapacity)
	for ; k > 0; k-- {
		if len(chain) > 0 && chain[len(chain)-1].Address == holders[at].Address {
			chain[len(chain)-1].Layers.First = f.boundaries[k-1]
		} else {
			chain = append(chain, Stage{
				ID: holders[at].ID, Address: holders[at].Address,
				Layers: layer.Range{First: f.boundaries[k-1], End: f.boundaries[k]},
			})
		}
		if from := f.from[k*n+at]; from >= 0 {
			at = int(from)
		}
	}
	slices.Reverse(chain)
	chain = merge(chain)
	return chain, len(chain) <= MaxStages && chain.Covers(f.Layers)
}

// merge gives a holder that occurs again the layers between its parts. The holder has these
// layers, since it holds a single range.
func merge(c Chain) Chain {
	for i := 0; i < len(c); i++ {
		for j := len(c) - 1; j > i; j-- {
			if c[j].Address == c[i].Address {
				c[i].Layers.End = c[j].Layers.End
				c = slices.Delete(c, i+1, j+1)
				break
			}
		}
	}
	return c
}
