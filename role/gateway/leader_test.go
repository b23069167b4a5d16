package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/placement"
	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
)

// Load: a plan that takes 3 s, twice the lease of the right to give orders, as a plan for even room in three
// halls does on a seventh of a core. Guards against a leader that loses the right with each such plan.
func TestLeaderKeepsItsRightDuringALongPlan(t *testing.T) {
	t.Parallel()
	var cards []*site.Endpoint
	for _, id := range []string{"card-0", "card-1", "card-2", "card-3"} {
		cards = append(cards, card(id, "north"))
	}
	w := newFixtureWith(t, func(g *gateway.Gateway) {
		g.SetPlanMoves(func(m *catalog.Model, cards []placement.Card) []placement.Move {
			moves := placement.Planner{}.Plan(m, cards)
			if len(moves) > 0 {
				time.Sleep(3 * time.Second)
			}
			return moves
		})
	}, cards...)
	w.eventually(func() bool { return covered(cards, 2) })
	w.waitForLog(`"message":"order given"`)
	require.NotContains(t, w.log.String(), "the right to give orders is lost")
	require.Equal(t, "gateway-1", w.site.Store.Value("grademill/giver"))
}
