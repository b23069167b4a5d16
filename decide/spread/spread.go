// Package spread decides which layers of a model the cards of each data hall
// hold.
package spread

import (
	"cmp"
	"math"
	"slices"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/layer"
)

// Card is an accelerator that may hold layers.
type Card struct {
	ID, Hall string
	// Kind is its kind in the model's cards.
	Kind string
	// Holds are the layers that it holds, or has been ordered to hold.
	Holds layer.Range
	// Settled is set when it must not get another range now.
	Settled bool
	// InUse is set while requests pass through it: it is moved only to close a hole.
	InUse bool
}

// Move is a decision to have a card hold layers.
type Move struct {
	ID     string
	Layers layer.Range
}

// Planner plans moves. The zero Planner is ready to use.
type Planner struct {
	// Fill is the part of a card's memory that its layers take, 0 for
	// DefaultFill; the rest holds requests.
	Fill float64
}

// DefaultFill gives each hall of the users' sites one copy of a model and a third of a
// second. What a chain serves grows with the room of its cards, and what it loses with
// the cards whose loss leaves a hole. Mean worth of the days with trouble, 25 of the site
// with the smallest cards and 10 of each of two others: 0.604, 0.784 and 0.789 with 0.6,
// 0.619, 0.784 and 0.782 with 0.66; with an earlier planner 0.574 and 0.555 of the first
// with 0.73 and 0.78.
const DefaultFill = 0.66

// fullest is the part of a card's memory that its layers may take at most.
const fullest = 0.9

// Plan returns the moves that give each hall chains of its own. It is a pure
// function of what the cards hold. Cards that hold layers keep them, but for those
// that close a hole. Cards without layers take those that the fewest others hold,
// the fastest cards first. Halls that cannot hold a copy of the model are planned
// as one.
func (p Planner) Plan(m *catalog.Model, cards []Card) []Move {
	if p.Fill <= 0 {
		p.Fill = DefaultFill
	}
	var moves []Move
	for _, list := range places(m, cards) {
		moves = append(moves, p.place(m, list)...)
	}
	slices.SortFunc(moves, func(a, b Move) int { return cmp.Compare(a.ID, b.ID) })
	return moves
}

// places returns the cards of each hall, the fastest first. The halls that cannot
// hold a copy of the model make one place together.
func places(m *catalog.Model, cards []Card) [][]Card {
	halls := make(map[string][]Card)
	for _, c := range cards {
		if c.Holds.First < 0 || c.Holds.End > m.Layers {
			continue // it holds another model's layers, or its record is wrong
		}
		halls[c.Hall] = append(halls[c.Hall], c)
	}
	var list [][]Card
	var small []Card
	for _, hall := range halls {
		if capacity(m, hall) < m.Layers {
			small = append(small, hall...)
			continue
		}
		list = append(list, hall)
	}
	if len(small) > 0 {
		list = append(list, small)
	}
	for _, place := range list {
		slices.SortFunc(place, func(a, b Card) int {
			return cmp.Or(cmp.Compare(m.Cards[a.Kind].Pace, m.Cards[b.Kind].Pace), cmp.Compare(a.ID, b.ID))
		})
	}
	return list
}

// capacity returns the number of layers that cards hold at most.
func capacity(m *catalog.Model, cards []Card) int {
	layers := 0
	for _, c := range cards {
		layers += most(m, c)
	}
	return layers
}

// most returns the number of layers that a card holds at most, 0 for a card of an
// unknown kind.
func most(m *catalog.Model, c Card) int {
	return min(int(fullest*m.Cards[c.Kind].Memory/m.LayerSize), m.Layers)
}

// size returns the number of layers that fill a part of a card's memory, 0 for a
// card of an unknown kind.
func (p Planner) size(m *catalog.Model, c Card) int {
	return min(int(math.Round(p.Fill*m.Cards[c.Kind].Memory/m.LayerSize)), most(m, c))
}
