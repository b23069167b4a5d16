package placement

import (
	"slices"

	"github.com/grademill/grademill/decide/layer"
)

// minMoveGain is the smallest rise in value that justifies moving a card: about half of one
// card's part of the value in a group of a dozen. The threshold lets successive plans converge.
const minMoveGain = 0.05

// rebalance returns one move that improves a group in which all layers are covered: the index of
// the card and its new range, or false if there is none. The group goes on serving meanwhile. A
// card filled beyond its planned share gives up layers at its ends that others hold as well; an
// unused card whose layers others hold moves to where its value is higher. Nothing moves while
// any card of the group is still loading.
func (cov *coverage) rebalance() (int, layer.Range, bool) {
	if slices.ContainsFunc(cov.cards, func(c Card) bool { return c.Fixed }) {
		return 0, layer.Range{}, false
	}
	for i, c := range cov.cards {
		if c.AssignedLayers.Empty() {
			continue
		}
		if r := cov.trim(c); r != c.AssignedLayers {
			return i, r, true
		}
	}
	if cov.evensRoom() { // value does not weigh room as evenRoom does, and would undo its arrangement
		return 0, layer.Range{}, false
	}
	for _, i := range cov.redundant() {
		if r, ok := cov.betterRange(i); ok && !cov.cards[i].InUse {
			return i, r, true
		}
	}
	return 0, layer.Range{}, false
}

// trim returns the range of a card without layers at its ends that others hold, as far as the
// range exceeds the planned fill.
func (cov *coverage) trim(c Card) layer.Range {
	r, targetLayers := c.AssignedLayers, cov.mostLayers(c)
	for r.Len() > targetLayers {
		switch {
		case cov.copies[r.First] > 1:
			r.First++
		case cov.copies[r.End-1] > 1:
			r.End--
		default:
			return r
		}
	}
	return r
}

// betterRange returns the best range for a redundant card, and whether its value there exceeds
// the present one by more than minMoveGain.
func (cov *coverage) betterRange(i int) (layer.Range, bool) {
	c := cov.cards[i]
	without := *cov
	without.cards = append([]Card(nil), cov.cards...)
	without.cards[i].AssignedLayers = layer.Range{}
	without.recompute()
	r := without.rangeFor(c)
	return r, without.value(c, r) > without.value(c, c.AssignedLayers)+minMoveGain
}
