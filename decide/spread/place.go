package spread

import (
	"slices"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/layer"
)

// The parts of a card's memory that its layers may take to close a hole are tried from
// the planner's own on, in steps of closeStep, up to closeMost: room for a few requests
// is worth more than a place without a chain.
const (
	closeStep = 0.04
	closeMost = 0.88
)

// place plans the moves of one place.
func (p Planner) place(m *catalog.Model, cards []Card) []Move {
	f := newFloor(p, m, slices.Clone(cards))
	var moves []Move
	move := func(i int, r layer.Range) {
		f.move(i, r)
		moves = append(moves, Move{ID: cards[i].ID, Layers: r})
	}
	for i, c := range f.cards {
		if c.Holds.Empty() && !c.Settled && p.size(m, c) > 0 {
			move(i, f.rangeFor(c))
		}
	}
	for fill := p.Fill; !f.hole().Empty() && fill <= closeMost; fill += closeStep {
		for i, r := range f.closing(Planner{Fill: fill}) {
			move(i, r)
		}
	}
	return moves
}

// spares returns the cards that can give up all their layers, since others hold them,
// the slowest first.
func (f *floor) spares() []int {
	copies := slices.Clone(f.copies)
	var list []int
	for i := len(f.cards) - 1; i >= 0; i-- {
		c := f.cards[i]
		if c.Settled || c.Holds.Empty() || slices.Min(copies[c.Holds.First:c.Holds.End]) < 2 {
			continue
		}
		list = append(list, i)
		for l := c.Holds.First; l < c.Holds.End; l++ {
			copies[l]--
		}
	}
	return list
}

// closing returns the new ranges, by card, that have the cards hold all layers again
// with the fewest loads, when none holds more than the planner's fill; nil when they
// cannot. The cards keep the order in which they hold the layers, and those that can be
// spared come in at the hole.
func (f *floor) closing(p Planner) map[int]layer.Range {
	spares := f.spares()
	var order []int
	for i, c := range f.cards {
		if !c.Holds.Empty() && !slices.Contains(spares, i) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return f.cards[a].Holds.First - f.cards[b].Holds.First })
	hole := f.hole()
	at := 0
	for at < len(order) && f.cards[order[at]].Holds.First < hole.First {
		at++
	}
	order = slices.Insert(order, at, spares...)
	t := tiling{layers: f.model.Layers}
	for _, i := range order {
		c := f.cards[i]
		most := p.size(f.model, c)
		if c.Settled {
			most = 0
		}
		t.add(c.Holds, most)
	}
	ranges := t.solve()
	if ranges == nil {
		return nil
	}
	moves := make(map[int]layer.Range)
	for k, i := range order {
		if r := ranges[k]; !r.Empty() && (r.First < f.cards[i].Holds.First || r.End > f.cards[i].Holds.End) {
			moves[i] = r
		}
	}
	return moves
}
