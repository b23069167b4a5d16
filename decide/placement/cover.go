package placement

import (
	"math"
	"slices"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/layer"
)

// Covering missing layers may fill cards beyond the planner's Fill, in steps of coverFillStep
// up to maxCoverFill: room for a few requests is worth more than a group without a complete
// chain. Each step counts as loading fillStepCost layers, because it takes room from requests.
const (
	coverFillStep = 0.04
	maxCoverFill  = 0.88
	fillStepCost  = 12
)

// planGroup plans the moves of one group of cards.
func (p Planner) planGroup(m *catalog.Model, cards []Card) []Move {
	cov := newCoverage(p, m, slices.Clone(cards))
	moves := make(map[int]layer.Range)
	assign := func(i int, r layer.Range) {
		cov.assign(i, r)
		moves[i] = r
	}
	var empty []int
	for i, c := range cov.cards {
		if c.AssignedLayers.Empty() && !c.Fixed && p.targetLayers(m, c) > 0 {
			assign(i, cov.rangeFor(c))
			empty = append(empty, i)
		}
	}
	if cov.evensRoom() && len(empty) > 0 {
		if !cov.uncovered().Empty() { // the cards filled above have not begun to load and may change again
			for _, i := range empty {
				cov.cards[i].Fixed = false
			}
			for i, r := range cov.close() {
				assign(i, r)
			}
		}
		for i, r := range cov.evenRoom(empty) {
			assign(i, r)
		}
	}
	if !cov.uncovered().Empty() {
		for i, r := range cov.close() {
			assign(i, r)
		}
	} else if i, r, ok := cov.rebalance(); ok && len(moves) == 0 {
		assign(i, r)
	}
	list := make([]Move, 0, len(moves))
	for i, r := range moves {
		list = append(list, Move{ID: cards[i].ID, Layers: r})
	}
	return list
}

// close returns the new ranges, by card, that cover all layers at the least cost, or nil
// when the cards cannot hold all layers.
func (cov *coverage) close() map[int]layer.Range {
	var best map[int]layer.Range
	least := math.Inf(1)
	for step := 0; ; step++ {
		fill := cov.planner.Fill + float64(step)*coverFillStep
		if fill > maxCoverFill {
			return best
		}
		moves, cost := cov.coverWith(Planner{Fill: fill})
		if cost += float64(step * fillStepCost); moves != nil && cost < least {
			best, least = moves, cost
		}
	}
}

// redundant returns the cards, the slowest first, that can give up all their layers together
// because others hold them.
func (cov *coverage) redundant() []int {
	copies := slices.Clone(cov.copies)
	for _, c := range cov.cards {
		for l := max(c.AssignedLayers.First, 0); c.Fixed && l < min(c.AssignedLayers.End, len(copies)); l++ {
			copies[l]-- // the card may still be loading
		}
	}
	var list []int
	for i := len(cov.cards) - 1; i >= 0; i-- {
		c := cov.cards[i]
		if c.Fixed || c.AssignedLayers.Empty() || slices.Min(copies[c.AssignedLayers.First:c.AssignedLayers.End]) < 2 {
			continue
		}
		list = append(list, i)
		for l := c.AssignedLayers.First; l < c.AssignedLayers.End; l++ {
			copies[l]--
		}
	}
	return list
}

// coverWith returns the new ranges, by card, that cover all layers at the least cost when no
// card exceeds the planner's fill, and that cost. It returns nil when the cards cannot. The
// cards keep the order of their layers; the redundant ones are inserted at the first uncovered
// layer.
func (cov *coverage) coverWith(p Planner) (map[int]layer.Range, float64) {
	redundant := cov.redundant()
	var order []int
	for i, c := range cov.cards {
		if !c.AssignedLayers.Empty() && !slices.Contains(redundant, i) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cov.cards[a].AssignedLayers.First - cov.cards[b].AssignedLayers.First })
	uncovered := cov.uncovered()
	at := 0
	for at < len(order) && cov.cards[order[at]].AssignedLayers.First < uncovered.First {
		at++
	}
	order = slices.Insert(order, at, redundant...)
	t := tiling{layers: cov.model.Layers}
	for _, i := range order {
		c := cov.cards[i]
		maxLayers := p.targetLayers(cov.model, c)
		if c.Fixed {
			maxLayers = 0
		}
		t.tiles = append(t.tiles, tile{holds: c.AssignedLayers, maxLayers: maxLayers})
	}
	ranges, cost := t.solve()
	if ranges == nil {
		return nil, cost
	}
	moves := make(map[int]layer.Range)
	for k, i := range order {
		if r := ranges[k]; !r.Empty() && (r.First < cov.cards[i].AssignedLayers.First || r.End > cov.cards[i].AssignedLayers.End) {
			moves[i] = r
		}
	}
	return moves, cost
}
