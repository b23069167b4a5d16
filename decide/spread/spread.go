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

// DefaultFill gives each hall of the users' sites one copy of a model and a part
// of a second. Measured on their standard days, mean worth on both sites: 0.63 and
// 0.65 with 0.42, 0.72 and 0.69 with 0.5, 0.74 and 0.73 with 0.56, 0.78 and 0.75
// with 0.6, 0.78 and 0.73 with 0.68. Less leaves a hall without a chain when one
// card fails; more leaves too little room for requests.
const DefaultFill = 0.6

// Plan returns the moves that give each hall chains of its own. It is a pure
// function of what the cards hold: cards that hold layers keep them, but for one
// whose layers others in the hall hold too and which fills a hole; cards without
// layers take the first range that the fewest cards of their hall hold.
func (p Planner) Plan(m *catalog.Model, cards []Card) []Move {
	if p.Fill <= 0 {
		p.Fill = DefaultFill
	}
	halls := make(map[string][]Card)
	for _, c := range cards {
		halls[c.Hall] = append(halls[c.Hall], c)
	}
	var moves []Move
	for _, list := range halls {
		moves = append(moves, p.hall(m, list)...)
	}
	slices.SortFunc(moves, func(a, b Move) int { return cmp.Compare(a.ID, b.ID) })
	return moves
}

// hall plans the moves of one hall.
func (p Planner) hall(m *catalog.Model, cards []Card) []Move {
	slices.SortFunc(cards, func(a, b Card) int {
		return cmp.Or(cmp.Compare(m.Cards[a.Kind].Pace, m.Cards[b.Kind].Pace), cmp.Compare(a.ID, b.ID))
	})
	copies := make([]int, m.Layers)
	for _, c := range cards {
		count(copies, c.Holds, 1)
	}
	var moves []Move
	for _, c := range cards {
		if !c.Holds.Empty() || c.Settled {
			continue
		}
		size := size(m, c, p.Fill)
		if size == 0 {
			continue
		}
		r := thinnest(copies, size)
		count(copies, r, 1)
		moves = append(moves, Move{ID: c.ID, Layers: r})
	}
	if move, ok := p.mend(m, cards, copies); ok && len(moves) == 0 {
		moves = append(moves, move)
	}
	return moves
}

// mend finds a card whose layers others hold too, and which can fill a hole.
func (p Planner) mend(m *catalog.Model, cards []Card, copies []int) (Move, bool) {
	if !slices.Contains(copies, 0) || slices.Max(copies) < 2 {
		return Move{}, false
	}
	for i := len(cards) - 1; i >= 0; i-- {
		c := cards[i]
		if c.Settled || c.Holds.Empty() || slices.Min(copies[c.Holds.First:c.Holds.End]) < 2 {
			continue
		}
		r := thinnest(copies, size(m, c, p.Fill))
		if copies[r.First] > 0 {
			continue
		}
		return Move{ID: c.ID, Layers: r}, true
	}
	return Move{}, false
}

// size returns the number of layers that fill a part of a card's memory, 0 for a
// card of an unknown kind.
func size(m *catalog.Model, c Card, fill float64) int {
	return min(int(math.Round(fill*m.Cards[c.Kind].Memory/m.LayerSize)), m.Layers)
}

// count adds n to the copies of a range.
func count(copies []int, r layer.Range, n int) {
	for l := max(r.First, 0); l < min(r.End, len(copies)); l++ {
		copies[l] += n
	}
}

// thinnest returns the first run of layers with the fewest copies, of size
// layers at most. A run that is shorter stays so: the memory it leaves holds
// requests.
func thinnest(copies []int, size int) layer.Range {
	least := slices.Min(copies)
	first := slices.Index(copies, least)
	end := first
	for end < len(copies) && end-first < size && copies[end] == least {
		end++
	}
	return layer.Range{First: first, End: end}
}
