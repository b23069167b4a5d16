package spread_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/spread"
)

// tight is a model of which a hall of small cards holds little more than one copy.
var tight = &catalog.Model{
	Layers: 80, LayerSize: 1750, TokenSize: 0.59, Prompt: 775, Answer: 220, Slots: 192,
	Cards: map[string]catalog.Card{
		"large": {Memory: 72000, Pace: 2.4, Read: 3.2}, "small": {Memory: 14400, Pace: 5.3, Read: 7.9},
		"slow": {Memory: 21600, Pace: 16, Read: 8.2},
	},
}

// tightHall returns the empty cards of a hall with so many of each kind.
func tightHall(large, small, slow int) []spread.Card {
	var cards []spread.Card
	add := func(kind string, n int) {
		for i := range n {
			cards = append(cards, spread.Card{ID: fmt.Sprintf("%s-%d", kind, i), Hall: "h", Kind: kind})
		}
	}
	add("large", large)
	add("small", small)
	add("slow", slow)
	return cards
}

// rests checks that further plans keep all layers held, move one card at a time, and come
// to an end.
func rests(t *testing.T, cards []spread.Card) {
	t.Helper()
	for range cards {
		moves := spread.Planner{}.Plan(tight, cards)
		if len(moves) == 0 {
			return
		}
		require.Len(t, moves, 1)
		carry(cards, moves)
		require.NotContains(t, copies(cards, "h"), 0)
	}
	require.Fail(t, "plans go on for ever")
}

// Whichever card of a hall goes, one plan has the others hold all layers again, also
// where no card is to spare and none beside the hole has enough memory: then all of them
// shift a little.
func TestHolesAreClosedByShifting(t *testing.T) {
	for _, shape := range [][3]int{{2, 4, 4}, {1, 6, 6}, {1, 10, 4}, {0, 9, 8}} {
		for lost := range tightHall(shape[0], shape[1], shape[2]) {
			cards := tightHall(shape[0], shape[1], shape[2])
			carry(cards, spread.Planner{}.Plan(tight, cards))
			require.NotContains(t, copies(cards, "h"), 0)
			left := slices.Delete(slices.Clone(cards), lost, lost+1)
			carry(left, spread.Planner{}.Plan(tight, left))
			require.NotContains(t, copies(left, "h"), 0, "%v without %s", shape, cards[lost].ID)
			for _, c := range left {
				require.Positive(t, tight.Room(tight.Cards[c.Kind], c.Holds.Len()), c.ID)
			}
			rests(t, left)
		}
	}
}

// No card is given new layers while those that it holds close the place already.
func TestClosingLoadsNoMoreThanItMust(t *testing.T) {
	cards := []spread.Card{
		{ID: "a", Hall: "h", Kind: "large", Holds: layer.Range{First: 0, End: 24}},
		{ID: "b", Hall: "h", Kind: "large", Holds: layer.Range{First: 24, End: 48}},
		{ID: "c", Hall: "h", Kind: "large", Holds: layer.Range{First: 52, End: 76}},
		{ID: "d", Hall: "h", Kind: "large", Holds: layer.Range{First: 56, End: 80}},
		{ID: "e", Hall: "h", Kind: "slow", Holds: layer.Range{First: 56, End: 63}},
	}
	moves := spread.Planner{}.Plan(tight, cards)
	require.Equal(t, []spread.Move{{ID: "e", Layers: layer.Range{First: 48, End: 52}}}, moves)
}

// A fast card that comes back while a part of its layers is still missing takes all of
// them over from the slow cards that stood in for it, not the missing ones alone.
func TestFastCardTakesOverFromItsStandIns(t *testing.T) {
	cards := tightHall(1, 6, 6)
	carry(cards, spread.Planner{}.Plan(tight, cards))
	was := cards[0].Holds
	require.Equal(t, "large-0", cards[0].ID)
	left := slices.Clone(cards[1:])
	slow := 0
	for i := range left { // the last ones are slow and to spare
		if left[i].Kind == "slow" && slow < 3 {
			left[i].Holds = layer.Range{First: 7 * slow, End: 7*slow + 7}
			slow++
		}
	}
	back := append(left, spread.Card{ID: "back", Hall: "h", Kind: "large"})
	for _, m := range (spread.Planner{}).Plan(tight, back) {
		if m.ID == "back" {
			require.Equal(t, was.Len(), m.Layers.Len())
			require.LessOrEqual(t, m.Layers.First, 7)
			return
		}
	}
	require.Fail(t, "the card got no layers")
}

// What was crowded to close a hole is eased again, one card at a time, once the missing
// card is back: no card stays fuller than its share where another holds its ends, and
// the place never loses a layer.
func TestCrowdedPlaceIsEased(t *testing.T) {
	cards := []spread.Card{
		{ID: "a", Hall: "h", Kind: "large", Holds: layer.Range{First: 0, End: 27}},
		{ID: "b", Hall: "h", Kind: "large", Holds: layer.Range{First: 27, End: 62}},
		{ID: "c", Hall: "h", Kind: "small", Holds: layer.Range{First: 54, End: 59}},
		{ID: "d", Hall: "h", Kind: "small", Holds: layer.Range{First: 59, End: 64}},
		{ID: "e", Hall: "h", Kind: "large", Holds: layer.Range{First: 60, End: 80}},
	}
	moves := spread.Planner{}.Plan(tight, cards)
	require.Equal(t, []spread.Move{{ID: "b", Layers: layer.Range{First: 27, End: 54}}}, moves)
	carry(cards, moves)
	rests(t, cards)
}

// Nothing is eased on the word of a card that is still loading.
func TestNothingIsEasedWhileACardLoads(t *testing.T) {
	cards := []spread.Card{
		{ID: "a", Hall: "h", Kind: "large", Holds: layer.Range{First: 0, End: 35}},
		{ID: "b", Hall: "h", Kind: "large", Holds: layer.Range{First: 27, End: 54}, Settled: true},
		{ID: "c", Hall: "h", Kind: "large", Holds: layer.Range{First: 54, End: 80}},
	}
	require.Empty(t, spread.Planner{}.Plan(tight, cards))
}

// A card that is in use is not moved only because it would be worth more elsewhere.
func TestCardsInUseAreNotEased(t *testing.T) {
	for _, used := range []bool{false, true} {
		cards := []spread.Card{
			{ID: "a", Hall: "h", Kind: "large", Holds: layer.Range{First: 0, End: 27}},
			{ID: "b", Hall: "h", Kind: "large", Holds: layer.Range{First: 27, End: 54}},
			{ID: "c1", Hall: "h", Kind: "small", Holds: layer.Range{First: 54, End: 59}},
			{ID: "c2", Hall: "h", Kind: "small", Holds: layer.Range{First: 59, End: 64}},
			{ID: "c3", Hall: "h", Kind: "small", Holds: layer.Range{First: 64, End: 69}},
			{ID: "c4", Hall: "h", Kind: "small", Holds: layer.Range{First: 69, End: 74}},
			{ID: "c5", Hall: "h", Kind: "small", Holds: layer.Range{First: 74, End: 80}},
			{ID: "d", Hall: "h", Kind: "slow", Holds: layer.Range{First: 0, End: 8}, InUse: true},
			{ID: "e", Hall: "h", Kind: "slow", Holds: layer.Range{First: 0, End: 8}, InUse: used},
		}
		require.Equal(t, used, len(spread.Planner{}.Plan(tight, cards)) == 0)
	}
}
