package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/hallcapacity"
	"github.com/grademill/grademill/decide/hallsplit"
	"github.com/grademill/grademill/decide/overdue"
	"github.com/grademill/grademill/decide/requestmemory"
	"github.com/grademill/grademill/decide/shedding"
	"github.com/grademill/grademill/role/gossip"
	"github.com/grademill/grademill/role/overload"
	"github.com/grademill/grademill/state/budget"
	wire "github.com/grademill/grademill/wire/gossip"
)

// Overload configures what a gateway does while a model service is short of room. The zero value
// switches everything off.
type Overload struct {
	// RoomShares bounds the room that a gateway takes at an endpoint between two digests to its share.
	RoomShares bool
	// FleetAdmission sheds requests by the demand of the whole fleet, as Policy says.
	FleetAdmission bool
	Policy         shedding.Policy
	// HallSplit divides the demand of a hall among halls by their capacities.
	HallSplit bool
}

// initOverload sets up the overload control.
func (g *Gateway) initOverload() {
	g.overload = overload.Control{
		Hall: g.Hall, Enabled: g.Overload.RoomShares || g.Overload.FleetAdmission || g.Overload.HallSplit, Admission: g.Overload.FleetAdmission, Policy: g.Overload.Policy, Seed: xxhash.Sum64String(g.Name),
		Reports: &g.peers, Objective: g.shortestObjective, Position: g.position, RequestDuration: g.queue.Times.RequestDuration, Waiting: g.queue.WaitingFor, Meter: g.Meter, Log: g.Log,
	}
	g.overload.Split, g.overload.Halls = g.Overload.HallSplit, g.hallCapacities
	if g.Overload.FleetAdmission {
		g.queue.FleetLoad, g.queue.ReturnShare = g.overload.RetryLoad, g.Overload.Policy.ReturnShare
	}
}

// Load returns the state of the overload control, empty until the store has been read.
func (g *Gateway) Load() overload.Snapshot {
	if !g.read.Load() {
		return overload.Snapshot{Admission: g.Overload.FleetAdmission, Services: []overload.ServiceSnapshot{}}
	}
	return g.overload.Snapshot()
}

// shortestObjective returns the shortest objective among the routes of a service.
func (g *Gateway) shortestObjective(service string) time.Duration {
	if c := g.catalog.Load(); c != nil && c.Objective(service) > 0 {
		return c.Objective(service)
	}
	return overdue.DefaultObjective
}

// position returns the position of this gateway among all, by name.
func (g *Gateway) position() float64 {
	before := 0
	others := g.gossip.Overlay().Others
	for _, m := range others {
		if m.Name < g.Name {
			before++
		}
	}
	return (float64(before) + 0.5) / float64(len(others)+1)
}

// admitArrival counts a request of a model and reports whether the fleet has room for its class. A
// request that resumes a stream is not shed.
func (g *Gateway) admitArrival(q *query, early bool) bool {
	q.decision = g.overload.Arrive(overload.Arrival{
		Service: q.service.Name, Team: q.team, Class: demand.Class{Priority: q.priority, Returning: q.returned},
		Early: early, Exempt: q.LastEvent != "",
	}, q.start)
	return q.decision.Admit
}

// addLoads adds the load reports to a digest: this gateway's own plus those of others.
func (g *Gateway) addLoads(d *wire.Digest, others map[string]demand.Demand, now time.Time) {
	if !g.overload.Enabled {
		return
	}
	demands := g.overload.Demands(now)
	for service, other := range others {
		demands[service] = demands[service].Plus(other)
	}
	d.Loads = gossip.EncodeLoads(demands)
}

// hallCapacities returns the capacities of the halls that have endpoints of a service.
func (g *Gateway) hallCapacities(service string) []hallsplit.Hall {
	c, f, now := g.catalog.Load(), g.fleet.Load(), time.Now()
	if c == nil || c.Services[service] == nil || c.Services[service].Model == nil {
		return nil
	}
	m := c.Services[service].Model
	holders := make([]hallcapacity.Holder, 0, len(f.Open[service]))
	for _, b := range f.Open[service] {
		if card, known := m.Cards[b.Card]; known && !b.use.PresumedDead(now) {
			holders = append(holders, hallcapacity.Holder{Hall: b.Hall, Layers: b.usable(now), Room: m.Room(card, b.Layers.Len()), Slots: b.Slots})
		}
	}
	return hallcapacity.Halls(m, holders, hallcapacity.Request{Tokens: requestmemory.Typical(m), Duration: g.queue.Times.RequestDuration(service)})
}

// shareRoom begins a new round of this gateway's budgets of room. The only gateway of a fleet has
// nobody to share with and is not limited: a full endpoint would otherwise hold requests up for a
// round or two, because a round gives only part of the free room.
func (g *Gateway) shareRoom() {
	c := g.catalog.Load()
	if c == nil || !g.Overload.RoomShares {
		return
	}
	only := g.peers.Announced() > 0 && g.peers.Heard() == 1 && g.peers.AllCovered(g.Name)
	for name, backends := range g.fleet.Load().Open {
		if s := c.Services[name]; s != nil && s.Model != nil {
			for _, b := range backends {
				if only {
					b.use.budget.Lift()
					continue
				}
				g.beginRound(s.Model, b)
			}
		}
	}
}

// beginRound begins a new round of the budgets of an endpoint.
func (g *Gateway) beginRound(m *catalog.Model, b *backend) {
	share, isolated := g.overload.RoomShare(b.Service, b.Hall)
	turnover := 0.0
	if d := g.queue.Times.RequestDuration(b.Service); d > 0 {
		turnover = g.gossip.DigestInterval().Seconds() / d.Seconds()
	}
	room, free := b.room(m, 0)
	slots, entered := float64(b.Slots), float64(b.use.entered.Load())
	b.use.budget.Begin(budget.Round{
		Memory: budget.Part{Total: room, Own: float64(b.use.held.Load()), Free: free, Typical: requestmemory.Typical(m) * float64(b.Layers.Len())},
		Slots:  budget.Part{Total: slots, Own: entered, Free: slots - entered - float64(b.use.othersEntered.Load()), Typical: 1},
		Share:  share, Isolated: isolated, Turnover: turnover,
	})
}
