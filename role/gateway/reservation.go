package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/grademill/grademill/decide/chain"
	"github.com/grademill/grademill/decide/failover"
	"github.com/grademill/grademill/decide/requestmemory"
	"github.com/grademill/grademill/decide/shortage"
	"github.com/grademill/grademill/decide/throttle"
	"github.com/grademill/grademill/decide/unreported"
	"github.com/grademill/grademill/state/retrybudgets"
)

// reservation is the room that a request holds along a chain.
type reservation struct {
	chain  chain.Chain
	first  *backend
	parts  []*backend
	memory []int64
	// reading is set while the endpoints read the prompt.
	reading bool
	// released is set once the room has been given back.
	released bool
	// charged is set if the room is charged to this gateway's shares of free room.
	charged bool
	// admittedAt is when the request was counted against the limit of the first endpoint.
	admittedAt time.Time
	// retry is the retry taken for the attempt that the reservation is for, nil for none.
	retry *retrybudgets.Charge
}

// joining returns the endpoints of another reservation that this one does not have.
func (s *reservation) joining(next *reservation) []*backend {
	return slices.DeleteFunc(slices.Clone(next.parts), func(b *backend) bool {
		return b.among(s.parts)
	})
}

// cancel releases a reservation along which nothing was sent, and gives back its place in the limit
// of the first endpoint, and its retry. On nil it does nothing.
func (s *reservation) cancel() {
	if s == nil {
		return
	}
	s.retry.Return()
	s.releaseUnsent()
	s.first.use.intake.GiveBack(s.admittedAt, time.Now())
}

// lost reports whether an endpoint of the chain does not answer.
func (s *reservation) lost() bool {
	return slices.ContainsFunc(s.parts, func(b *backend) bool { return b.use.Down() })
}

// halls returns the data halls of the endpoints of the chain, in its order.
func (s *reservation) halls() []string {
	names := make([]string, 0, len(s.parts))
	for _, b := range s.parts {
		names = append(names, b.Hall)
	}
	return names
}

// charge charges the room to this gateway's shares of free room. The room of requests that these do
// not hold up is not charged: the requests moved after a loss would use up the shares of the few
// endpoints that hold the lost layers, and new requests would find no room there for seconds.
func (s *reservation) charge() {
	s.charged = true
	for i, b := range s.parts {
		b.use.budget.Take(float64(s.memory[i]), i == 0)
	}
}

// releaseMoved releases the reservation of a request that has been moved. It keeps most of the room.
func (s *reservation) releaseMoved() {
	s.charged = false
	s.release()
}

// releaseUnsent releases a reservation along which nothing was sent, and gives back its part of this
// gateway's shares of room.
func (s *reservation) releaseUnsent() {
	if !s.released && s.charged {
		for i, b := range s.parts {
			b.use.budget.GiveBack(float64(s.memory[i]), i == 0)
		}
	}
	s.release()
}

// notePromptRead notes that the endpoints have read the prompt.
func (s *reservation) notePromptRead() {
	if !s.reading {
		return
	}
	s.reading = false
	for _, b := range s.parts {
		b.use.reading.Add(-1)
	}
}

// release gives the room back. Further calls do nothing.
func (s *reservation) release() {
	if s.released {
		return
	}
	s.released = true
	reusable := s.charged && !s.reading // a rejected request frees nothing
	s.notePromptRead()
	s.first.use.entered.Add(-1)
	for i, b := range s.parts {
		b.use.release(s.memory[i])
		if reusable {
			b.use.budget.Release(float64(s.memory[i]), i == 0)
		}
	}
}

// addWatchdog and removeWatchdog set which watchdog is notified when an endpoint of the chain is
// lost.
func (s *reservation) addWatchdog(w *watchdog) {
	for _, b := range s.parts {
		b.use.watchers.Add(w)
	}
}

func (s *reservation) removeWatchdog(w *watchdog) {
	for _, b := range s.parts {
		b.use.watchers.Remove(w)
	}
}

// tokens returns the estimated number of tokens for which the request needs memory.
func (q *query) tokens() int {
	return requestmemory.Tokens(q.service.Model, requestmemory.Sizes{Prompt: q.Prompt, ExpectedAnswer: q.ExpectedAnswer, MaxAnswer: q.MaxAnswer})
}

// reserveAttempt makes a reservation for another attempt of a request and takes a retry from the
// budget for it.
func (g *Gateway) reserveAttempt(q *query, cause string) (*reservation, shortage.Shortage) {
	taken, short := g.reserve(q)
	if short != shortage.None {
		return nil, short
	}
	if taken.retry, short = g.takeRetry(q, cause); taken.retry == nil {
		taken.cancel()
		return nil, short
	}
	return taken, shortage.None
}

// reserve reserves room for a request along the cheapest chain, preferably within one hall.
func (g *Gateway) reserve(q *query) (*reservation, shortage.Shortage) {
	f := g.fleet.Load()
	c := choosers.Get().(*chooser)
	defer choosers.Put(c)
	need := q.tokens()
	c.prepare(q.service.Model, cmp.Or(q.decision.Hall, g.Hall), g.peerFlow(q.service.Name))
	c.fleetFactor = q.requestFactor()
	c.withinShares = g.Overload.RoomShares && !q.everReached.Load() && q.guard.Endpoint() == "" // a request that was sent is not held up
	c.reserved = g.quarantine.Reserved(time.Now())
	found, ok := g.findAdmitted(c, q, f, need, skipAvoidedAndFull)
	if !ok && q.guard.Endpoint() != "" { // nothing else is sent there meanwhile, and the endpoint itself may refuse it
		found, ok = g.findAdmitted(c, q, f, need, skipAvoided)
	}
	if !ok {
		q.lastSearch = &shortage.Search{Need: need, Open: c.open, Avoided: c.avoided, Crowded: c.crowded}
		short := c.shortage()
		if g.search(c, q, func() { c.collect(q, f, need, skipAvoided) }, func() bool { return true }) != nil {
			return nil, short
		}
		c.reserved = nil // an endpoint at which a suspect is tried is better than none
		// Endpoints that seem to be down may be unreachable for this gateway alone, or this process
		// may be too slow to receive their answers.
		if found, ok = g.findAdmitted(c, q, f, need, skipFull); !ok {
			return nil, shortage.Layers
		}
	}
	taken := newReservation(found, need, func(p chain.Stage) *backend { return f.ByID[p.ID] })
	if c.withinShares {
		taken.charge()
	}
	taken.admittedAt = c.admittedAt
	return taken, shortage.None
}

// otherChain returns the endpoints of a chain without avoided ones, nil for none.
func (g *Gateway) otherChain(q *query) []*backend {
	f := g.fleet.Load()
	c := choosers.Get().(*chooser)
	defer choosers.Put(c)
	c.prepare(q.service.Model, cmp.Or(q.decision.Hall, g.Hall), g.peerFlow(q.service.Name))
	c.reserved = g.quarantine.Reserved(time.Now())
	var parts []*backend
	for _, p := range g.search(c, q, func() { c.collect(q, f, q.tokens(), skipAvoided) }, func() bool { return true }) {
		parts = append(parts, f.ByID[p.ID])
	}
	return parts
}

// peerFlow returns how the other gateways use the endpoints of a service.
func (g *Gateway) peerFlow(service string) unreported.Usage {
	return unreported.Usage{ReportInterval: g.gossip.DigestInterval(), RequestDuration: g.queue.Times.RequestDuration(service)}
}

// maxHeldPicks is the number of endpoints at their announced limit that a search may pick, so that
// the demand for each is counted. After that, endpoints that accept nothing for now are left out.
const maxHeldPicks = 2

// findAdmitted finds the cheapest chain whose first endpoint accepts a request now, and counts the
// request against its limit.
func (g *Gateway) findAdmitted(c *chooser, q *query, f *fleet, need int, use candidateFilter) (chain.Chain, bool) {
	now := time.Now()
	defer func() { g.noteDeclined(q, c.declining, now) }()
	again := q.hasSearched()
	c.skipLimited = again
	for range maxHeldPicks {
		found := g.search(c, q, func() { c.collect(q, f, need, use) }, g.mayLeaveHall(q, need))
		if found == nil {
			return nil, false
		}
		first := f.ByID[found[0].ID]
		if !again {
			first.use.intake.CountDemand(now)
		}
		if first.use.intake.Take(now) == throttle.NotHeld {
			c.admittedAt = now
			return found, true
		}
		c.skipLimited = true
	}
	return nil, false
}

// search returns the cheapest chain of the holders that collect lists, preferably within one hall, and
// across halls if mayLeave allows it; nil for none. A fault leaves only the chooser half changed, which
// then starts anew.
func (g *Gateway) search(c *chooser, q *query, collect func(), mayLeave func() bool) (found chain.Chain) {
	if !g.faults.Run(q.ID, func() {
		collect()
		if cheapest, ok := c.finder.FindNear(c.holders, mayLeave); ok {
			found = cheapest
		}
	}) {
		*c = chooser{}
	}
	return found
}

// mayLeaveHall returns a function that takes the room that a chain across halls needs on the links
// between them, and reports whether there was enough.
func (g *Gateway) mayLeaveHall(q *query, need int) func() bool {
	return func() bool { return g.linklimit.Allow(q.service.Model, need, g.peers.Size()) }
}

// reserveMove reserves room along the cheapest chain to which a running request can be moved. The
// first endpoint stays, and so do the others unless they are avoided, as the lost one is.
func (g *Gateway) reserveMove(q *query, old *reservation, lost *backend) (*reservation, shortage.Shortage) {
	f := g.fleet.Load()
	c := choosers.Get().(*chooser)
	defer choosers.Put(c)
	need := q.tokens()
	c.prepare(q.service.Model, g.Hall, g.peerFlow(q.service.Name))
	c.fleetFactor = lost.use.fleetFactor()
	c.reserved = g.quarantine.Reserved(time.Now())
	found := g.search(c, q, func() {
		c.collect(q, f, need, skipAvoidedAndFull)
		c.keepChain(old, q, time.Now())
	}, g.mayLeaveHall(q, need))
	if found == nil || found[0] != old.chain[0] {
		return nil, shortage.Layers
	}
	return newReservation(found, need, func(p chain.Stage) *backend {
		if b := old.backendOf(p); b != nil {
			return b // it may have left the fleet, and still runs its requests
		}
		return f.ByID[p.ID]
	}), shortage.None
}

// promptReadTime returns the expected time until the endpoints that were not part of the old
// reservation have read the prompt. fleetFactor is how many requests of the whole fleet are moved at
// the same time for each one of this gateway: see usage.fleetFactor.
func (s *reservation) promptReadTime(q *query, old *reservation, fleetFactor float64) time.Duration {
	m := q.service.Model
	parts := make([]failover.Reader, 0, len(s.parts))
	for i, b := range s.parts {
		if old != nil && old.chain.Uses(b.Address) {
			continue
		}
		parts = append(parts, failover.Reader{
			OwnPrompts: float64(b.use.reading.Load()), OtherPrompts: float64(b.use.othersReading.Load()),
			Share: float64(s.chain[i].Layers.Len()) / float64(m.Layers), TimeFactor: m.Cards[b.Card].PromptTimeFactor,
		})
	}
	alone := time.Duration(float64(q.Prompt) / m.ReadRate * float64(time.Second))
	return failover.ReadTime(parts, alone, fleetFactor)
}

// backendOf returns the backend of the reservation that a part of a chain names, nil for none.
// Another incarnation with the same ID has another address.
func (s *reservation) backendOf(p chain.Stage) *backend {
	for _, b := range s.parts {
		if b.ID == p.ID && b.Address == p.Address {
			return b
		}
	}
	return nil
}

// newReservation reserves room along a chain. backendOf maps its parts to backends.
func newReservation(found chain.Chain, need int, backendOf func(chain.Stage) *backend) *reservation {
	s := &reservation{chain: found, reading: true}
	for _, p := range found {
		b := backendOf(p)
		memory := int64(need * p.Layers.Len())
		b.use.take(memory)
		b.use.reading.Add(1)
		s.parts, s.memory = append(s.parts, b), append(s.memory, memory)
	}
	s.first = s.parts[0]
	s.first.use.entered.Add(1)
	return s
}
