package gateway

import (
	"time"

	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/liveness"
	"github.com/grademill/grademill/state/pace"
	"github.com/grademill/grademill/state/peers"
	"github.com/grademill/grademill/wire/gossip"
)

// Digest returns the use that this gateway makes of endpoints at now, plus that of others. others
// is nil for the gateway's own digest; for the digest of a whole hall it holds the shares of the
// other gateways of the hall by endpoint ID, and demands their demands by service.
func (g *Gateway) Digest(now time.Time, others map[string]peers.Usage, demands map[string]demand.Demand) *gossip.Digest {
	d := &gossip.Digest{
		Proven:         g.loaded.Load() && !g.failing.Load(),
		ProofAgeMillis: uint32(max(g.proofAge().Milliseconds(), 0)),
		Leading:        g.leader.Leading(),
		Cut:            g.feed.Cut(now),
		Suspects:       g.quarantine.Reports(now, others != nil),
	}
	if others == nil { // a hall's digest does not repeat what its gateways say themselves
		g.partition.AddToDigest(d)
	}
	if others != nil && now.UnixNano()-g.leaderDirectAt.Load() < int64(liveness.ReportFresh) {
		d.Leading = true // the leader is in this hall
	}
	g.membership.AddToDigest(d, now)
	g.addLoads(d, demands, now)
	for id, b := range g.fleet.Load().ByID {
		if b.use.unused(now) && (others == nil || others[id] == peers.Usage{}) {
			continue // the case of most endpoints of a large fleet
		}
		checked := b.use.CheckedAt.Load()
		if others != nil && b.Hall == g.Hall { // a hall's digest is authoritative on its own endpoints
			checked = max(checked, b.use.OthersCheckedAt.Load())
		}
		use := b.use.digestEntry(now, others[id], checked)
		if held, differs := b.reportedLayers(now); differs && use.GetCheckedMillis() > 0 {
			use.Misheld, use.HeldFirst, use.HeldEnd = true, uint32(held.First), uint32(held.End)
		}
		if d.GetLeading() {
			b.use.addOrder(use, now)
		}
		g.throttling.AddToDigest(use, &b.use.intake, others[id], others != nil, now)
		if isEmptyUse(use) {
			continue
		}
		use.Endpoint = id
		d.Uses = append(d.Uses, use)
	}
	return d
}

// unused reports whether this gateway has no requests at the endpoint and knows nothing of it that
// others might not know.
func (u *usage) unused(now time.Time) bool {
	return u.active.Load() == 0 && u.held.Load() == 0 && !u.Down() && u.StalledFor(now) == 0 &&
		u.LatestCheckAge(now) >= liveness.CheckReportTime && u.pendingOrder.Load() == nil && !u.intake.ReportsLimit(now)
}

// digestEntry returns the digest entry of an endpoint at now, plus the use by others; checked is
// when it last passed a check, in nanoseconds of Unix time.
func (u *usage) digestEntry(now time.Time, others peers.Usage, checked int64) *gossip.Use {
	s := peers.Usage{
		Active: u.active.Load(), Entered: u.entered.Load(), Held: u.held.Load(), Reading: u.reading.Load(),
	}
	if u.Reportable(now) {
		s.Down = 1
	}
	s = s.Plus(others)
	use := &gossip.Use{
		Active: uint32(max(s.Active, 0)), Entered: uint32(max(s.Entered, 0)), Held: uint64(max(s.Held, 0)),
		Reading: uint32(max(s.Reading, 0)), Down: uint32(max(s.Down, 0)),
		AvoidedMillis: uint32(u.StalledFor(now).Milliseconds()),
	}
	if age := now.UnixNano() - checked; age < int64(liveness.CheckReportTime) {
		use.CheckedMillis = uint32(time.Duration(age).Milliseconds()) + 1
		if slow := u.slowness(now); slow > pace.Unit {
			use.Pace = uint32(slow)
		}
	}
	return use
}

// isEmptyUse reports whether a use contains nothing that others need to know.
func isEmptyUse(use *gossip.Use) bool {
	return use.GetActive() == 0 && use.GetHeld() == 0 && use.GetAvoidedMillis() == 0 && use.GetDown() == 0 &&
		use.GetCheckedMillis() == 0 && use.GetOrderedEnd() == 0 && use.GetLimitAgeMillis() == 0 && use.GetWantedMillis() == 0
}

// addOrder adds the order that the endpoint carries out, if there is one.
func (u *usage) addOrder(use *gossip.Use, now time.Time) {
	order := u.orderedLayers(now)
	use.OrderedFirst, use.OrderedEnd = uint32(order.First), uint32(order.End)
}

// HandleDigest handles a digest of another gateway, or of another hall.
func (g *Gateway) HandleDigest(d *gossip.Digest, now time.Time) {
	g.membership.HandleReport(d, now)
	f := g.fleet.Load()
	g.quarantine.HearReports(d.GetSuspects(), d.GetGateway(), now)
	if d.GetMembers() == 0 {
		g.partition.HandleReport(d.GetGateway(), d.GetOutage(), now)
	}
	if d.GetLeading() {
		g.leaderHeardAt.Store(now.UnixNano())
		if d.GetMembers() == 0 { // only the leader's own digest is relayed: otherwise an echo would never end
			g.leaderDirectAt.Store(now.UnixNano())
		}
		g.handleOrders(f, d, now)
	}
	for _, use := range d.GetUses() {
		b := f.ByID[use.GetEndpoint()]
		if b == nil {
			continue
		}
		if age := use.GetCheckedMillis(); age > 0 {
			at := now.Add(-time.Duration(age) * time.Millisecond)
			b.use.NoteOthersCheck(at)
			b.use.pace.Set(float64(use.GetPace())/pace.Unit, at)
			if use.GetMisheld() {
				b.noteLayers(layer.Range{First: int(use.GetHeldFirst()), End: int(use.GetHeldEnd())}, at)
			}
		}
		g.throttling.HearReport(b.ID, &b.use.intake, use, d.GetMembers() > 0, now)
		if use.GetAvoidedMillis() > 0 {
			g.handleStallReport(b, now, time.Duration(use.GetAvoidedMillis())*time.Millisecond)
		}
		if use.GetDown() > 0 && d.GetMembers() == 0 {
			g.handleDownReport(b, d.GetGateway(), now)
		}
	}
}

// HandleLoss handles the report that an endpoint does not answer another gateway.
func (g *Gateway) HandleLoss(l *gossip.Loss, now time.Time) {
	if b := g.fleet.Load().ByID[l.GetEndpoint()]; b != nil {
		g.handleDownReport(b, l.GetGateway(), now)
	}
}

// HandleEnds handles a report by another gateway on endpoints that have ended under requests.
func (g *Gateway) HandleEnds(e *gossip.Ends, now time.Time) {
	g.quarantine.HearEnds(e, now)
}

// HandleSuspects handles what another gateway tells of requests that may crash endpoints.
func (g *Gateway) HandleSuspects(s *gossip.Suspects, now time.Time) {
	g.quarantine.HearSuspects(s, now)
}

// handleDownReport handles a report by another gateway that an endpoint is down. The other gateway
// may be cut off itself: its report alone only causes a check, if this gateway uses the endpoint or
// is one of its checkers. After reports by two gateways the endpoint is avoided, and streams
// through it whose events are overdue are moved.
func (g *Gateway) handleDownReport(b *backend, from string, now time.Time) {
	if b.use.Down() {
		return
	}
	isNew, believed := b.use.ReportDown(from, now)
	if believed {
		g.believeDown(b, now)
	}
	switch {
	case isNew && b.use.active.Load() > 0 && !b.use.HasRecentEvent(now):
		g.checkAsync(b)
	case b.use.active.Load() > 0 || g.isChecker(b):
		g.checkIfUncertain(b, now)
	}
}

// believeDown presumes an endpoint dead because other gateways report it down.
func (g *Gateway) believeDown(b *backend, now time.Time) {
	if !b.use.BelieveDown(now) {
		return
	}
	g.Log.Info().Str("endpoint", b.ID).Str("address", b.Address).Int("witnesses", b.use.Reporters.Count(now)).
		Int64("active", b.use.active.Load()).Msg("endpoint is down by the word of others")
	b.use.watchers.checkSoon()
}

// handleOrders records the orders under way. While this gateway itself gives orders, those of
// another leader, whose right has ended, are added to its own.
func (g *Gateway) handleOrders(f *fleet, d *gossip.Digest, now time.Time) {
	reported := make(map[string]layer.Range, len(d.GetUses()))
	for _, use := range d.GetUses() {
		reported[use.GetEndpoint()] = layer.Range{First: int(use.GetOrderedFirst()), End: int(use.GetOrderedEnd())}
	}
	leading := g.leader.Leading()
	for id, b := range f.ByID {
		layers := reported[id]
		if layers.Empty() && (leading || b.use.pendingOrder.Load() == nil) {
			continue
		}
		b.use.setOrdered(layers, now)
	}
}

// leaderHeard reports whether a digest has recently said that some gateway gives orders.
func (g *Gateway) leaderHeard(now time.Time) bool {
	return now.UnixNano()-g.leaderHeardAt.Load() < int64(liveness.ReportFresh)
}

// handleStallReport avoids an endpoint for as long as another gateway does, and has the streams
// through it moved unless it was already presumed dead.
func (g *Gateway) handleStallReport(b *backend, now time.Time, wait time.Duration) {
	if b.use.NoteOthersStall(now, wait) {
		b.use.watchers.checkSoon()
	}
}

// Tick divides the limits of endpoints anew, compares this gateway's freshness proof with those of
// the others, and advances the quarantine.
func (g *Gateway) Tick(now time.Time) {
	for id, b := range g.fleet.Load().ByID {
		g.throttling.UpdateShare(id, &b.use.intake, now)
	}
	g.overload.Tick(now)
	g.retries.Tick(g.Clock())
	g.shareRoom()
	g.partition.Tick(now)
	g.quarantine.Tick(now)
}
