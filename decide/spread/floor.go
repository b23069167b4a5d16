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

// slotsWeight is how much more than a layer the slots of first endpoints count at most:
// little beside holderWeight, so that no layer has fewer holders than the first for them.
const slotsWeight = 2

// floor is what holds each layer of a place.
type floor struct {
	planner Planner
	model   *catalog.Model
	cards   []Card
	// copies are the numbers of holders.
	copies []int
	// supply is what the holders offer: the tokens that fit beside their layers, no
	// more than if they held their fill.
	supply []float64
	// fastest is the pace of the fastest holder, 0 for none.
	fastest []float64
	// alone is the length of the range of the only holder; 0 where there are others.
	alone []int
}

// newFloor returns the floor of cards.
func newFloor(p Planner, m *catalog.Model, cards []Card) *floor {
	f := &floor{planner: p, model: m, cards: cards}
	f.measure()
	return f
}

// measure works out what the cards hold.
func (f *floor) measure() {
	n := f.model.Layers
	f.copies, f.alone = make([]int, n), make([]int, n)
	f.supply, f.fastest = make([]float64, n), make([]float64, n)
	for _, c := range f.cards {
		offer, pace := f.offer(c), f.model.Cards[c.Kind].Pace
		for l := max(c.Holds.First, 0); l < min(c.Holds.End, n); l++ {
			f.copies[l]++
			f.supply[l] += offer
			f.alone[l] = 0
			if f.copies[l] == 1 {
				f.alone[l] = c.Holds.Len()
			}
			if f.fastest[l] == 0 || pace < f.fastest[l] {
				f.fastest[l] = pace
			}
		}
	}
}

// offer returns the tokens for which a card has room.
func (f *floor) offer(c Card) float64 {
	return float64(max(f.model.Room(f.model.Cards[c.Kind], max(c.Holds.Len(), f.planner.size(f.model, c))), 0))
}

// entry returns the tokens that the slots of the holders of the first layer let in.
func (f *floor) entry() float64 {
	return float64(f.copies[0] * f.model.Slots * (f.model.Prompt + f.model.Answer))
}

// move gives a card other layers.
func (f *floor) move(i int, r layer.Range) {
	f.cards[i].Holds, f.cards[i].Settled = r, true
	f.measure()
}

// hole returns the first run of layers that no card holds, empty for none.
func (f *floor) hole() layer.Range {
	first := slices.Index(f.copies, 0)
	if first < 0 {
		return layer.Range{}
	}
	end := first
	for end < len(f.copies) && f.copies[end] == 0 {
		end++
	}
	return layer.Range{First: first, End: end}
}

// rangeFor returns the range for an empty card. Holes come first: a card takes what is
// missing and, as far as it is faster than those beside the hole, their layers; the memory
// that a small hole leaves holds requests. Where nothing is missing it is the range in
// which the card is worth most.
func (f *floor) rangeFor(c Card) layer.Range {
	size := f.planner.size(f.model, c)
	if hole := f.hole(); !hole.Empty() {
		return f.over(c, layer.Range{First: hole.First, End: min(hole.End, hole.First+size)}, size)
	}
	best, at := 0.0, 0
	for first := f.model.Layers - size; first >= 0; first-- {
		if w := f.worth(c, layer.Range{First: first, End: first + size}); w > best*(1+1e-9) {
			best, at = w, first
		}
	}
	return layer.Range{First: at, End: at + size}
}

// worth returns what another holder of a range is worth: the share of the cards whose
// loss would not leave a hole any more, weighed by how scarce what they offer is, and the
// share of a token's time that a faster card saves. The slots of first endpoints count as
// a layer before the first. Without them three halls of 59 cards had three first endpoints
// and served 83 requests a second in time where 272 came; with them 272.
func (f *floor) worth(c Card, r layer.Range) float64 {
	pace := f.model.Cards[c.Kind].Pace
	supply, time := 0.0, 0.0
	for l := range f.copies {
		supply += f.supply[l] / float64(max(f.copies[l], 1)) / float64(len(f.copies))
		time += f.fastest[l]
	}
	spared, saved := 0.0, 0.0
	for l := r.First; l < r.End; l++ {
		scarce := math.Pow(holderWeight, 1-float64(f.copies[l])) * supply / (f.supply[l] + 1)
		if f.alone[l] > 0 {
			scarce /= float64(f.alone[l])
		} else {
			scarce /= float64(r.Len())
		}
		spared += scarce
		saved += max(f.fastest[l]-pace, 0)
	}
	if r.First == 0 && f.model.Slots > 0 {
		spared += math.Pow(holderWeight, 1-float64(f.copies[0])) * min(supply/(f.entry()+1), slotsWeight)
	}
	return spared/float64(len(f.cards)) + saved/time
}

// over returns a range extended over the layers beside it that only slower cards hold,
// up to a size: a fast card that comes back takes its layers over from its stand-ins.
func (f *floor) over(c Card, r layer.Range, size int) layer.Range {
	slower := func(l int) bool {
		return l >= 0 && l < f.model.Layers && f.fastest[l] > f.model.Cards[c.Kind].Pace
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
