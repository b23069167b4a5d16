package placement

import (
	"math"

	"github.com/grademill/grademill/decide/layer"
)

// moveCost is the cost of giving a card another range, in layers to load, since each order can
// fail or be late.
const moveCost = 2

// tiling finds contiguous ranges for cards that cover all layers at the least cost of loading. The
// cards are in the order of their layers, and each may be left out.
type tiling struct {
	layers int
	tiles  []tile
}

// tile is one card of a tiling.
type tile struct {
	holds layer.Range
	// maxLayers is the most layers that a new range may have, 0 for a card that keeps its own.
	maxLayers int
}

// cost returns the cost of giving a card a range, infinite where the card cannot hold it.
func (t *tiling) cost(card int, r layer.Range) float64 {
	holds := t.tiles[card].holds
	if holds.First <= r.First && r.End <= holds.End {
		return 0
	}
	if r.Len() > t.tiles[card].maxLayers {
		return math.Inf(1)
	}
	kept := r.Intersect(holds)
	return float64(moveCost + r.Len() - kept.Len())
}

// solve returns the range of each card, empty for one that is left out, and their total cost.
// The ranges are nil when the cards cannot cover all layers.
func (t *tiling) solve() ([]layer.Range, float64) {
	n, width := len(t.tiles), t.layers+1
	// least[k*width+end] is the least cost at which the first k cards cover [0, end).
	// from[k*width+end] is then the first layer of card k-1, or -1 when that card is left out.
	least := make([]float64, (n+1)*width)
	from := make([]int, (n+1)*width)
	for i := range least {
		least[i], from[i] = math.Inf(1), -1
	}
	least[0] = 0
	for k := range n {
		before, after := least[k*width:(k+1)*width], least[(k+1)*width:(k+2)*width]
		copy(after, before)
		for first := t.layers - 1; first >= 0; first-- { // on a tie, earlier cards take more layers
			base := before[first]
			if math.IsInf(base, 1) {
				continue
			}
			for end := first + 1; end <= t.layers; end++ {
				cost := base + t.cost(k, layer.Range{First: first, End: end})
				if math.IsInf(cost, 1) && end-first > t.tiles[k].maxLayers && end > t.tiles[k].holds.End {
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
