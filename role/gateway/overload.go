package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/roomshare"
	"github.com/grademill/grademill/decide/shedding"
	"github.com/grademill/grademill/role/overload"
)

// Overload configures what a gateway does while a model service is short of room. The zero value
// switches everything off.
type Overload struct {
	// RoomShares bounds the room that a gateway takes at an endpoint between two digests to its share.
	RoomShares bool
	// FleetAdmission sheds requests by the demand of the whole fleet, as Policy says.
	FleetAdmission bool
	Policy         shedding.Policy
}

// initOverload sets up the overload control.
func (g *Gateway) initOverload() {
	g.overload = overload.Control{
		Hall: g.Hall, Admission: g.Overload.FleetAdmission, Policy: g.Overload.Policy, Seed: xxhash.Sum64String(g.Name),
		Reports: &g.peers, Objective: g.shortestObjective, Waiting: g.queue.WaitingFor, Meter: g.Meter, Log: g.Log,
	}
	if g.Overload.FleetAdmission {
		g.queue.FleetLoad = g.overload.RetryLoad
	}
}

// shortestObjective returns the shortest objective among the routes of a service.
func (g *Gateway) shortestObjective(service string) time.Duration {
	if c := g.catalog.Load(); c != nil && c.Objective(service) > 0 {
		return c.Objective(service)
	}
	return defaultObjective
}

// admitArrival counts a request of a model and reports whether the fleet has room for its class. A
// request that resumes a stream is not shed.
func (g *Gateway) admitArrival(q *query) bool {
	q.decision = g.overload.Arrive(overload.Arrival{
		Service: q.service.Name, Team: q.team, Class: demand.Class{Priority: q.priority, Returning: q.returned},
		Exempt: q.LastEvent != "",
	}, q.start)
	return q.decision.Admit
}

// shareRoom begins a new round of this gateway's budgets of room.
func (g *Gateway) shareRoom(now time.Time) {
	c := g.catalog.Load()
	if c == nil || !g.Overload.RoomShares {
		return
	}
	for name, backends := range g.fleet.Load().open {
		if s := c.Services[name]; s != nil && s.Model != nil {
			for _, b := range backends {
				g.beginRound(s.Model, b)
			}
		}
	}
}

// beginRound begins a new round of the budgets of an endpoint.
func (g *Gateway) beginRound(m *catalog.Model, b *backend) {
	share, whole := g.overload.RoomShare(b.Service, b.Hall)
	typical := float64(m.Prompt) + heldAnswerShare*float64(m.Answer)
	room, free := b.room(m, 0)
	slots := float64(b.Slots)
	freeSlots := slots - float64(b.use.entered.Load()+b.use.othersEntered.Load())
	if whole { // the others are not heard, and may use their own shares
		free, freeSlots = share*room-float64(b.use.held.Load()), share*slots-float64(b.use.entered.Load())
		share = 1
	}
	b.use.budget.Begin(roomshare.Round{Free: free, Share: share, Typical: typical * float64(b.Layers.Len())})
	b.use.slotBudget.Begin(roomshare.Round{Free: freeSlots, Share: share, Typical: 1})
}
