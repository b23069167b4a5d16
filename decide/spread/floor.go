package spread

import (
	"math"
	"slices"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/layer"
)

// holderWeight is how much less a layer needs another holder for each that it has:
// more than the supply of cards differs.
const holderWeight = 8

// floor is what holds each layer of a place.
type floor struct {
	planner Planner
	model   *catalog.Model
	// copies are the numbers of holders.
	copies []int
	// supply is what the holders offer: the tokens that fit beside their layers, no
	// more than if they held their fill, nor than the slots of a first endpoint let
	// in; less for slow cards, by the root of their pace. With the tokens alone the
	// fast cards that come back after a failure go where slow ones do the work
	// already; with the pace itself the layers of slow cards get all copies.
	supply []float64
}

// newFloor returns the floor of cards.
func newFloor(p Planner, m *catalog.Model, cards []Card) *floor {
	f := &floor{planner: p, model: m, copies: make([]int, m.Layers), supply: make([]float64, m.Layers)}
	for _, c := range cards {
		f.count(c, c.Holds, 1)
	}
	return f
}

// count adds a card that holds a range n times.
func (f *floor) count(c Card, r layer.Range, n int) {
	kind := f.model.Cards[c.Kind]
	room := float64(max(f.model.Room(kind, max(r.Len(), f.planner.size(f.model, c))), 0))
	if r.First == 0 && f.model.Slots > 0 {
		room = min(room, float64(f.model.Slots*(f.model.Prompt+f.model.Answer)))
	}
	offer := room / math.Sqrt(max(kind.Pace, 1))
	for l := max(r.First, 0); l < min(r.End, len(f.copies)); l++ {
		f.copies[l] += n
		f.supply[l] += float64(n) * offer
	}
}

// hole returns the first run of layers that no card holds, empty for none.
func (f *floor) hole() layer.Range {
	first := slices.Index(f.copies, 0)
	if first < 0 {
		return layer.Range{}
	}
	return f.run(first)
}

// run returns the run of layers from first on that have as many copies.
func (f *floor) run(first int) layer.Range {
	end := first
	for end < len(f.copies) && f.copies[end] == f.copies[first] {
		end++
	}
	return layer.Range{First: first, End: end}
}

// scarcest returns the range for a card that holds so many layers. Holes come first; a
// hole that is smaller stays so: the memory it leaves holds requests. Otherwise it is the
// range with the fewest holders and, among those, the least supply; the last of equal
// ones, since a request can be moved while it runs, but not away from its first endpoint.
func (f *floor) scarcest(size int) layer.Range {
	if hole := f.hole(); !hole.Empty() {
		return layer.Range{First: hole.First, End: min(hole.End, hole.First+size)}
	}
	best, at := 0.0, 0
	for first := f.model.Layers - size; first >= 0; first-- {
		need := 0.0
		for l := first; l < first+size; l++ {
			need += math.Pow(holderWeight, -float64(f.copies[l])) / (f.supply[l] + 1)
		}
		if need > best*(1+1e-9) {
			best, at = need, first
		}
	}
	return layer.Range{First: at, End: at + size}
}

// over returns the range of a card that closes a hole, extended over the layers beside it
// that only slower cards hold, up to its size: a fast card that comes back takes its layers
// over from those that stood in for it.
func (f *floor) over(cards []Card, c Card, r layer.Range, size int) layer.Range {
	fastest := make([]float64, f.model.Layers)
	for _, other := range cards {
		pace := f.model.Cards[other.Kind].Pace
		for l := max(other.Holds.First, 0); l < min(other.Holds.End, f.model.Layers); l++ {
			if fastest[l] == 0 || pace < fastest[l] {
				fastest[l] = pace
			}
		}
	}
	slower := func(l int) bool {
		return l >= 0 && l < f.model.Layers && fastest[l] > f.model.Cards[c.Kind].Pace
	}
	for r.Len() < size {
		switch {
		case slower(r.First - 1):
			r.First--
		case slower(r.End):
			r.End++
		default:
			return r
		}
	}
	return r
}
