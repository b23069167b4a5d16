package gateway

import (
	"time"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/placement"
	"github.com/grademill/grademill/role/leader"
)

// leaderSettle is the minimum time between reading the store, for the first time or after an outage,
// and taking the right to give orders: when a fleet starts, the other gateways become known only with
// the next changes.
const leaderSettle = changesSettle + 150*time.Millisecond

// initLeader sets up the giving of orders.
func (g *Gateway) initLeader() {
	plan := g.planMoves
	if plan == nil {
		plan = placement.Planner{EvenRoom: g.EvenRoom}.Plan
	}
	l := &g.leader // requests may already arrive and read whether this gateway leads
	l.Name, l.Store, l.Runners, l.Plan, l.Count, l.Log = g.Name, g.Store, g.Runners, plan, g.Meter.Order, g.Log
	l.Eligible = func() bool {
		return g.loaded.Load() && !g.draining.Load() && g.catalog.Load() != nil && !g.hasLeaderKey.Load()
	}
	l.Ending, l.LeaderHeard, l.Announce, l.Fleet = g.draining.Load, g.leaderHeard, g.gossip.SendSoon, g.orderedFleet
	l.Rank = func() int { return g.gossip.Overlay().FleetRank(leader.Key) }
	l.CurrentFor = func(now time.Time) time.Duration { return elapsed(now, &g.currentSince) }
	l.Settle, l.LapseGrace = leaderSettle, lapseGrace
}

// orderedFleet returns the fleet in the form that the leader needs.
func (g *Gateway) orderedFleet(now time.Time) leader.Fleet {
	f := g.fleet.Load()
	ordered := leader.Fleet{Size: len(f.ByID), Endpoint: func(id string) leader.Endpoint {
		b := f.ByID[id]
		return leader.Endpoint{Record: b.Record, Order: &b.use.pendingOrder, Unused: func() bool {
			return b.use.active.Load()+b.use.othersActive.Load() == 0 && g.peers.AllCovered(g.Name)
		}}
	}}
	for name, service := range g.catalog.Load().Services {
		if service.Model != nil {
			ordered.Deployments = append(ordered.Deployments, leader.Deployment{Model: service.Model, Cards: g.cards(service.Model, f.Open[name], now)})
		}
	}
	return ordered
}

// cards lists the endpoints of a model in the form that the planner needs.
func (g *Gateway) cards(m *catalog.Model, open []*backend, now time.Time) []placement.Card {
	cards := make([]placement.Card, 0, len(open))
	for _, b := range open {
		if _, known := m.Cards[b.Card]; !known || g.hasEnded(b, now) {
			continue
		}
		c := placement.Card{
			ID: b.ID, Hall: b.Hall, Kind: b.Card, AssignedLayers: b.Layers,
			InUse: b.use.active.Load()+b.use.othersActive.Load() > 0,
		}
		if order := b.use.pendingOrder.Load(); order != nil {
			if order.Ended(b.Layers, now) {
				b.use.pendingOrder.CompareAndSwap(order, nil)
			} else {
				c.AssignedLayers, c.Fixed = order.Layers(now), true
			}
		}
		cards = append(cards, c)
	}
	return cards
}
