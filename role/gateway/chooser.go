package gateway

import (
	"sync"
	"time"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/chain"
)

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
