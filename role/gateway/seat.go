package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/chain"
)

// The costs of a chain beside the engines' own times, in seconds a token.
const (
	// hopNear is handing a token on inside a hall, hopFar to another hall; the
	// latter is dear because all halls share its line.
	hopNear = 0.0003
	hopFar  = 0.006
	// entryFar is beginning in a hall other than the gateway's.
	entryFar = 0.002
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

// release gives the room back.
func (s *seat) release() {
	s.read()
	for i, b := range s.parts {
		b.use.release(s.memory[i])
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

// chooser chooses chains of one model; it may be used by one goroutine at a
// time.
type chooser struct {
	finder  chain.Finder
	holders []chain.Holder
	// open, avoided and crowded count the endpoints of the model, and those that
	// were left out because they are passed over or have no room.
	open, avoided, crowded int
}

// choosers keep their working memory between requests.
var choosers = sync.Pool{New: func() any { return new(chooser) }}

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
)

// takeSeat takes room along the cheapest chain for a request, inside one hall if
// one has room.
func (g *Gateway) takeSeat(q *query) (*seat, shortage) {
	f := g.fleet.Load()
	c := choosers.Get().(*chooser)
	defer choosers.Put(c)
	need := q.tokens()
	c.prepare(q.service.Model, f, g.Hall)
	c.collect(q, f, need, false)
	found, ok := g.find(c, q, need)
	if !ok {
		q.seen = sight{need: need, open: c.open, avoided: c.avoided, crowded: c.crowded}
		c.collect(q, f, need, true)
		if _, exists := c.finder.Find(c.holders); exists {
			return nil, shortageRoom
		}
		return nil, shortageLayers
	}
	return newSeat(found, need, func(id string) *backend { return f.byID[id] }), shortageNone
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
	return found, ok && g.lines.allow(q.service.Model, need, g.peers.count())
}

// moveSeat takes room along the cheapest chain that a request may be moved to
// while it runs: the first part stays, and the others do unless they are
// avoided.
func (g *Gateway) moveSeat(q *query, old *seat) (*seat, shortage) {
	f := g.fleet.Load()
	c := choosers.Get().(*chooser)
	defer choosers.Put(c)
	need := q.tokens()
	c.prepare(q.service.Model, f, g.Hall)
	c.collect(q, f, need, false)
	c.keep(old, q, time.Now())
	found, ok := g.find(c, q, need)
	if !ok || found[0] != old.chain[0] {
		return nil, shortageLayers
	}
	return newSeat(found, need, func(id string) *backend {
		if b := old.part(id); b != nil {
			return b // it may have left the fleet, and still serves what it has
		}
		return f.byID[id]
	}), shortageNone
}

// part returns the backend of the seat with an ID, nil for none.
func (s *seat) part(id string) *backend {
	for _, b := range s.parts {
		if b.ID == id {
			return b
		}
	}
	return nil
}

// newSeat takes room along a chain of backends that byID knows.
func newSeat(found chain.Chain, need int, byID func(string) *backend) *seat {
	s := &seat{chain: found, reading: true}
	for _, p := range found {
		b := byID(p.ID)
		memory := int64(need * p.Layers.Len())
		b.use.take(memory)
		b.use.reading.Add(1)
		s.parts, s.memory = append(s.parts, b), append(s.memory, memory)
	}
	s.first = s.parts[0]
	return s
}

// keptCost is what a layer costs that a request has already passed through, in
// parts of its usual cost: it need not be read again.
const keptCost = 0.05

// keep prepares the holders for moving a request away from an old seat: the
// parts that are not avoided stay as they are, and nothing else takes the layers
// of the first part.
func (c *chooser) keep(old *seat, q *query, now time.Time) {
	head := old.chain[0].Layers.End
	holders := c.holders[:0]
	for _, h := range c.holders {
		if old.chain.Uses(h.Address) {
			continue
		}
		h.Layers.First = max(h.Layers.First, head)
		if !h.Layers.Empty() {
			holders = append(holders, h)
		}
	}
	for i, p := range old.chain {
		b := old.parts[i]
		if i > 0 && (q.avoids(p.Address) || b.use.dead(now)) {
			continue
		}
		card := q.service.Model.Cards[b.Card]
		holders = append(holders, chain.Holder{
			ID: p.ID, Address: p.Address, Hall: b.hall, Layers: p.Layers,
			PerLayer: layerTime(q.service.Model, card, q, b.use) * keptCost,
		})
	}
	c.holders = holders
}

// prepare sets the model and the costs of beginning in a hall.
func (c *chooser) prepare(m *catalog.Model, f *fleet, home string) {
	c.finder.Layers = m.Layers
	c.finder.Entry = c.finder.Entry[:0]
	for _, hall := range f.halls {
		entry := entryFar
		if hall == home {
			entry = 0
		}
		c.finder.Entry = append(c.finder.Entry, entry)
	}
}

// hops sets the costs of handing a token on, between two halls that of far.
func (c *chooser) hops(far float64) {
	halls := len(c.finder.Entry)
	c.finder.Hops = c.finder.Hops[:0]
	for i := range halls {
		row := make([]float64, halls)
		for j := range row {
			row[j] = far
		}
		row[i] = hopNear
		c.finder.Hops = append(c.finder.Hops, row)
	}
}

// collect lists the backends that a request may use. Unless full is set it
// leaves out those without room for it.
func (c *chooser) collect(q *query, f *fleet, need int, full bool) {
	c.holders = c.holders[:0]
	c.open, c.avoided, c.crowded = 0, 0, 0
	m := q.service.Model
	now := time.Now()
	for _, b := range f.open[q.service.Name] {
		layers := b.Layers.Len()
		if layers == 0 {
			continue
		}
		c.open++
		if q.avoids(b.Address) || b.use.avoided(now) {
			c.avoided++
			continue
		}
		card := m.Cards[b.Card]
		room := float64(m.Room(card, layers) * layers)
		held := float64(b.use.held.Load() + b.use.othersHeld.Load())
		free := room - held - float64(need*layers)
		active := b.use.active.Load() + b.use.othersActive.Load()
		if !full && (free < 0 || int(active) >= b.Slots) {
			c.crowded++
			continue
		}
		c.holders = append(c.holders, chain.Holder{
			ID: b.ID, Address: b.Address, Hall: b.hall, Layers: b.Layers,
			PerLayer: layerTime(m, card, q, b.use) * float64(b.use.pace.Load()) / paceUnit * crowding(free, room),
		})
	}
}

// layerTime returns the seconds that one layer adds to a token. The reading of the
// prompt, after those that are being read there, is spread over the tokens of the
// answer.
func layerTime(m *catalog.Model, card catalog.Card, q *query, u *usage) float64 {
	active := u.active.Load() + u.othersActive.Load()
	reading := u.reading.Load() + u.othersReading.Load()
	step := m.Step.Seconds() + float64(active)*m.PerSequence.Seconds()
	read := float64(1+reading) * float64(q.Prompt) / m.ReadRate / float64(max(q.LikelyAnswer, 1))
	return (step*card.Pace + read*card.Read) / float64(m.Layers)
}

// crowding returns how much dearer an endpoint is for the memory in use.
func crowding(free, room float64) float64 {
	if free <= 0 || room <= 0 {
		return maxCrowding
	}
	return min(room/free, maxCrowding)
}
