package gateway

import (
	"time"

	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/state/peers"
	"github.com/grademill/grademill/wire/gossip"
)

// checkedTold is how long a check that was passed is told of: as long as it may count
// for the last of the gateways that would check the endpoint.
const checkedTold = 3 * time.Second

// Digest returns what this gateway uses at now, with what others of its hall use.
func (g *Gateway) Digest(now time.Time, others map[string]peers.Share) *gossip.Digest {
	d := &gossip.Digest{
		Proven:         g.loaded.Load() && !g.failing.Load(),
		ProofAgeMillis: uint32(max(g.proofAge(now).Milliseconds(), 0)),
		Giving:         g.giving.Load(),
		Cut:            g.feed.Cut(now),
	}
	if others != nil && g.directed(now) {
		d.Giving = true
	}
	for id, b := range g.fleet.Load().byID {
		use := b.use.told(now, others[id])
		if d.GetGiving() {
			b.use.tellOrders(use, now)
		}
		if use.GetActive() == 0 && use.GetHeld() == 0 && use.GetAvoidedMillis() == 0 && use.GetPace() == 0 && use.GetDown() == 0 {
			continue
		}
		use.Endpoint = id
		d.Uses = append(d.Uses, use)
	}
	return d
}

// told returns what is told of an endpoint at now, with what others have there.
func (u *usage) told(now time.Time, others peers.Share) *gossip.Use {
	s := peers.Share{Active: u.active.Load(), Held: u.held.Load(), Reading: u.reading.Load()}
	if u.down() && now.UnixNano()-u.silentAt.Load() < int64(wordFresh) {
		s.Down = 1
	}
	s = s.Plus(others)
	use := &gossip.Use{
		Active: uint32(max(s.Active, 0)), Held: uint64(max(s.Held, 0)),
		Reading: uint32(max(s.Reading, 0)), Down: uint32(max(s.Down, 0)),
		AvoidedMillis: uint32(max((u.stalledUntil.Load()-now.UnixNano())/int64(time.Millisecond), 0)),
	}
	if age := now.UnixNano() - u.checkedAt.Load(); age < int64(checkedTold) {
		use.CheckedMillis = uint32(time.Duration(age).Milliseconds()) + 1
	}
	return use
}

// tellOrders adds what who gives orders says of the endpoint, if it is anything special.
func (u *usage) tellOrders(use *gossip.Use, now time.Time) {
	order := u.orderedLayers(now)
	pace := u.pace.Load()
	if pace == paceUnit && order.Empty() {
		return
	}
	use.Pace, use.OrderedFirst, use.OrderedEnd = uint32(pace), uint32(order.First), uint32(order.End)
}

// Heard takes in a digest of another gateway, or of another hall.
func (g *Gateway) Heard(d *gossip.Digest, now time.Time) {
	f := g.fleet.Load()
	if d.GetGiving() && !g.giving.Load() {
		g.directedAt.Store(now.UnixNano())
		g.hearOrders(f, d, now)
	}
	for _, use := range d.GetUses() {
		b := f.byID[use.GetEndpoint()]
		if b == nil {
			continue
		}
		if use.GetPace() > 0 && !d.GetGiving() { // a sender that names only some
			b.use.hearOrder(use, now)
		}
		if age := use.GetCheckedMillis(); age > 0 {
			b.use.noteOthersCheck(now.Add(-time.Duration(age) * time.Millisecond))
		}
		if use.GetAvoidedMillis() > 0 {
			g.adoptStall(b, now, time.Duration(use.GetAvoidedMillis())*time.Millisecond)
		}
		if use.GetDown() > 0 {
			g.hearDown(b, now)
		}
	}
}

// hearDown has an endpoint checked that another gateway says is down, if this one uses it
// or looks after it: the other gateway may be the one that is cut off.
func (g *Gateway) hearDown(b *backend, now time.Time) {
	news := now.UnixNano()-b.use.othersDownAt.Swap(now.UnixNano()) > int64(wordFresh)
	switch {
	case b.use.down():
	case news && b.use.active.Load() > 0 && !b.use.passed(now):
		g.suspect(b)
	case b.use.active.Load() > 0 || g.looksAfter(b):
		g.doubt(b, now)
	}
}

// hearOrders takes in what who gives orders says of all endpoints.
func (g *Gateway) hearOrders(f *fleet, d *gossip.Digest, now time.Time) {
	told := make(map[string]*gossip.Use, len(d.GetUses()))
	for _, use := range d.GetUses() {
		if use.GetPace() > 0 {
			told[use.GetEndpoint()] = use
		}
	}
	for id, b := range f.byID {
		if use := told[id]; use != nil {
			b.use.hearOrder(use, now)
			continue
		}
		b.use.pace.Store(paceUnit)
		b.use.ordered.Store(nil)
	}
}

// hearOrder takes in what who gives orders says of the endpoint.
func (u *usage) hearOrder(use *gossip.Use, now time.Time) {
	u.pace.Store(int64(use.GetPace()))
	u.setOrdered(layer.Range{First: int(use.GetOrderedFirst()), End: int(use.GetOrderedEnd())}, now)
}

// directed reports whether the gateway that gives orders has been heard of lately.
func (g *Gateway) directed(now time.Time) bool {
	return now.UnixNano()-g.directedAt.Load() < int64(wordFresh)
}

// adoptStall passes an endpoint over for as long as another gateway does, and has
// the streams through it moved when this is news.
func (g *Gateway) adoptStall(b *backend, now time.Time, wait time.Duration) {
	news := !b.use.dead(now)
	b.use.othersStalled.Store(now.Add(wait).UnixNano())
	if news {
		b.use.watchers.kick()
	}
}

// Tick compares this gateway's proof with the others'.
func (g *Gateway) Tick(now time.Time) {
	g.compare(now)
}
