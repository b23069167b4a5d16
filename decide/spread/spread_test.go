package spread_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/spread"
)

// model is that of the users' sites.
var model = &catalog.Model{
	Layers: 80, LayerSize: 1750, TokenSize: 0.918,
	Cards: map[string]catalog.Card{
		"a100": {Memory: 72000, Pace: 2.4, Read: 3.2}, "l40s": {Memory: 43200, Pace: 5.6, Read: 2.7},
		"l4": {Memory: 21600, Pace: 16, Read: 8.2},
	},
}

// hall returns empty cards of a hall.
func hall(name string, a100, l40s, l4 int) []spread.Card {
	var cards []spread.Card
	add := func(kind string, n int) {
		for i := range n {
			cards = append(cards, spread.Card{ID: fmt.Sprintf("%s-%s-%d", name, kind, i), Hall: name, Kind: kind})
		}
	}
	add("a100", a100)
	add("l40s", l40s)
	add("l4", l4)
	return cards
}

// carry applies moves to cards.
func carry(cards []spread.Card, moves []spread.Move) {
	for _, m := range moves {
		for i := range cards {
			if cards[i].ID == m.ID {
				cards[i].Holds = m.Layers
			}
		}
	}
}

// copies counts the holders of each layer in a hall.
func copies(cards []spread.Card, hall string) []int {
	n := make([]int, model.Layers)
	for _, c := range cards {
		if c.Hall != hall {
			continue
		}
		for l := c.Holds.First; l < c.Holds.End; l++ {
			n[l]++
		}
	}
	return n
}

// Each hall of a users' site gets a whole copy, and no card more than it holds.
func TestEachHallGetsACopy(t *testing.T) {
	cards := append(hall("rosehill", 1, 3, 8), hall("quatrebornes", 1, 6, 5)...)
	cards = append(cards, hall("curepipe", 2, 2, 5)...)
	moves := spread.Planner{}.Plan(model, cards)
	require.Len(t, moves, len(cards))
	carry(cards, moves)
	for _, h := range []string{"rosehill", "quatrebornes", "curepipe"} {
		require.NotContains(t, copies(cards, h), 0, h)
	}
	for _, c := range cards {
		require.Positive(t, model.Room(model.Cards[c.Kind], c.Holds.Len()), c.ID)
	}
	require.Empty(t, spread.Planner{}.Plan(model, cards), "what serves is left alone")
}

// Slots are taken where a chain begins, so the first layers get a second holder as soon as
// the place holds all layers: with one, a hall of two dozen cards let in the 192 requests
// of one card's slots.
func TestFirstLayersGetASecondHolder(t *testing.T) {
	bound := *model
	bound.Slots, bound.Prompt, bound.Answer = 192, 760, 138
	cards := hall("h", 1, 3, 8)
	carry(cards, spread.Planner{}.Plan(&bound, cards))
	require.NotContains(t, copies(cards, "h"), 0)
	require.Equal(t, 2, copies(cards, "h")[0])
	require.Empty(t, spread.Planner{}.Plan(&bound, cards), "the plan is at rest")
}

// The plan depends on what cards hold alone, not on the order in which they are
// listed.
func TestPlanDoesNotDependOnOrder(t *testing.T) {
	cards := hall("h", 1, 3, 8)
	want := spread.Planner{}.Plan(model, cards)
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(cards), func(i, j int) { cards[i], cards[j] = cards[j], cards[i] })
	require.Equal(t, want, spread.Planner{}.Plan(model, cards))
}

// Whichever card goes, one plan has the others close the hole, and no layer that
// was held is given up for it.
func TestHolesAreFilled(t *testing.T) {
	holes := 0
	for lost := range hall("h", 1, 3, 8) {
		cards := hall("h", 1, 3, 8)
		carry(cards, spread.Planner{}.Plan(model, cards))
		left := slices.Delete(slices.Clone(cards), lost, lost+1)
		before := copies(left, "h")
		if slices.Contains(before, 0) {
			holes++
		}
		carry(left, spread.Planner{}.Plan(model, left))
		require.NotContains(t, copies(left, "h"), 0, cards[lost].ID)
		require.Empty(t, spread.Planner{}.Plan(model, left), "it comes to rest")
	}
	require.Positive(t, holes)
}

// A few missing layers are taken on by the cards beside them, which keep their own.
func TestNeighboursStretch(t *testing.T) {
	cards := []spread.Card{
		{ID: "a", Hall: "h", Kind: "a100", Holds: layer.Range{First: 0, End: 26}},
		{ID: "b", Hall: "h", Kind: "a100", Holds: layer.Range{First: 28, End: 54}},
		{ID: "c", Hall: "h", Kind: "a100", Holds: layer.Range{First: 54, End: 80}},
	}
	moves := spread.Planner{Fill: 0.6}.Plan(model, cards)
	require.Equal(t, []spread.Move{{ID: "a", Layers: layer.Range{First: 0, End: 28}}}, moves)
}

// A fast card that comes back empty takes over what slow cards do in its place.
func TestFastCardComesBackToItsLayers(t *testing.T) {
	cards := hall("h", 1, 3, 8)
	carry(cards, spread.Planner{}.Plan(model, cards))
	fast := slices.IndexFunc(cards, func(c spread.Card) bool { return c.Kind == "a100" })
	was := cards[fast].Holds
	left := slices.Delete(slices.Clone(cards), fast, fast+1)
	carry(left, spread.Planner{}.Plan(model, left))
	left = append(left, spread.Card{ID: "back", Hall: "h", Kind: "a100"})
	moves := spread.Planner{}.Plan(model, left)
	require.Len(t, moves, 1)
	require.Equal(t, "back", moves[0].ID)
	require.Equal(t, was, moves[0].Layers)
}

// A range that was cut short has much room, but a single holder: the copy that is
// due goes there, not where two cards hold a layer already.
func TestShortRangeGetsACopy(t *testing.T) {
	cards := hall("h", 1, 6, 6)
	carry(cards, spread.Planner{}.Plan(model, cards))
	require.NotContains(t, copies(cards, "h")[15:], 1)
}

// The slots of the endpoints that a chain can begin at bound a hall, too: where
// memory holds more requests than one of them takes, there are several.
func TestFirstLayersHaveSlotsForAll(t *testing.T) {
	grown := *model
	grown.TokenSize, grown.Slots, grown.Prompt, grown.Answer = 0.406, 64, 745, 230
	cards := hall("h", 1, 9, 7)
	moves := spread.Planner{}.Plan(&grown, cards)
	carry(cards, moves)
	n := copies(cards, "h")
	require.Greater(t, n[0], 1)
	require.GreaterOrEqual(t, n[0], slices.Max(n[40:]))
}

// A card whose record tells of layers that the model does not have is left alone, and
// the others are planned without it.
func TestStrangeLayersAreLeftAlone(t *testing.T) {
	cards := hall("h", 1, 3, 8)
	carry(cards, spread.Planner{}.Plan(model, cards))
	left := slices.Delete(slices.Clone(cards), 0, 1)
	strange := &left[len(left)-1]
	strange.Holds = layer.Range{First: 70, End: 95}
	require.Contains(t, copies(left[:len(left)-1], "h"), 0, "there is a hole to close")
	moves := spread.Planner{}.Plan(model, left)
	require.NotEmpty(t, moves)
	for _, m := range moves {
		require.NotEqual(t, strange.ID, m.ID)
	}
}

// Halls that cannot hold a copy of the model hold one together.
func TestSmallHallsArePlannedAsOne(t *testing.T) {
	cards := append(hall("east", 1, 0, 2), hall("west", 0, 2, 1)...)
	carry(cards, spread.Planner{Fill: 0.8}.Plan(model, cards))
	held := copies(cards, "east")
	for l, n := range copies(cards, "west") {
		held[l] += n
	}
	require.NotContains(t, held, 0)
}

// No plan ever orders more layers than a card holds, whatever the fleet, and
// plans come to rest.
func TestPlansFitAndComeToRest(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 500 {
		var cards []spread.Card
		for h := range 1 + random.IntN(3) {
			cards = append(cards, hall(fmt.Sprint("h", h), random.IntN(3), random.IntN(6), random.IntN(10))...)
		}
		for i := range cards {
			if random.IntN(3) == 0 {
				first := random.IntN(70)
				cards[i].Holds = layer.Range{First: first, End: first + 5}
			}
		}
		for round := 0; ; round++ {
			moves := spread.Planner{}.Plan(model, cards)
			if len(moves) == 0 {
				break
			}
			for _, m := range moves {
				require.False(t, m.Layers.Empty())
				require.LessOrEqual(t, m.Layers.End, model.Layers)
			}
			carry(cards, moves)
			require.Less(t, round, 3*len(cards)+3, "plans go on for ever")
		}
		for _, c := range cards {
			require.GreaterOrEqual(t, model.Room(model.Cards[c.Kind], c.Holds.Len()), 0)
		}
	}
}

// However few the slots, no layer has fewer holders for them than cards allow.
func TestFewSlotsDoNotStarveOtherLayers(t *testing.T) {
	bound := *model
	bound.Slots, bound.Prompt, bound.Answer = 1, 760, 138
	cards := hall("h", 6, 0, 0) // three layers of a copy less than three copies
	carry(cards, spread.Planner{Fill: 0.7}.Plan(&bound, cards))
	require.GreaterOrEqual(t, slices.Min(copies(cards, "h")), 2)
	require.LessOrEqual(t, copies(cards, "h")[0], 3)
}
