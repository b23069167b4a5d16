package spread

import (
	"math"

	"github.com/grademill/grademill/decide/layer"
)

// moveCost is what it costs to give a card another range, in layers to load: each order
// can fail or be late.
const moveCost = 2

// tiling lays the ranges of cards end to end over all layers with the fewest loads. The
// cards come in the order of their layers, and each may be left out.
type tiling struct {
	layers int
	tiles  []tile
}

// tile is a card of a tiling.
type tile struct {
	holds layer.Range
	// most are the layers that it may hold in a new range, 0 for one that keeps its own.
	most int
}

// cost returns what it costs to have a card hold a range, infinite where it cannot.
func (t *tiling) cost(card int, r layer.Range) float64 {
	holds := t.tiles[card].holds
	if holds.First <= r.First && r.End <= holds.End {
		return 0
	}
	if r.Len() > t.tiles[card].most {
		return math.Inf(1)
	}
	kept := r.Intersect(holds)
	return float64(moveCost + r.Len() - kept.Len())
}

// solve returns the range of each card, empty for one that is left out, and what they
// cost; nil when the cards cannot hold all layers.
func (t *tiling) solve() ([]layer.Range, float64) {
	n, width := len(t.tiles), t.layers+1
	// least[k*width+end] is the least cost at which the first k cards hold [0, end),
	// from[...] the first layer of card k there, -1 when it is left out.
	least := make([]float64, (n+1)*width)
	from := make([]int, (n+1)*width)
	for i := range least {
		least[i], from[i] = math.Inf(1), -1
	}
	least[0] = 0
	for k := range n {
		before, after := least[k*width:(k+1)*width], least[(k+1)*width:(k+2)*width]
		copy(after, before)
		for first := t.layers - 1; first >= 0; first-- { // of equal ways, earlier cards take more
			base := before[first]
			if math.IsInf(base, 1) {
				continue
			}
			for end := first + 1; end <= t.layers; end++ {
				cost := base + t.cost(k, layer.Range{First: first, End: end})
				if math.IsInf(cost, 1) && end-first > t.tiles[k].most && end > t.tiles[k].holds.End {
					break
				}
				if cost < after[end] {
					after[end] = cost
					from[(k+1)*width+end] = first
				}
			}
		}
	}
	total := least[n*width+t.layers]
	if math.IsInf(total, 1) {
		return nil, total
	}
	ranges := make([]layer.Range, n)
	end := t.layers
	for k := n; k > 0; k-- {
		if first := from[k*width+end]; first >= 0 {
			ranges[k-1] = layer.Range{First: first, End: end}
			end = first
		}
	}
	return ranges, total
}
