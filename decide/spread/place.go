package spread

import (
	"slices"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/layer"
)

// The parts of a card's memory up to which it may take on layers next to its own,
// to close a hole: it goes on serving meanwhile, with less room. A few layers cost
// little; more are taken on only where no other card can be had.
const (
	stretchedLittle = 0.68
	stretchedFar    = 0.8
)

// place plans the moves of one place.
func (p Planner) place(m *catalog.Model, cards []Card) []Move {
	cards = slices.Clone(cards)
	f := newFloor(p, m, cards)
	var moves []Move
	move := func(i int, r layer.Range) {
		f.count(cards[i], cards[i].Holds, -1)
		f.count(cards[i], r, 1)
		cards[i].Holds, cards[i].Settled = r, true
		moves = append(moves, Move{ID: cards[i].ID, Layers: r})
	}
	for i, c := range cards {
		if size := p.size(m, c); c.Holds.Empty() && !c.Settled && size > 0 {
			move(i, f.scarcest(size))
		}
	}
	for hole := f.hole(); !hole.Empty(); hole = f.hole() {
		i, r := f.stretch(cards, hole, stretchedLittle)
		if i < 0 || r.Len()-cards[i].Holds.Len() < hole.Len() {
			i, r = p.donate(f, cards, hole)
		}
		if i < 0 {
			i, r = f.stretch(cards, hole, stretchedFar)
		}
		if i < 0 {
			break
		}
		move(i, r)
	}
	return moves
}

// stretch finds the card beside a hole that can take most of it on, up to a part of
// its memory, with its new range; -1 for none.
func (f *floor) stretch(cards []Card, hole layer.Range, fill float64) (int, layer.Range) {
	best, wider, gain := -1, layer.Range{}, 0
	for i, c := range cards {
		if c.Settled || c.Holds.Empty() {
			continue
		}
		spare := min(int(fill*f.model.Cards[c.Kind].Memory/f.model.LayerSize)-c.Holds.Len(), hole.Len())
		r := c.Holds
		switch {
		case r.End == hole.First:
			r.End += spare
		case r.First == hole.End:
			r.First -= spare
		default:
			continue
		}
		if spare > gain {
			best, wider, gain = i, r, spare
		}
	}
	return best, wider
}

// donate finds the slowest card whose layers others hold, too, with the part of a
// hole that it can take; -1 for none.
func (p Planner) donate(f *floor, cards []Card, hole layer.Range) (int, layer.Range) {
	for i := len(cards) - 1; i >= 0; i-- {
		c := cards[i]
		if c.Settled || c.Holds.Empty() || slices.Min(f.copies[c.Holds.First:c.Holds.End]) < 2 {
			continue
		}
		if size := min(p.size(f.model, c), hole.Len()); size > 0 {
			return i, layer.Range{First: hole.First, End: hole.First + size}
		}
	}
	return -1, layer.Range{}
}
