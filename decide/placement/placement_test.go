package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/placement"
)

// model has the layer sizes and kinds of cards of a production fleet.
var model = &catalog.Model{
	Layers: 80, LayerSize: 1750, TokenSize: 0.918,
	Cards: map[string]catalog.Card{
		"a100": {Memory: 72000, TokenTimeFactor: 2.4, PromptTimeFactor: 3.2}, "l40s": {Memory: 43200, TokenTimeFactor: 5.6, PromptTimeFactor: 2.7},
		"l4": {Memory: 21600, TokenTimeFactor: 16, PromptTimeFactor: 8.2},
	},
}

// emptyHall returns the empty cards of a hall.
func emptyHall(name string, a100, l40s, l4 int) []placement.Card {
	var cards []placement.Card
	add := func(kind string, n int) {
		for i := range n {
			cards = append(cards, placement.Card{ID: fmt.Sprintf("%s-%s-%d", name, kind, i), Hall: name, Kind: kind})
		}
	}
	add("a100", a100)
	add("l40s", l40s)
	add("l4", l4)
	return cards
}

// applyMoves applies moves to cards.
func applyMoves(cards []placement.Card, moves []placement.Move) {
	for _, m := range moves {
		for i := range cards {
			if cards[i].ID == m.ID {
				cards[i].AssignedLayers = m.Layers
			}
		}
	}
}

// copies counts the holders of each layer in a hall.
func copies(cards []placement.Card, hall string) []int {
	n := make([]int, model.Layers)
	for _, c := range cards {
		if c.Hall != hall {
			continue
		}
		for l := c.AssignedLayers.First; l < c.AssignedLayers.End; l++ {
			n[l]++
		}
	}
	return n
}

// Each hall holds a whole copy of the model, and every card has room left for requests.
func TestEachHallGetsACopy(t *testing.T) {
	cards := append(emptyHall("rosehill", 1, 3, 8), emptyHall("quatrebornes", 1, 6, 5)...)
	cards = append(cards, emptyHall("curepipe", 2, 2, 5)...)
	moves := placement.Planner{}.Plan(model, cards)
	require.Len(t, moves, len(cards))
	applyMoves(cards, moves)
	for _, h := range []string{"rosehill", "quatrebornes", "curepipe"} {
		require.NotContains(t, copies(cards, h), 0, h)
	}
	for _, c := range cards {
		require.Positive(t, model.Room(model.Cards[c.Kind], c.AssignedLayers.Len()), c.ID)
	}
	require.Empty(t, placement.Planner{}.Plan(model, cards), "a fleet that serves is not changed")
}

// Requests occupy slots at the first endpoint of a chain, so the first layers get a second
// holder as soon as the group covers all layers. With one, a hall of two dozen cards admitted
// only the 192 requests of a single card's slots.
func TestFirstLayersGetASecondHolder(t *testing.T) {
	slotBound := *model
	slotBound.Slots, slotBound.Prompt, slotBound.Answer = 192, 760, 138
	cards := emptyHall("h", 1, 3, 8)
	applyMoves(cards, placement.Planner{}.Plan(&slotBound, cards))
	require.NotContains(t, copies(cards, "h"), 0)
	require.Equal(t, 2, copies(cards, "h")[0])
	require.Empty(t, placement.Planner{}.Plan(&slotBound, cards), "plans converge")
}

// A plan depends only on what the cards hold, not on their order in the list.
func TestPlanDoesNotDependOnOrder(t *testing.T) {
	cards := emptyHall("h", 1, 3, 8)
	want := placement.Planner{}.Plan(model, cards)
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(cards), func(i, j int) { cards[i], cards[j] = cards[j], cards[i] })
	require.Equal(t, want, placement.Planner{}.Plan(model, cards))
}

// Whichever card is lost, one plan covers its layers again and no other layer loses all its
// holders; the next plan is empty.
func TestUncoveredLayersAreCovered(t *testing.T) {
	uncovered := 0
	for lost := range emptyHall("h", 1, 3, 8) {
		cards := emptyHall("h", 1, 3, 8)
		applyMoves(cards, placement.Planner{}.Plan(model, cards))
		remaining := slices.Delete(slices.Clone(cards), lost, lost+1)
		before := copies(remaining, "h")
		if slices.Contains(before, 0) {
			uncovered++
		}
		applyMoves(remaining, placement.Planner{}.Plan(model, remaining))
		require.NotContains(t, copies(remaining, "h"), 0, cards[lost].ID)
		require.Empty(t, placement.Planner{}.Plan(model, remaining), "plans converge")
	}
	require.Positive(t, uncovered)
}

// Cards beside a few missing layers take them on and keep their own.
func TestNeighboursTakeMissingLayers(t *testing.T) {
	cards := []placement.Card{
		{ID: "a", Hall: "h", Kind: "a100", AssignedLayers: layer.Range{First: 0, End: 26}},
		{ID: "b", Hall: "h", Kind: "a100", AssignedLayers: layer.Range{First: 28, End: 54}},
		{ID: "c", Hall: "h", Kind: "a100", AssignedLayers: layer.Range{First: 54, End: 80}},
	}
	moves := placement.Planner{Fill: 0.6}.Plan(model, cards)
	require.Equal(t, []placement.Move{{ID: "a", Layers: layer.Range{First: 0, End: 28}}}, moves)
}

// A fast card that returns empty takes its former layers back from the slow cards that replaced
// it.
func TestReturningFastCardGetsItsLayers(t *testing.T) {
	cards := emptyHall("h", 1, 3, 8)
	applyMoves(cards, placement.Planner{}.Plan(model, cards))
	fast := slices.IndexFunc(cards, func(c placement.Card) bool { return c.Kind == "a100" })
	original := cards[fast].AssignedLayers
	remaining := slices.Delete(slices.Clone(cards), fast, fast+1)
	applyMoves(remaining, placement.Planner{}.Plan(model, remaining))
	remaining = append(remaining, placement.Card{ID: "back", Hall: "h", Kind: "a100"})
	moves := placement.Planner{}.Plan(model, remaining)
	require.Len(t, moves, 1)
	require.Equal(t, "back", moves[0].ID)
	require.Equal(t, original, moves[0].Layers)
}

// A card with a short range has much room for requests but is still the only holder of its
// layers. The next copy goes there, not to layers that two cards hold already.
func TestShortRangeGetsACopy(t *testing.T) {
	cards := emptyHall("h", 1, 6, 6)
	applyMoves(cards, placement.Planner{}.Plan(model, cards))
	require.NotContains(t, copies(cards, "h")[15:], 1)
}

// The request slots of first endpoints limit a hall as well: where memory has room for more
// requests than one endpoint's slots, several cards hold the first layers.
func TestFirstLayersHaveSlotsForAll(t *testing.T) {
	grown := *model
	grown.TokenSize, grown.Slots, grown.Prompt, grown.Answer = 0.406, 64, 745, 230
	cards := emptyHall("h", 1, 9, 7)
	moves := placement.Planner{}.Plan(&grown, cards)
	applyMoves(cards, moves)
	n := copies(cards, "h")
	require.Greater(t, n[0], 1)
	require.GreaterOrEqual(t, n[0], slices.Max(n[40:]))
}

// A card whose record names layers outside the model gets no move, and the others are planned
// without it.
func TestCardWithInvalidLayersIsIgnored(t *testing.T) {
	cards := emptyHall("h", 1, 3, 8)
	applyMoves(cards, placement.Planner{}.Plan(model, cards))
	remaining := slices.Delete(slices.Clone(cards), 0, 1)
	invalid := &remaining[len(remaining)-1]
	invalid.AssignedLayers = layer.Range{First: 70, End: 95}
	require.Contains(t, copies(remaining[:len(remaining)-1], "h"), 0, "some layers are uncovered")
	moves := placement.Planner{}.Plan(model, remaining)
	require.NotEmpty(t, moves)
	for _, m := range moves {
		require.NotEqual(t, invalid.ID, m.ID)
	}
}

// Halls that are too small for a copy of the model hold one together.
func TestSmallHallsArePlannedAsOne(t *testing.T) {
	cards := append(emptyHall("east", 1, 0, 2), emptyHall("west", 0, 2, 1)...)
	applyMoves(cards, placement.Planner{Fill: 0.8}.Plan(model, cards))
	held := copies(cards, "east")
	for l, n := range copies(cards, "west") {
		held[l] += n
	}
	require.NotContains(t, held, 0)
}

// Whatever the fleet, no plan orders more layers than a card can hold, and plans converge.
func TestPlansFitAndConverge(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 500 {
		var cards []placement.Card
		for h := range 1 + random.IntN(3) {
			cards = append(cards, emptyHall(fmt.Sprint("h", h), random.IntN(3), random.IntN(6), random.IntN(10))...)
		}
		for i := range cards {
			if random.IntN(3) == 0 {
				first := random.IntN(70)
				cards[i].AssignedLayers = layer.Range{First: first, End: first + 5}
			}
		}
		for round := 0; ; round++ {
			moves := placement.Planner{}.Plan(model, cards)
			if len(moves) == 0 {
				break
			}
			for _, m := range moves {
				require.False(t, m.Layers.Empty())
				require.LessOrEqual(t, m.Layers.End, model.Layers)
			}
			applyMoves(cards, moves)
			require.Less(t, round, 3*len(cards)+3, "plans do not converge")
		}
		for _, c := range cards {
			require.GreaterOrEqual(t, model.Room(model.Cards[c.Kind], c.AssignedLayers.Len()), 0)
		}
	}
}

// Scarce request slots do not cost other layers the holders that the cards allow.
func TestFewSlotsDoNotStarveOtherLayers(t *testing.T) {
	slotBound := *model
	slotBound.Slots, slotBound.Prompt, slotBound.Answer = 1, 760, 138
	cards := emptyHall("h", 6, 0, 0) // three layers short of three copies of the model
	applyMoves(cards, placement.Planner{Fill: 0.7}.Plan(&slotBound, cards))
	require.GreaterOrEqual(t, slices.Min(copies(cards, "h")), 2)
	require.LessOrEqual(t, copies(cards, "h")[0], 3)
}
