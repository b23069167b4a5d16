package spread

import (
	"math"
	"slices"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/layer"
)

// The parts of a card's memory that its layers may take to close a hole are tried from
// the planner's own on, in steps of closeStep, up to closeMost: room for a few requests
// is worth more than a place without a chain. Each step counts as closeCost layers to
// load, for the room that it takes from requests.
const (
	closeStep = 0.04
	closeMost = 0.88
	closeCost = 12
)

// place plans the moves of one place.
func (p Planner) place(m *catalog.Model, cards []Card) []Move {
	f := newFloor(p, m, slices.Clone(cards))
	moves := make(map[int]layer.Range)
	move := func(i int, r layer.Range) {
		f.move(i, r)
		moves[i] = r
	}
	for i, c := range f.cards {
		if c.Holds.Empty() && !c.Settled && p.size(m, c) > 0 {
			move(i, f.rangeFor(c))
		}
	}
	if !f.hole().Empty() {
		for i, r := range f.close() {
			move(i, r)
		}
	} else if i, r, ok := f.ease(); ok && len(moves) == 0 {
		move(i, r)
	}
	list := make([]Move, 0, len(moves))
	for i, r := range moves {
		list = append(list, Move{ID: cards[i].ID, Layers: r})
	}
	return list
}

// close returns the new ranges, by card, that close the holes at the least cost; nil when
// the cards cannot hold all layers.
func (f *floor) close() map[int]layer.Range {
	var best map[int]layer.Range
	least := math.Inf(1)
	for step := 0; ; step++ {
		fill := f.planner.Fill + float64(step)*closeStep
		if fill > closeMost {
			return best
		}
		moves, cost := f.closing(Planner{Fill: fill})
		if cost += float64(step * closeCost); moves != nil && cost < least {
			best, least = moves, cost
		}
	}
}

// spares returns the cards that can give up all their layers, since others hold them
// already, the slowest first.
func (f *floor) spares() []int {
	copies := slices.Clone(f.copies)
	for _, c := range f.cards {
		for l := max(c.Holds.First, 0); c.Settled && l < min(c.Holds.End, len(copies)); l++ {
			copies[l]-- // it may be loading
		}
	}
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
// at the least cost, when none holds more than the planner's fill, with that cost; nil
// when they cannot. The cards keep the order in which they hold the layers, and those that can be
// spared come in at the hole.
func (f *floor) closing(p Planner) (map[int]layer.Range, float64) {
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
		t.tiles = append(t.tiles, tile{holds: c.Holds, most: most})
	}
	ranges, cost := t.solve()
	if ranges == nil {
		return nil, cost
	}
	moves := make(map[int]layer.Range)
	for k, i := range order {
		if r := ranges[k]; !r.Empty() && (r.First < f.cards[i].Holds.First || r.End > f.cards[i].Holds.End) {
			moves[i] = r
		}
	}
	return moves, cost
}
