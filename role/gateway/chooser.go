package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/chain"
	"github.com/grademill/grademill/decide/isolation"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/throttle"
	"github.com/grademill/grademill/decide/unreported"
	"github.com/grademill/grademill/state/pace"
)

// chooser searches for chains of one model. It is not safe for concurrent use.
type chooser struct {
	finder  chain.Finder
	holders []chain.Holder
	// noise is the random cost factor of each hall for this request.
	noise []float64
	// fleetFactor is how many requests of the whole fleet are moved or sent again for the same
	// reason, for each one of this gateway: see usage.fleetFactor. It is 1 unless an endpoint was
	// lost.
	fleetFactor float64
	// unreported is the share of the other gateways' requests at an endpoint that may have arrived
	// since their last report.
	unreported float64
	// isolationPlan holds the endpoints reserved for trying suspects.
	isolationPlan isolation.Plan
	// open, avoided and crowded count the endpoints of the model, those that were avoided, and
	// those without enough memory.
	open, avoided, crowded int
	// withinShares leaves out endpoints of whose free room this gateway has used up its share. Where
	// only its share of slots is used up, an endpoint still serves layers behind the first.
	withinShares bool
	// skipLimited leaves out endpoints that have announced a limit of which this gateway has no
	// share left. Otherwise a request may pick them, so that the demand for them is known.
	skipLimited bool
	// entryCandidates counts the endpoints at which a chain may begin. declining lists those of
	// them that accept nothing now.
	entryCandidates int
	declining       []*backend
	// admittedAt is when findAdmitted counted the request against the limit of an endpoint.
	admittedAt time.Time
}

// choosers recycles the working memory of choosers.
var choosers = sync.Pool{New: func() any { return new(chooser) }}

// keptLayerCost is the cost factor of a layer that has already processed the request: it need not
// read the prompt again.
const keptLayerCost = 0.05

// keepChain prepares the holders for moving a request away from an old reservation: backends that
// are not avoided stay as they are, and no other endpoint takes the layers of the first one.
func (c *chooser) keepChain(old *reservation, q *query, now time.Time) {
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
		if i > 0 && (q.avoids(p.Address) || b.use.presumedDead(now)) {
			continue
		}
		card := q.service.Model.Cards[b.Card]
		holders = append(holders, chain.Holder{
			ID: p.ID, Address: p.Address, Hall: b.hall, Layers: p.Layers,
			CostPerLayer: c.layerTime(q.service.Model, card, q, b.use) * keptLayerCost,
		})
	}
	c.holders = holders
}

// maxHallNoise and maxEndpointNoise bound the random extra cost of a hall and of an endpoint, drawn
// anew for each request. What gateways know of each other's requests is 0.2 to 0.4 s old, and
// without noise they would all take the same cheapest chain meanwhile. Under high load, 0.67 of the
// possible value of all requests is reached, a late answer counting less, and 0.58 without noise.
const (
	maxHallNoise     = 0.7
	maxEndpointNoise = 0.2
)

// prepare sets the model, the costs of entering a chain in each hall, the share of other gateways'
// requests not yet reported, and the noise.
func (c *chooser) prepare(m *catalog.Model, f *fleet, home string, others unreported.Usage) {
	c.finder.Layers = m.Layers
	c.fleetFactor, c.withinShares = 1, false
	c.unreported = others.UnreportedShare()
	c.finder.EntryCost = c.finder.EntryCost[:0]
	c.noise = c.noise[:0]
	for _, hall := range f.halls {
		entry := remoteEntryCost
		if hall == home {
			entry = 0
		}
		c.finder.EntryCost = append(c.finder.EntryCost, entry)
		c.noise = append(c.noise, 1+maxHallNoise*rand.Float64())
	}
}

// hops sets the cost of passing a token on; between two halls it is crossHall.
func (c *chooser) hops(crossHall float64) {
	halls := len(c.finder.EntryCost)
	for len(c.finder.HopCost) < halls {
		c.finder.HopCost = append(c.finder.HopCost, nil)
	}
	c.finder.HopCost = c.finder.HopCost[:halls]
	for i := range c.finder.HopCost {
		row := slices.Grow(c.finder.HopCost[i][:0], halls)[:halls]
		for j := range row {
			row[j] = crossHall
		}
		row[i] = hopCostInHall
		c.finder.HopCost[i] = row
	}
}

// candidateFilter selects the backends that a search leaves out.
type candidateFilter uint8

const (
	// skipAvoidedAndFull leaves out backends that are avoided and those without room.
	skipAvoidedAndFull candidateFilter = iota
	// skipAvoided leaves out backends that are avoided.
	skipAvoided
	// skipFull leaves out backends without room.
	skipFull
)

// collect lists the backends that a request may use.
func (c *chooser) collect(q *query, f *fleet, need int, use candidateFilter) {
	c.holders = c.holders[:0]
	c.open, c.avoided, c.crowded, c.entryCandidates, c.declining = 0, 0, 0, 0, c.declining[:0]
	now := time.Now()
	for _, b := range f.open[q.service.Name] {
		usable := b.usable(now)
		// A card of unknown kind has no known costs; a record written by another program may name
		// one.
		if _, known := q.service.Model.Cards[b.Card]; usable.Empty() || !known {
			continue
		}
		c.open++
		hold := b.use.intake.Held(now)
		// An endpoint whose host refuses connections has certainly ended. Sending there would only
		// use up the retry budget that callers need once other endpoints hold its layers.
		out := hold == throttle.Leaving || b.use.down() && b.use.ended.Load()
		if q.avoids(b.Address) || out || use != skipFull && b.use.avoided(now) {
			c.avoided++
			continue
		}
		if usable.First == 0 && !q.mayStartAt(b, c.isolationPlan) {
			usable.First = 1 // the endpoint that starts a request is the one that the request may crash
		}
		if usable.First == 0 {
			c.entryCandidates++
			if use != skipAvoided && c.declines(hold) {
				c.declining = append(c.declining, b)
				usable.First = 1 // the limit counts only requests that start at the endpoint, not those that pass through it
			}
		}
		room, free := b.room(q.service.Model, need)
		if use != skipAvoided && usable.First == 0 && (b.slotsFull(c.unreported) || c.withinShares && !b.use.slotBudget.Allows(1)) {
			usable.First = 1 // layers behind the first need no slot
		}
		if use != skipAvoided && (free < 0 || usable.Empty() || c.withinShares && !b.use.budget.Allows(float64(need*b.Layers.Len()))) {
			c.crowded++
			continue
		}
		c.holders = append(c.holders, chain.Holder{
			ID: b.ID, Address: b.Address, Hall: b.hall, Layers: usable,
			CostPerLayer: c.perLayer(q, b, now) * memoryFactor(free, room),
		})
	}
}

// declines reports whether an endpoint that announced a limit or a backoff period is left out as
// the first of a chain.
func (c *chooser) declines(hold throttle.HoldReason) bool {
	return hold == throttle.BackingOff || hold == throttle.Limited && c.skipLimited
}

// shortage returns why the search found no chain although one exists.
func (c *chooser) shortage() shortage {
	if c.entryCandidates > 0 && len(c.declining) == c.entryCandidates {
		return shortageHeld
	}
	return shortageRoom
}

// room returns the memory of a backend beside its layers, in tokens times layers, and the part of
// it that stays free after a request has taken what it needs.
func (b *backend) room(m *catalog.Model, need int) (room, free float64) {
	layers := b.Layers.Len()
	room = float64(m.Room(m.Cards[b.Card], layers) * layers)
	return room, room - float64(b.use.held.Load()+b.use.othersHeld.Load()) - float64(need*layers)
}

// usable returns the layers of a backend that new requests may use. Layers that it has been ordered
// to give up take no new requests, and layers that it reports as missing do not count, whatever its
// record says.
func (b *backend) usable(now time.Time) layer.Range {
	layers := b.Layers
	if order := b.use.orderedLayers(now); !order.Empty() {
		layers = layers.Intersect(order)
	}
	if held, differs := b.reportedLayers(now); differs {
		layers = layers.Intersect(held)
	}
	return layers
}

// slotsFull reports whether a backend can be the first of no further chain. Only a request whose
// chain begins there takes one of its slots. unreported is the share of the other gateways'
// requests there that may have arrived since their last report.
func (b *backend) slotsFull(unreported float64) bool {
	others := float64(b.use.othersEntered.Load())
	return int(float64(b.use.entered.Load())+others*(1+unreported)) >= b.Slots
}

// perLayer returns the cost of a layer of a backend for a request, in seconds per token, before the
// memory factor.
func (c *chooser) perLayer(q *query, b *backend, now time.Time) float64 {
	noise := c.noise[b.hall] * (1 + maxEndpointNoise*rand.Float64())
	slow := float64(b.use.slowness(now)) / pace.Unit
	return c.layerTime(q.service.Model, q.service.Model.Cards[b.Card], q, b.use) * slow * noise
}

// readSpreadTokens is the number of tokens over which the cost of reading a prompt is spread. An
// answer has about 200 tokens, but an answer whose first event is late counts only half: with the
// cost spread over the whole answer, 60 prompts waiting at an endpoint would weigh less than the
// use of another hall. Under high load, 0.67 of the possible value of all requests is reached, and
// 0.66 with 10 tokens.
const readSpreadTokens = 32

// layerTime returns the seconds that one layer adds to a token, including a share of the time to
// read the prompt after those that are being read there.
func (c *chooser) layerTime(m *catalog.Model, card catalog.Card, q *query, u *usage) float64 {
	active := u.active.Load() + u.othersActive.Load()
	reading := float64(u.reading.Load())*c.fleetFactor + float64(u.othersReading.Load())
	step := m.Step.Seconds() + float64(active)*m.PerSequence.Seconds()
	read := (1 + reading) * float64(q.Prompt) / m.ReadRate / readSpreadTokens
	return (step*card.TokenTimeFactor + read*card.PromptTimeFactor) / float64(m.Layers)
}

// memoryFactor returns the cost factor of an endpoint for its memory in use.
func memoryFactor(free, room float64) float64 {
	if free <= 0 || room <= 0 {
		return maxMemoryFactor
	}
	return min(room/free, maxMemoryFactor)
}
