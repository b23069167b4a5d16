package chain

import (
	"math"
	"slices"

	"github.com/grademill/grademill/decide/layer"
)

// MaxParts is the most parts that a chain may have: engines refuse longer ones.
const MaxParts = 32

// usualParts is the room that a new chain has.
const usualParts = 12

// Holder is an endpoint that holds layers, with what it costs to use it now.
type Holder struct {
	ID, Address string
	// Hall is the index of its data hall in Finder.Hops.
	Hall   int
	Layers layer.Range
	// PerLayer is the cost of one of its layers for one token, in seconds.
	PerLayer float64
	// Fixed is the cost of using it at all, in seconds a token.
	Fixed float64
}

// Finder finds the cheapest chain. It keeps its working memory between calls,
// and is not safe for concurrent use.
type Finder struct {
	// Layers is the number of layers of the model.
	Layers int
	// Hops are the costs of handing a token on from one hall to another, in
	// seconds, by the indexes of the halls.
	Hops [][]float64
	// Entry are the costs of beginning in a hall, by its index.
	Entry []float64

	cuts []int
	// cost and from hold a row for each cut and a column for each holder: the
	// least cost of a chain up to the cut that ends at the holder, and the
	// holder before the last cut.
	cost []float64
	from []int16
	last []int16
}

// Find returns the cheapest chain of holders. Where that would come back to a
// holder, the holder runs the layers between, too: engines take an endpoint only
// once. Find returns false when no chain covers all layers.
func (f *Finder) Find(holders []Holder) (Chain, bool) {
	f.cut(holders)
	if len(f.cuts) < 2 || f.cuts[0] != 0 || f.cuts[len(f.cuts)-1] != f.Layers {
		return nil, false
	}
	f.start(holders)
	for k := 1; k < len(f.cuts); k++ {
		f.advance(k, holders)
	}
	return f.trace(holders)
}

// cut collects the layers at which a chain may change from one holder to the
// next: the ends of all ranges.
func (f *Finder) cut(holders []Holder) {
	f.cuts = f.cuts[:0]
	for _, h := range holders {
		if h.Layers.Empty() || h.Layers.First < 0 || h.Layers.End > f.Layers {
			continue
		}
		f.cuts = append(f.cuts, h.Layers.First, h.Layers.End)
	}
	slices.Sort(f.cuts)
	f.cuts = slices.Compact(f.cuts)
}

// start prepares the tables and the costs before the first layer.
func (f *Finder) start(holders []Holder) {
	size := len(f.cuts) * len(holders)
	f.cost = slices.Grow(f.cost[:0], size)[:size]
	f.from = slices.Grow(f.from[:0], size)[:size]
	f.last = slices.Grow(f.last[:0], len(f.Hops))[:len(f.Hops)]
	for i := range f.cost {
		f.cost[i] = math.Inf(1)
		f.from[i] = -1
	}
}

// advance extends the chains by the layers between the cuts k-1 and k.
func (f *Finder) advance(k int, holders []Holder) {
	n := len(holders)
	low, high := f.cuts[k-1], f.cuts[k]
	before, after := f.cost[(k-1)*n:k*n], f.cost[k*n:(k+1)*n]
	f.cheapest(before, holders)
	for j, h := range holders {
		if h.Layers.First > low || h.Layers.End < high {
			continue
		}
		cost, from := f.enter(k, j, before, holders)
		if before[j] <= cost {
			cost, from = before[j], int16(j)
		}
		after[j] = cost + float64(high-low)*h.PerLayer
		f.from[k*n+j] = from
	}
}

// cheapest notes, for each hall, the holder at which the cheapest chain ends.
func (f *Finder) cheapest(before []float64, holders []Holder) {
	for hall := range f.last {
		f.last[hall] = -1
	}
	for i, cost := range before {
		if math.IsInf(cost, 1) {
			continue
		}
		if best := f.last[holders[i].Hall]; best < 0 || cost < before[best] {
			f.last[holders[i].Hall] = int16(i)
		}
	}
}

// enter returns the least cost of coming to holder j at cut k-1, and from where.
func (f *Finder) enter(k, j int, before []float64, holders []Holder) (float64, int16) {
	h := holders[j]
	if k == 1 {
		return f.Entry[h.Hall] + h.Fixed, -1
	}
	cost, from := math.Inf(1), int16(-1)
	for hall, i := range f.last {
		if i < 0 || int(i) == j {
			continue
		}
		if c := before[i] + f.Hops[hall][h.Hall] + h.Fixed; c < cost {
			cost, from = c, i
		}
	}
	return cost, from
}

// trace follows the cheapest chain back from the last layer.
func (f *Finder) trace(holders []Holder) (Chain, bool) {
	n := len(holders)
	k := len(f.cuts) - 1
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
	chain := make(Chain, 0, usualParts)
	for ; k > 0; k-- {
		if len(chain) > 0 && chain[len(chain)-1].ID == holders[at].ID {
			chain[len(chain)-1].Layers.First = f.cuts[k-1]
		} else {
			chain = append(chain, Part{
				ID: holders[at].ID, Address: holders[at].Address,
				Layers: layer.Range{First: f.cuts[k-1], End: f.cuts[k]},
			})
		}
		if from := f.from[k*n+at]; from >= 0 {
			at = int(from)
		}
	}
	slices.Reverse(chain)
	chain = merge(chain)
	return chain, len(chain) <= MaxParts && chain.Covers(f.Layers)
}

// merge gives a holder that occurs again the layers between its parts. It holds
// them: its layers are one range.
func merge(c Chain) Chain {
	for i := 0; i < len(c); i++ {
		for j := len(c) - 1; j > i; j-- {
			if c[j].ID == c[i].ID {
				c[i].Layers.End = c[j].Layers.End
				c = slices.Delete(c, i+1, j+1)
				break
			}
		}
	}
	return c
}
