package placement

import (
	"math"
	"slices"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/layer"
)

// holderDiscount is the factor by which each holder of a layer lowers the value of another one.
// It exceeds the differences in supply between layers, so the number of holders decides first.
const holderDiscount = 8

// maxSlotScarcity bounds the scarcity of request slots at the first layer. It is far below
// holderDiscount, so that a lack of slots never gives the first layer another holder while other
// layers have fewer.
const maxSlotScarcity = 2

// coverage is the state of a group of cards: how many of them hold each layer, and their
// capacity.
type coverage struct {
	planner Planner
	model   *catalog.Model
	cards   []Card
	// copies is the number of holders of each layer.
	copies []int
	// supply is the number of tokens for which the holders of each layer have room. A card that
	// holds fewer layers than planned counts as filled to the planned share.
	supply []float64
	// fastest is the TokenTimeFactor of the fastest holder of each layer, 0 without holders.
	fastest []float64
	// soleHolderLen is the length of the range of a layer's only holder, 0 unless there is
	// exactly one.
	soleHolderLen []int
}

// newCoverage returns the coverage of a model by cards.
func newCoverage(p Planner, m *catalog.Model, cards []Card) *coverage {
	cov := &coverage{planner: p, model: m, cards: cards}
	cov.recompute()
	return cov
}

// recompute derives the figures of each layer from the ranges of the cards.
func (cov *coverage) recompute() {
	n := cov.model.Layers
	cov.copies, cov.soleHolderLen = make([]int, n), make([]int, n)
	cov.supply, cov.fastest = make([]float64, n), make([]float64, n)
	for _, c := range cov.cards {
		tokenCapacity, pace := cov.tokenCapacity(c), cov.model.Cards[c.Kind].TokenTimeFactor
		for l := max(c.AssignedLayers.First, 0); l < min(c.AssignedLayers.End, n); l++ {
			cov.copies[l]++
			cov.supply[l] += tokenCapacity
			cov.soleHolderLen[l] = 0
			if cov.copies[l] == 1 {
				cov.soleHolderLen[l] = c.AssignedLayers.Len()
			}
			if cov.fastest[l] == 0 || pace < cov.fastest[l] {
				cov.fastest[l] = pace
			}
		}
	}
}

// tokenCapacity returns the number of tokens for which a card has room once it holds at least
// the planned number of layers.
func (cov *coverage) tokenCapacity(c Card) float64 {
	return float64(max(cov.model.Room(cov.model.Cards[c.Kind], max(c.AssignedLayers.Len(), cov.planner.targetLayers(cov.model, c))), 0))
}

// admittedTokens returns the number of tokens that the request slots of the first layer's
// holders admit.
func (cov *coverage) admittedTokens() float64 {
	return float64(cov.copies[0] * cov.model.Slots * (cov.model.Prompt + cov.model.Answer))
}

// assign gives a card another range and recomputes the coverage.
func (cov *coverage) assign(i int, r layer.Range) {
	cov.cards[i].AssignedLayers, cov.cards[i].Fixed = r, true
	cov.recompute()
}

// uncovered returns the first run of layers without a holder, or an empty range.
func (cov *coverage) uncovered() layer.Range {
	first := slices.Index(cov.copies, 0)
	if first < 0 {
		return layer.Range{}
	}
	end := first
	for end < len(cov.copies) && cov.copies[end] == 0 {
		end++
	}
	return layer.Range{First: first, End: end}
}

// rangeFor returns the range for an empty card. Uncovered layers come first: the card takes
// them and, where it is faster than the holders of the layers beside them, those layers too.
// When the gap is small, the card's remaining memory is left to requests. Without uncovered
// layers, the card gets the range in which its value is highest.
func (cov *coverage) rangeFor(c Card) layer.Range {
	targetLayers := cov.planner.targetLayers(cov.model, c)
	if uncovered := cov.uncovered(); !uncovered.Empty() {
		return cov.extend(c, layer.Range{First: uncovered.First, End: min(uncovered.End, uncovered.First+targetLayers)}, targetLayers)
	}
	best, at := 0.0, 0
	for first := cov.model.Layers - targetLayers; first >= 0; first-- {
		if w := cov.value(c, layer.Range{First: first, End: first + targetLayers}); w > best*(1+1e-9) {
			best, at = w, first
		}
	}
	return layer.Range{First: at, End: at + targetLayers}
}

// value returns the benefit of one more card that holds a range. It adds two fractions: the share
// of the group's cards whose loss would no longer uncover layers, weighted by how scarce their
// capacity is, and the share of the time per token that the card saves if it is faster. The slots
// of the first layer's holders count as one more layer: without this, three halls of 59 cards got
// three first endpoints and served 83 instead of all 272 requests per second in time.
func (cov *coverage) value(c Card, r layer.Range) float64 {
	pace := cov.model.Cards[c.Kind].TokenTimeFactor
	supply, time := 0.0, 0.0
	for l := range cov.copies {
		supply += cov.supply[l] / float64(max(cov.copies[l], 1)) / float64(len(cov.copies))
		time += cov.fastest[l]
	}
	resilience, speedup := 0.0, 0.0
	for l := r.First; l < r.End; l++ {
		scarcity := math.Pow(holderDiscount, 1-float64(cov.copies[l])) * supply / (cov.supply[l] + 1)
		if cov.soleHolderLen[l] > 0 {
			scarcity /= float64(cov.soleHolderLen[l])
		} else {
			scarcity /= float64(r.Len())
		}
		resilience += scarcity
		speedup += max(cov.fastest[l]-pace, 0)
	}
	if r.First == 0 && cov.model.Slots > 0 {
		resilience += math.Pow(holderDiscount, 1-float64(cov.copies[0])) * min(supply/(cov.admittedTokens()+1), maxSlotScarcity)
	}
	return resilience/float64(len(cov.cards)) + speedup/time
}

// extend grows a range to at most size layers, over adjacent layers that only slower cards hold,
// so that a fast card that returns takes its layers back from the slow cards that replaced it.
func (cov *coverage) extend(c Card, r layer.Range, size int) layer.Range {
	slower := func(l int) bool {
		return l >= 0 && l < cov.model.Layers && cov.fastest[l] > cov.model.Cards[c.Kind].TokenTimeFactor
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
