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

// The plan depends on what cards hold alone, not on the order in which they are
// listed.
func TestPlanDoesNotDependOnOrder(t *testing.T) {
	cards := hall("h", 1, 3, 8)
	want := spread.Planner{}.Plan(model, cards)
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(cards), func(i, j int) { cards[i], cards[j] = cards[j], cards[i] })
	require.Equal(t, want, spread.Planner{}.Plan(model, cards))
}

// Whichever card goes, the others close the hole with one move at a time: one
// whose layers others hold gives its own up.
func TestHolesAreFilled(t *testing.T) {
	holes := 0
	for lost := range hall("h", 1, 3, 8) {
		cards := hall("h", 1, 3, 8)
		carry(cards, spread.Planner{}.Plan(model, cards))
		left := slices.Delete(slices.Clone(cards), lost, lost+1)
		if slices.Contains(copies(left, "h"), 0) {
			holes++
		}
		for range len(cards) {
			moves := spread.Planner{}.Plan(model, left)
			if len(moves) == 0 {
				break
			}
			require.Len(t, moves, 1)
			carry(left, moves)
		}
		require.NotContains(t, copies(left, "h"), 0, cards[lost].ID)
	}
	require.Positive(t, holes)
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
