// Package leader gives orders to endpoints while its gateway holds the right to, which one gateway of a fleet holds at a
// time.
package leader

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/placement"
	"github.com/grademill/grademill/decide/takeover"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/port/runner"
)

// Key holds the name of the gateway that gives orders, under a lease.
const Key = "grademill/giver"

// Timing and bounds of leadership and orders.
const (
	// lease is how long the right to give orders lasts without renewal: a hall that loses a card
	// meanwhile has no chain. The store grants no less than one second, and answers within 0.3 s even
	// when it is slow.
	lease = 1500 * time.Millisecond
	// roundInterval is the time between two rounds of orders.
	roundInterval = 250 * time.Millisecond
	// renewInterval is the time between two renewals of the lease.
	renewInterval = 500 * time.Millisecond
	// stableTime is how long the size of the fleet must stay the same before the first plan: all
	// endpoints of a new system announce themselves within a second or two.
	stableTime = 1200 * time.Millisecond
	// ordersAtOnce bounds the orders that are given concurrently: a fleet of thousands is to hold its
	// layers before callers arrive.
	ordersAtOnce = 32
)

// Store is the part of the store's interface that a leader uses.
type Store interface {
	// Grant creates a lease that lapses after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// KeepAlive renews a lease. It returns a kv.NotFoundError if the lease has lapsed.
	KeepAlive(ctx context.Context, lease string) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease string) error
	// Put writes if the condition holds, and returns the new revision.
	Put(ctx context.Context, w kv.Write) (uint64, error)
}

// Leader takes the right to give orders whenever nobody holds it, and uses it. Set the exported fields
// before Run.
type Leader struct {
	// Name is the name of this gateway.
	Name    string
	Store   Store
	Runners runner.Control
	// Eligible reports whether this gateway may take the right, as far as it knows, Ending whether it is
	// to give the right up. CurrentFor returns for how long the store has been known to it without an
	// outage.
	Eligible, Ending func() bool
	CurrentFor       func(now time.Time) time.Duration
	// Settle is the minimum time of CurrentFor before the right is taken, LapseGrace how long after an
	// outage of the store a lapsed record of an endpoint may be missing.
	Settle, LapseGrace time.Duration
	// Rank is the rank of this gateway among those that may take the right, 0 for the first.
	Rank func() int
	// LeaderHeard reports whether another gateway has recently said that some gateway gives orders.
	LeaderHeard func(now time.Time) bool
	// Announce tells the other gateways soon what this one has ordered.
	Announce func()
	// Fleet returns the endpoints as known at now.
	Fleet func(now time.Time) Fleet
	// Plan returns the moves that improve the placement of a model on cards.
	Plan func(*catalog.Model, []placement.Card) []placement.Move
	// Count counts an order by its result.
	Count func(result string)
	Log   zerolog.Logger

	leading atomic.Bool
}

// Leading reports whether this gateway holds the right to give orders.
func (l *Leader) Leading() bool { return l.leading.Load() }

// Run takes the right to give orders whenever nobody holds it, and uses it until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	var vacant time.Time
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(float64(roundInterval)*(1+rand.Float64())))
		now := time.Now()
		if !l.Eligible() {
			vacant = time.Time{}
			continue
		}
		if vacant.IsZero() {
			vacant = now
		}
		if now.Sub(vacant) < takeover.Delay(l.Rank(), l.LeaderHeard(now)) || l.CurrentFor(now) < l.Settle {
			continue
		}
		t := term{Leader: l}
		if err := t.acquire(ctx); err != nil {
			var held *kv.ConflictError
			if !errors.As(err, &held) {
				l.Log.Warn().Err(err).Msg("the right to give orders could not be taken")
			}
			pause.For(ctx, renewInterval)
			continue
		}
		t.hold(ctx)
		_ = l.Store.Revoke(context.WithoutCancel(ctx), t.lease) // the lease lapses otherwise
	}
}

// term is the time for which a gateway holds the right to give orders.
type term struct {
	*Leader
	// fence is the revision at which the right was taken.
	fence uint64
	lease string
	// renewed is when the lease was last renewed.
	renewed time.Time
	// size is the number of endpoints of the fleet, and changed is when that number last changed.
	size    int
	changed time.Time
}

// acquire takes the right to give orders.
func (t *term) acquire(ctx context.Context) error {
	granted, err := t.Store.Grant(ctx, lease)
	if err != nil {
		return err
	}
	t.lease = granted
	t.fence, err = t.Store.Put(ctx, kv.Write{Key: Key, Value: []byte(t.Name), Lease: granted})
	return err
}

// hold gives orders until the right is lost.
func (t *term) hold(ctx context.Context) {
	t.Log.Info().Uint64("fence", t.fence).Msg("this gateway gives orders")
	t.leading.Store(true)
	t.Announce()
	defer t.leading.Store(false)
	t.renewed = time.Now()
	for ctx.Err() == nil && !t.Ending() {
		if !t.renew(ctx) || !t.round(ctx) {
			return
		}
		pause.For(ctx, roundInterval)
	}
}

// renew renews the lease if that is due. It returns false when the right is lost.
func (t *term) renew(ctx context.Context) bool {
	now := time.Now()
	if now.Sub(t.renewed) < renewInterval {
		return true
	}
	err := t.Store.KeepAlive(ctx, t.lease)
	if err == nil {
		t.renewed = now
		return true
	}
	if kv.IsNotFound(err) || now.Sub(t.renewed) > lease {
		t.Log.Warn().Err(err).Uint64("fence", t.fence).Msg("the right to give orders is lost")
		return false
	}
	return true
}

// plan returns the moves of a plan, and renews the lease while it is computed: a plan for even room
// takes 0.2 s of a whole core for each hall, which is longer than the lease on a small part of a core.
// It returns false when the right is lost or given up; the result is then discarded.
func (t *term) plan(ctx context.Context, m *catalog.Model, cards []placement.Card) ([]placement.Move, bool) {
	planned := make(chan []placement.Move, 1)
	go func() { planned <- t.Plan(m, cards) }()
	due := time.NewTicker(roundInterval)
	defer due.Stop()
	for {
		select {
		case moves := <-planned:
			return moves, true
		case <-ctx.Done():
			return nil, false
		case <-due.C:
			if t.Ending() || !t.renew(ctx) {
				return nil, false
			}
		}
	}
}

// round gives one round of orders. It returns false when the right is lost or given up.
func (t *term) round(ctx context.Context) bool {
	now := time.Now()
	f := t.Fleet(now)
	if f.Size != t.size {
		t.size, t.changed = f.Size, now
	}
	for _, d := range f.Deployments {
		if d.placed() {
			if t.CurrentFor(now) < t.LapseGrace {
				continue // records that lapsed during the outage are written again
			}
		} else if now.Sub(t.changed) < stableTime {
			continue
		}
		moves, held := t.plan(ctx, d.Model, d.Cards)
		if !held || !t.orders(ctx, f, moves, time.Now()) {
			return false
		}
	}
	return true
}

// orders gives the orders of a plan, several concurrently. It returns false when another leader has
// taken over.
func (t *term) orders(ctx context.Context, f Fleet, moves []placement.Move, now time.Time) bool {
	for _, m := range moves {
		f.Endpoint(m.ID).announce(m.Layers, now)
	}
	if len(moves) > 0 {
		t.Announce() // if this process ends now, another leader continues
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, ordersAtOnce)
	var replaced atomic.Bool
	for _, m := range moves {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if t.order(ctx, f.Endpoint(m.ID), m.Layers) {
				replaced.Store(true)
			}
		})
	}
	group.Wait()
	return !replaced.Load()
}
