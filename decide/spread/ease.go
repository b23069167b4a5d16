package spread

import (
	"slices"

	"github.com/grademill/grademill/decide/layer"
)

// easeGain is by how much more a card must be worth elsewhere to be moved there: half of
// the share of a card in a place of a dozen, so that plans come to rest.
const easeGain = 0.05

// ease returns one move that makes a place without holes better while it serves: a card
// that holds more than its share since it closed a hole gives up what others hold beside
// it, and one that nobody uses, whose layers others hold, goes where it is worth more. While any card
// of the place is still loading nothing is moved.
func (f *floor) ease() (int, layer.Range, bool) {
	if slices.ContainsFunc(f.cards, func(c Card) bool { return c.Settled }) {
		return 0, layer.Range{}, false
	}
	for i, c := range f.cards {
		if c.Holds.Empty() {
			continue
		}
		if r := f.trim(c); r != c.Holds {
			return i, r, true
		}
	}
	for _, i := range f.spares() {
		if r, ok := f.better(i); ok && !f.cards[i].InUse {
			return i, r, true
		}
	}
	return 0, layer.Range{}, false
}

// trim returns the range of a card without what others hold at its ends, as far as it
// holds more than its share.
func (f *floor) trim(c Card) layer.Range {
	r, size := c.Holds, f.planner.size(f.model, c)
	for r.Len() > size {
		switch {
		case f.copies[r.First] > 1:
			r.First++
		case f.copies[r.End-1] > 1:
			r.End--
		default:
			return r
		}
	}
	return r
}

// better returns the range in which a card that can be spared is worth more by easeGain.
func (f *floor) better(i int) (layer.Range, bool) {
	c := f.cards[i]
	without := *f
	without.cards = append([]Card(nil), f.cards...)
	without.cards[i].Holds = layer.Range{}
	without.measure()
	r := without.rangeFor(c)
	return r, without.worth(c, r) > without.worth(c, c.Holds)+easeGain
}
