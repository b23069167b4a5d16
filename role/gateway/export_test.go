package gateway

import (
	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/placement"
)

// SetPlanMoves replaces placement.Planner.Plan. Call it before Run.
func (g *Gateway) SetPlanMoves(plan func(*catalog.Model, []placement.Card) []placement.Move) {
	g.planMoves = plan
}
