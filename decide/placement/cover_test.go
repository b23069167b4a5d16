package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/placement"
)

// tightModel is a model of which a hall of small cards holds little more than one copy.
var tightModel = &catalog.Model{
	Layers: 80, LayerSize: 1750, TokenSize: 0.59, Prompt: 775, Answer: 220, Slots: 192,
	Cards: map[string]catalog.Card{
		"large": {Memory: 72000, TokenTimeFactor: 2.4, PromptTimeFactor: 3.2}, "small": {Memory: 14400, TokenTimeFactor: 5.3, PromptTimeFactor: 7.9},
		"slow": {Memory: 21600, TokenTimeFactor: 16, PromptTimeFactor: 8.2},
	},
}

// tightHall returns the empty cards of a hall with the given number of cards of each kind.
func tightHall(large, small, slow int) []placement.Card {
	var cards []placement.Card
	add := func(kind string, n int) {
		for i := range n {
			cards = append(cards, placement.Card{ID: fmt.Sprintf("%s-%d", kind, i), Hall: "h", Kind: kind})
		}
	}
	add("large", large)
	add("small", small)
	add("slow", slow)
	return cards
}

// requirePlansConverge checks that further plans keep all layers covered, move one card at a
// time, and come to an end.
func requirePlansConverge(t *testing.T, cards []placement.Card) {
	t.Helper()
	for range cards {
		moves := placement.Planner{}.Plan(tightModel, cards)
		if len(moves) == 0 {
			return
		}
		require.Len(t, moves, 1)
		applyMoves(cards, moves)
		require.NotContains(t, copies(cards, "h"), 0)
	}
	require.Fail(t, "plans do not converge")
}

// Whichever card of a hall is lost, one plan has the others cover all layers again. Where no
// card is redundant and none beside the missing layers has enough memory, all cards shift a
// little.
func TestUncoveredLayersAreCoveredByShifting(t *testing.T) {
	for _, shape := range [][3]int{{2, 4, 4}, {1, 6, 6}, {1, 10, 4}, {0, 9, 8}} {
		for lost := range tightHall(shape[0], shape[1], shape[2]) {
			cards := tightHall(shape[0], shape[1], shape[2])
			applyMoves(cards, placement.Planner{}.Plan(tightModel, cards))
			require.NotContains(t, copies(cards, "h"), 0)
			remaining := slices.Delete(slices.Clone(cards), lost, lost+1)
			applyMoves(remaining, placement.Planner{}.Plan(tightModel, remaining))
			require.NotContains(t, copies(remaining, "h"), 0, "%v without %s", shape, cards[lost].ID)
			for _, c := range remaining {
				require.Positive(t, tightModel.Room(tightModel.Cards[c.Kind], c.AssignedLayers.Len()), c.ID)
			}
			requirePlansConverge(t, remaining)
		}
	}
}

// Cards load no new layers where those already held suffice to cover the missing ones.
func TestCoveringLoadsNoMoreLayersThanNeeded(t *testing.T) {
	cards := []placement.Card{
		{ID: "a", Hall: "h", Kind: "large", AssignedLayers: layer.Range{First: 0, End: 24}},
		{ID: "b", Hall: "h", Kind: "large", AssignedLayers: layer.Range{First: 24, End: 48}},
		{ID: "c", Hall: "h", Kind: "large", AssignedLayers: layer.Range{First: 52, End: 76}},
		{ID: "d", Hall: "h", Kind: "large", AssignedLayers: layer.Range{First: 56, End: 80}},
		{ID: "e", Hall: "h", Kind: "slow", AssignedLayers: layer.Range{First: 56, End: 63}},
	}
	moves := placement.Planner{}.Plan(tightModel, cards)
	require.Equal(t, []placement.Move{{ID: "e", Layers: layer.Range{First: 48, End: 52}}}, moves)
}

// A fast card may return while only a part of its layers has been taken over by slow cards. It
// must take all its layers back, not only those still missing.
func TestReturningFastCardReplacesSlowCards(t *testing.T) {
	cards := tightHall(1, 6, 6)
	applyMoves(cards, placement.Planner{}.Plan(tightModel, cards))
	original := cards[0].AssignedLayers
	require.Equal(t, "large-0", cards[0].ID)
	remaining := slices.Clone(cards[1:])
	slow := 0
	for i := range remaining { // the last cards are slow and redundant
		if remaining[i].Kind == "slow" && slow < 3 {
			remaining[i].AssignedLayers = layer.Range{First: 7 * slow, End: 7*slow + 7}
			slow++
		}
	}
	withReturned := append(remaining, placement.Card{ID: "back", Hall: "h", Kind: "large"})
	for _, m := range (placement.Planner{}).Plan(tightModel, withReturned) {
		if m.ID == "back" {
			require.Equal(t, original.Len(), m.Layers.Len())
			require.LessOrEqual(t, m.Layers.First, 7)
			return
		}
	}
	require.Fail(t, "the returned card got no layers")
}

// Cards filled beyond the planned share to cover missing layers shrink again, one at a time,
// once the missing card has returned. No card stays overfilled where another one holds the
// layers at its ends, and no layer loses its last holder.
func TestOverfilledCardsAreTrimmed(t *testing.T) {
	cards := []placement.Card{
		{ID: "a", Hall: "h", Kind: "large", AssignedLayers: layer.Range{First: 0, End: 27}},
		{ID: "b", Hall: "h", Kind: "large", AssignedLayers: layer.Range{First: 27, End: 62}},
		{ID: "c", Hall: "h", Kind: "small", AssignedLayers: layer.Range{First: 54, End: 59}},
		{ID: "d", Hall: "h", Kind: "small", AssignedLayers: layer.Range{First: 59, End: 64}},
		{ID: "e", Hall: "h", Kind: "large", AssignedLayers: layer.Range{First: 60, End: 80}},
	}
	moves := placement.Planner{}.Plan(tightModel, cards)
	require.Equal(t, []placement.Move{{ID: "b", Layers: layer.Range{First: 27, End: 54}}}, moves)
	applyMoves(cards, moves)
	requirePlansConverge(t, cards)
}

// A card that is still loading does not count as a holder that lets another card give up
// layers.
func TestNoRebalancingWhileACardLoads(t *testing.T) {
	cards := []placement.Card{
		{ID: "a", Hall: "h", Kind: "large", AssignedLayers: layer.Range{First: 0, End: 35}},
		{ID: "b", Hall: "h", Kind: "large", AssignedLayers: layer.Range{First: 27, End: 54}, Fixed: true},
		{ID: "c", Hall: "h", Kind: "large", AssignedLayers: layer.Range{First: 54, End: 80}},
	}
	require.Empty(t, placement.Planner{}.Plan(tightModel, cards))
}

// A card in use is not moved only because its value would be higher elsewhere.
func TestCardsInUseAreNotRebalanced(t *testing.T) {
	for _, used := range []bool{false, true} {
		cards := []placement.Card{
			{ID: "a", Hall: "h", Kind: "large", AssignedLayers: layer.Range{First: 0, End: 27}},
			{ID: "b", Hall: "h", Kind: "large", AssignedLayers: layer.Range{First: 27, End: 54}},
			{ID: "c1", Hall: "h", Kind: "small", AssignedLayers: layer.Range{First: 54, End: 59}},
			{ID: "c2", Hall: "h", Kind: "small", AssignedLayers: layer.Range{First: 59, End: 64}},
			{ID: "c3", Hall: "h", Kind: "small", AssignedLayers: layer.Range{First: 64, End: 69}},
			{ID: "c4", Hall: "h", Kind: "small", AssignedLayers: layer.Range{First: 69, End: 74}},
			{ID: "c5", Hall: "h", Kind: "small", AssignedLayers: layer.Range{First: 74, End: 80}},
			{ID: "d", Hall: "h", Kind: "slow", AssignedLayers: layer.Range{First: 0, End: 8}, InUse: true},
			{ID: "e", Hall: "h", Kind: "slow", AssignedLayers: layer.Range{First: 0, End: 8}, InUse: used},
		}
		require.Equal(t, used, len(placement.Planner{}.Plan(tightModel, cards)) == 0)
	}
}
