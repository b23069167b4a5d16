package gateway

import (
	"math"
	"time"

	"github.com/grademill/grademill/decide/chain"
	"github.com/grademill/grademill/decide/isolation"
	"github.com/grademill/grademill/decide/reread"
	"github.com/grademill/grademill/decide/throttle"
	"github.com/grademill/grademill/decide/unseen"
)

// The costs of a chain beside the engines' own times, in seconds a token.
const (
	// hopNear is handing a token on inside a hall, hopFar to another hall; the
	// latter is dear because all halls share its line.
	hopNear = 0.0003
	hopFar  = 0.006
	// entryFar is beginning in a hall other than the gateway's: it keeps gateways of
	// different halls from choosing alike. Mean worth of the grown sites' four days of
	// high load: 0.72 with 0.002, 0.74 with 0.004.
	entryFar = 0.004
	// maxCrowding bounds how much a nearly full endpoint costs.
	maxCrowding = 12
	// likelyMargin is the part of its answer that a request holds on average, with
	// a margin: it grows to the whole only in the end.
	likelyMargin = 0.6
)

// seat is the room that a request takes along a chain.
type seat struct {
	chain  chain.Chain
	first  *backend
	parts  []*backend
	memory []int64
	// reading is set while the prompt is read.
	reading bool
	// released is set once the room has been given back.
	released bool
}

// read notes that the prompt has been read.
func (s *seat) read() {
	if !s.reading {
		return
	}
	s.reading = false
	for _, b := range s.parts {
		b.use.reading.Add(-1)
	}
}

// release gives the room back, once.
func (s *seat) release() {
	if s.released {
		return
	}
	s.released = true
	s.read()
	s.first.use.entered.Add(-1)
	for i, b := range s.parts {
		b.use.release(s.memory[i])
	}
}

// watch and unwatch change whose watchdog is told when a part is lost.
func (s *seat) watch(w *watchdog) {
	for _, b := range s.parts {
		b.use.watchers.Add(w)
	}
}

func (s *seat) unwatch(w *watchdog) {
	for _, b := range s.parts {
		b.use.watchers.Remove(w)
	}
}

// tokens returns the number of tokens that a request is taken to need.
func (q *query) tokens() int {
	m := q.service.Model
	prompt, likely := q.Prompt, q.LikelyAnswer
	if prompt == 0 {
		prompt = m.Prompt
	}
	if likely == 0 {
		likely = m.Answer
	}
	likely = int(float64(likely) * likelyMargin)
	if q.MaxAnswer > 0 {
		likely = min(likely, q.MaxAnswer)
	}
	return prompt + likely
}

// sight is what a request saw of the endpoints when it found no chain, for the
// log.
type sight struct {
	// need is the number of tokens that it was taken to need.
	need int
	// open, avoided and crowded count the endpoints with layers, those that were
	// passed over, and those without room.
	open, avoided, crowded int
}

// shortage says why there is no chain.
type shortage string

const (
	shortageNone   shortage = ""
	shortageLayers shortage = "no chain holds all layers"
	shortageRoom   shortage = "no chain has room"
	shortageBudget shortage = "the retry budget is used up"
	// shortageHeld is a request all of whose first endpoints take no more for now.
	shortageHeld shortage = "endpoints take no more requests for now"
	// shortageCaller is a request whose caller has left, shortageQuarantine one that is kept
	// from endpoints.
	shortageCaller     shortage = "the caller has left"
	shortageQuarantine shortage = "endpoints have ended under the request"
)

// takeTry takes a seat for a try of a request, with its part of the retry budget
// when the request has reached an endpoint before.
func (g *Gateway) takeTry(q *query, cause string) (*seat, shortage) {
	taken, short := g.takeSeat(q)
	if short != shortageNone {
		return nil, short
	}
	if q.arrived.Load() && !g.again(q, cause) {
		taken.release()
		return nil, shortageBudget
	}
	return taken, shortageNone
}

// takeSeat takes room along the cheapest chain for a request, inside one hall if
// one has room.
func (g *Gateway) takeSeat(q *query) (*seat, shortage) {
	f := g.fleet.Load()
	c := choosers.Get().(*chooser)
	defer choosers.Put(c)
	need := q.tokens()
	c.prepare(q.service.Model, f, g.Hall, g.others(q.service.Name))
	c.together = q.companions()
	c.isolated = g.isolated(q.service.Name, time.Now())
	found, ok := g.findAdmitted(c, q, f, need, useSound)
	if !ok && q.isolatedAt() == "" && !c.isolated.Empty() { // rather beside a suspect than not at all
		c.isolated = isolation.Plan{}
		found, ok = g.findAdmitted(c, q, f, need, useSound)
	}
	if !ok {
		q.seen = sight{need: need, open: c.open, avoided: c.avoided, crowded: c.crowded}
		short := c.shortage()
		c.collect(q, f, need, useFull)
		if _, exists := c.finder.Find(c.holders); exists {
			return nil, short
		}
		// Those that seem to be down may be cut off from this gateway alone, or it
		// may be too slow to hear them.
		if found, ok = g.findAdmitted(c, q, f, need, useDoubtful); !ok {
			return nil, shortageLayers
		}
	}
	return newSeat(found, need, func(p chain.Part) *backend { return f.byID[p.ID] }), shortageNone
}

// others returns how the other gateways use the endpoints of a service.
func (g *Gateway) others(service string) unseen.Flow {
	return unseen.Flow{Told: g.gossip.Every(), Lasts: g.line.Times.Lasts(service)}
}

// heldTries is how many endpoints that name a limit a request may prefer in vain: what it wants of each
// is counted. After that all those are left out that take nothing for now.
const heldTries = 2

// findAdmitted finds the cheapest chain whose first endpoint takes a request now, and counts that
// request there.
func (g *Gateway) findAdmitted(c *chooser, q *query, f *fleet, need int, use choice) (chain.Chain, bool) {
	now := time.Now()
	defer func() { g.noteHeld(q, c.held, now) }()
	again := q.hasLooked()
	c.heldOut = again
	for range heldTries {
		c.collect(q, f, need, use)
		found, ok := g.find(c, q, need)
		if !ok {
			return nil, false
		}
		first := f.byID[found[0].ID]
		if !again {
			first.use.intake.Want(now)
		}
		if first.use.intake.Take(now) == throttle.Free {
			return found, true
		}
		c.heldOut = true
	}
	return nil, false
}

// find finds the cheapest chain inside one hall, or else, as far as the lines
// between halls allow, the cheapest of all.
func (g *Gateway) find(c *chooser, q *query, need int) (chain.Chain, bool) {
	c.hops(math.Inf(1))
	if found, ok := c.finder.Find(c.holders); ok {
		return found, true
	}
	c.hops(hopFar)
	found, ok := c.finder.Find(c.holders)
	return found, ok && g.lines.Allow(q.service.Model, need, g.peers.Size())
}

// moveSeat takes room along the cheapest chain that a request may be moved to
// while it runs: the first part stays, and the others do unless they are
// avoided, as the lost one is.
func (g *Gateway) moveSeat(q *query, old *seat, lost *backend) (*seat, shortage) {
	f := g.fleet.Load()
	c := choosers.Get().(*chooser)
	defer choosers.Put(c)
	need := q.tokens()
	c.prepare(q.service.Model, f, g.Hall, g.others(q.service.Name))
	c.together = lost.use.together()
	c.isolated = isolation.Plan{} // its first part stays
	c.collect(q, f, need, useSound)
	c.keep(old, q, time.Now())
	found, ok := g.find(c, q, need)
	if !ok || found[0] != old.chain[0] {
		return nil, shortageLayers
	}
	return newSeat(found, need, func(p chain.Part) *backend {
		if b := old.part(p); b != nil {
			return b // it may have left the fleet, and still serves what it has
		}
		return f.byID[p.ID]
	}), shortageNone
}

// readTime returns how long the prompt of a request is expected to be read along the seat,
// by the parts that an old seat has not; together is how many requests of all gateways
// each of this one's counts for.
func (s *seat) readTime(q *query, old *seat, together float64) time.Duration {
	m := q.service.Model
	parts := make([]reread.Part, 0, len(s.parts))
	for i, b := range s.parts {
		if old != nil && old.chain.Uses(b.Address) {
			continue
		}
		parts = append(parts, reread.Part{
			Own: float64(b.use.reading.Load()), Others: float64(b.use.othersReading.Load()),
			Share: float64(s.chain[i].Layers.Len()) / float64(m.Layers), Slow: m.Cards[b.Card].Read,
		})
	}
	alone := time.Duration(float64(q.Prompt) / m.ReadRate * float64(time.Second))
	return reread.Time(parts, alone, together)
}

// part returns the backend of the seat that a part of a chain names, nil for none: another life
// under its ID is elsewhere.
func (s *seat) part(p chain.Part) *backend {
	for _, b := range s.parts {
		if b.ID == p.ID && b.Address == p.Address {
			return b
		}
	}
	return nil
}

// newSeat takes room along a chain, whose parts are the backends that of returns.
func newSeat(found chain.Chain, need int, of func(chain.Part) *backend) *seat {
	s := &seat{chain: found, reading: true}
	for _, p := range found {
		b := of(p)
		memory := int64(need * p.Layers.Len())
		b.use.take(memory)
		b.use.reading.Add(1)
		s.parts, s.memory = append(s.parts, b), append(s.memory, memory)
	}
	s.first = s.parts[0]
	s.first.use.entered.Add(1)
	return s
}
