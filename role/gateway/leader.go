package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/pendingorder"
	"github.com/grademill/grademill/decide/placement"
	"github.com/grademill/grademill/decide/takeover"
	"github.com/grademill/grademill/port/kv"
)

// leaderKey holds the name of the gateway that gives orders, under a lease.
const leaderKey = "grademill/giver"

// Timing and bounds of leadership and orders.
const (
	// leaderLease is how long the right to give orders lasts without renewal: a hall that loses a
	// card meanwhile has no chain. The store grants no less than one second, and answers within 0.3
	// s even when it is slow.
	leaderLease = 1500 * time.Millisecond
	// leaderSettle is the minimum time between reading the store, for the first time or after an
	// outage, and taking the right: when a fleet starts, the other gateways become known only with
	// the next changes.
	leaderSettle = changesSettle + 150*time.Millisecond
	// leaderRound is the time between two rounds of orders.
	leaderRound = 250 * time.Millisecond
	// renewEvery is the time between two renewals of the lease.
	renewEvery = 500 * time.Millisecond
	// stableTime is how long the size of the fleet must stay the same before the first plan: all
	// endpoints of a new system announce themselves within a second or two.
	stableTime = 1200 * time.Millisecond
	// ordersAtOnce bounds the orders that are given concurrently: a fleet of thousands is to hold
	// its layers before callers arrive.
	ordersAtOnce = 32
)

// leader gives orders while it holds the right to.
type leader struct {
	g *Gateway
	// fence is the revision at which the right was taken.
	fence uint64
	lease string
	// renewed is when the lease was last renewed.
	renewed time.Time
	// size is the number of endpoints of the fleet, and changed is when that number last changed.
	size    int
	changed time.Time
}

// lead takes the right to give orders whenever nobody holds it, and uses it until ctx ends.
func (g *Gateway) lead(ctx context.Context) {
	var vacant time.Time
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(float64(leaderRound)*(1+rand.Float64())))
		now := time.Now()
		if !g.loaded.Load() || g.draining.Load() || g.catalog.Load() == nil || g.hasLeaderKey.Load() {
			vacant = time.Time{}
			continue
		}
		if vacant.IsZero() {
			vacant = now
		}
		currentFor := time.Duration(now.UnixNano() - g.currentSince.Load())
		if now.Sub(vacant) < takeover.Delay(g.gossip.Overlay().FleetRank(leaderKey), g.leaderHeard(now)) || currentFor < leaderSettle {
			continue
		}
		holder := leader{g: g}
		if err := holder.acquire(ctx); err != nil {
			var held *kv.ConflictError
			if !errors.As(err, &held) {
				g.Log.Warn().Err(err).Msg("the right to give orders could not be taken")
			}
			pause.For(ctx, renewEvery)
			continue
		}
		holder.hold(ctx)
		_ = g.Store.Revoke(context.WithoutCancel(ctx), holder.lease) // the lease lapses otherwise
	}
}

// acquire takes the right to give orders.
func (o *leader) acquire(ctx context.Context) error {
	lease, err := o.g.Store.Grant(ctx, leaderLease)
	if err != nil {
		return err
	}
	o.lease = lease
	o.fence, err = o.g.Store.Put(ctx, kv.Write{Key: leaderKey, Value: []byte(o.g.Name), Lease: lease})
	return err
}

// hold gives orders until the right is lost.
func (o *leader) hold(ctx context.Context) {
	o.g.Log.Info().Uint64("fence", o.fence).Msg("this gateway gives orders")
	o.g.leading.Store(true)
	o.g.gossip.SendSoon()
	defer o.g.leading.Store(false)
	o.renewed = time.Now()
	for ctx.Err() == nil && !o.g.draining.Load() {
		if !o.renew(ctx) || !o.round(ctx) {
			return
		}
		pause.For(ctx, leaderRound)
	}
}

// renew renews the lease if that is due. It returns false when the right is lost.
func (o *leader) renew(ctx context.Context) bool {
	now := time.Now()
	if now.Sub(o.renewed) < renewEvery {
		return true
	}
	err := o.g.Store.KeepAlive(ctx, o.lease)
	if err == nil {
		o.renewed = now
		return true
	}
	if kv.IsNotFound(err) || now.Sub(o.renewed) > leaderLease {
		o.g.Log.Warn().Err(err).Uint64("fence", o.fence).Msg("the right to give orders is lost")
		return false
	}
	return true
}

// plan returns the moves of a plan, and renews the lease while it is computed: with EvenRoom, a plan
// takes 0.2 s of a whole core for each hall, which is longer than the lease on a small part of a
// core. It returns false when the right is lost or given up; the result is then discarded.
func (o *leader) plan(ctx context.Context, m *catalog.Model, cards []placement.Card) ([]placement.Move, bool) {
	compute := o.g.planMoves
	if compute == nil {
		compute = placement.Planner{EvenRoom: o.g.EvenRoom}.Plan
	}
	planned := make(chan []placement.Move, 1)
	go func() { planned <- compute(m, cards) }()
	due := time.NewTicker(leaderRound)
	defer due.Stop()
	for {
		select {
		case moves := <-planned:
			return moves, true
		case <-ctx.Done():
			return nil, false
		case <-due.C:
			if o.g.draining.Load() || !o.renew(ctx) {
				return nil, false
			}
		}
	}
}

// round gives one round of orders. It returns false when the right is lost or given up.
func (o *leader) round(ctx context.Context) bool {
	f, c := o.g.fleet.Load(), o.g.catalog.Load()
	now := time.Now()
	if len(f.ByID) != o.size {
		o.size, o.changed = len(f.ByID), now
	}
	for name, service := range c.Services {
		if service.Model == nil {
			continue
		}
		cards := o.cards(service.Model, f.Open[name], now)
		if holdsAny(cards) {
			if now.UnixNano()-o.g.currentSince.Load() < int64(lapseGrace) {
				continue // records that lapsed during the outage are written again
			}
		} else if now.Sub(o.changed) < stableTime {
			continue
		}
		moves, held := o.plan(ctx, service.Model, cards)
		if !held || !o.orders(ctx, f, moves, time.Now()) {
			return false
		}
	}
	return true
}

// holdsAny reports whether any card holds layers.
func holdsAny(cards []placement.Card) bool {
	return slices.ContainsFunc(cards, func(c placement.Card) bool { return !c.AssignedLayers.Empty() })
}

// orders gives the orders of a plan, several concurrently. It returns false when another leader has
// taken over.
func (o *leader) orders(ctx context.Context, f *fleet, moves []placement.Move, now time.Time) bool {
	for _, m := range moves {
		f.ByID[m.ID].use.setOrdered(m.Layers, now)
	}
	if len(moves) > 0 {
		o.g.gossip.SendSoon() // if this process ends now, another leader continues
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, ordersAtOnce)
	results := make([]pendingorder.Result, len(moves))
	for i, m := range moves {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			results[i] = o.order(ctx, f.ByID[m.ID], m.Layers)
		})
	}
	group.Wait()
	return !slices.Contains(results, pendingorder.Replaced)
}

// cards lists the endpoints of a model in the form that the planner needs.
func (o *leader) cards(m *catalog.Model, open []*backend, now time.Time) []placement.Card {
	cards := make([]placement.Card, 0, len(open))
	for _, b := range open {
		if _, known := m.Cards[b.Card]; !known || o.g.hasEnded(b, now) {
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
