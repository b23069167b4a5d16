// Package placement plans which layers of a model each accelerator card holds, so that every data
// hall can serve chains of its own. Planner.Plan returns the cards to load with other layers.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/layer"
)

// Card is an accelerator card that can hold layers of a model.
type Card struct {
	ID, Hall string
	// Kind is the key of its catalog.Card in the model's Cards.
	Kind string
	// AssignedLayers is the range that the card holds or has been ordered to load.
	AssignedLayers layer.Range
	// Fixed is set while the card must not be given another range.
	Fixed bool
	// InUse is set while requests run on the card. Such a card moves only to cover layers that
	// no card holds.
	InUse bool
}

// Move is a decision to load a range of layers onto a card.
type Move struct {
	ID     string
	Layers layer.Range
}

// Planner plans moves. The zero Planner is ready to use.
type Planner struct {
	// Fill is the fraction of a card's memory that layers take, 0 for DefaultFill. The rest
	// holds requests.
	Fill float64
	// EvenRoom gives empty cards the ranges with which the layer with the least room for requests
	// has most of it, as far as the loss of any card leaves as much as without EvenRoom and the
	// time per token is at most a tenth longer. A group that covers all layers then moves no
	// card to where its value is higher.
	EvenRoom bool
}

// DefaultFill gives each hall one copy of a model and a third of a second one. A lower fill
// leaves more room for requests; a higher one leaves fewer cards whose loss uncovers layers. On
// days with failures, halls of the smallest cards served 0.604 of the total value of all requests
// at a fill of 0.6 and 0.619 at 0.66; an earlier planner served 0.574 at 0.73 and 0.555 at 0.78.
// Two fleets of larger cards served 0.784 and 0.789 at 0.6, and 0.784 and 0.782 at 0.66.
const DefaultFill = 0.66

// maxFill is the largest fraction of a card's memory that layers may take.
const maxFill = 0.9

// Plan returns the moves that give each hall chains of its own, sorted by card ID. It is a pure
// function of its arguments and does not depend on the order of the cards. Empty cards, the
// fastest first, take the layers that the fewest others hold. Cards that hold layers keep them
// unless they must cover missing layers or Plan rebalances them. Halls that cannot hold a copy
// of the model are planned together.
func (p Planner) Plan(m *catalog.Model, cards []Card) []Move {
	if p.Fill <= 0 {
		p.Fill = DefaultFill
	}
	var moves []Move
	for _, list := range hallGroups(m, cards) {
		moves = append(moves, p.planGroup(m, list)...)
	}
	slices.SortFunc(moves, func(a, b Move) int { return cmp.Compare(a.ID, b.ID) })
	return moves
}

// hallGroups returns the cards of each hall, the fastest first. All halls that cannot hold a
// copy of the model form one group. Cards with a range outside the model are left out.
func hallGroups(m *catalog.Model, cards []Card) [][]Card {
	halls := make(map[string][]Card)
	for _, c := range cards {
		if c.AssignedLayers.First < 0 || c.AssignedLayers.End > m.Layers {
			continue // the layers are another model's, or the record is wrong
		}
		halls[c.Hall] = append(halls[c.Hall], c)
	}
	var list [][]Card
	var small []Card
	for _, hall := range halls {
		if maxTotalLayers(m, hall) < m.Layers {
			small = append(small, hall...)
			continue
		}
		list = append(list, hall)
	}
	if len(small) > 0 {
		list = append(list, small)
	}
	for _, group := range list {
		slices.SortFunc(group, func(a, b Card) int {
			return cmp.Or(cmp.Compare(m.Cards[a.Kind].TokenTimeFactor, m.Cards[b.Kind].TokenTimeFactor), cmp.Compare(a.ID, b.ID))
		})
	}
	return list
}

// maxTotalLayers returns the largest number of layers that cards can hold together.
func maxTotalLayers(m *catalog.Model, cards []Card) int {
	layers := 0
	for _, c := range cards {
		layers += maxLayers(m, c)
	}
	return layers
}

// maxLayers returns the largest number of layers that a card can hold, 0 for a card of an
// unknown kind.
func maxLayers(m *catalog.Model, c Card) int {
	return min(int(maxFill*m.Cards[c.Kind].Memory/m.LayerSize), m.Layers)
}

// targetLayers returns the number of layers that fill the planned fraction of a card's memory,
// 0 for a card of an unknown kind.
func (p Planner) targetLayers(m *catalog.Model, c Card) int {
	return min(int(math.Round(p.Fill*m.Cards[c.Kind].Memory/m.LayerSize)), maxLayers(m, c))
}
