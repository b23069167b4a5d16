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
	"github.com/grademill/grademill/decide/unseen"
	"github.com/grademill/grademill/state/pace"
)

// chooser chooses chains of one model; it may be used by one goroutine at a
// time.
type chooser struct {
	finder  chain.Finder
	holders []chain.Holder
	// chance is by how much each hall is dearer for this request.
	chance []float64
	// together is how many requests of all gateways do for each of this one what the
	// request does: 1 for one that comes alone, more for one that leaves a lost endpoint.
	together float64
	// unseen is the part of what other gateways have at an endpoint that may have come
	// there since they last told.
	unseen float64
	// isolated are the endpoints at which suspects are tried.
	isolated isolation.Plan
	// open, avoided and crowded count the endpoints of the model, and those that
	// were left out because they are passed over or have no room.
	open, avoided, crowded int
	// heldOut leaves out those that name a limit and have no part of it left for this gateway;
	// else a request may prefer them, so that what is wanted of them is known.
	heldOut bool
	// firsts counts the endpoints at which a chain may begin, held are those that take nothing now.
	firsts int
	held   []*backend
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
			PerLayer: c.layerTime(q.service.Model, card, q, b.use) * keptCost,
		})
	}
	c.holders = holders
}

// chanceHall and chanceEndpoint are by how much a hall and an endpoint are dearer
// for one request, at most, drawn anew for each: what gateways know of each other's
// requests is 0.2 to 0.4 s old, and without chance they all
// take the same cheapest chain meanwhile. Measured on the grown sites, mean worth
// of their four days of high load: 0.58 without, 0.67 with these.
const (
	chanceHall     = 0.7
	chanceEndpoint = 0.2
)

// prepare sets the model, the costs of beginning in a hall, what others may have taken
// meanwhile, and what chance adds.
func (c *chooser) prepare(m *catalog.Model, f *fleet, home string, others unseen.Flow) {
	c.finder.Layers = m.Layers
	c.together = 1
	c.unseen = others.Part()
	c.finder.Entry = c.finder.Entry[:0]
	c.chance = c.chance[:0]
	for _, hall := range f.halls {
		entry := entryFar
		if hall == home {
			entry = 0
		}
		c.finder.Entry = append(c.finder.Entry, entry)
		c.chance = append(c.chance, 1+chanceHall*rand.Float64())
	}
}

// hops sets the costs of handing a token on, between two halls that of far.
func (c *chooser) hops(far float64) {
	halls := len(c.finder.Entry)
	for len(c.finder.Hops) < halls {
		c.finder.Hops = append(c.finder.Hops, nil)
	}
	c.finder.Hops = c.finder.Hops[:halls]
	for i := range c.finder.Hops {
		row := slices.Grow(c.finder.Hops[i][:0], halls)[:halls]
		for j := range row {
			row[j] = far
		}
		row[i] = hopNear
		c.finder.Hops[i] = row
	}
}

// choice says which backends a request may use.
type choice uint8

const (
	// useSound leaves out those that are passed over, and those without room.
	useSound choice = iota
	// useFull leaves out those that are passed over.
	useFull
	// useDoubtful leaves out those without room.
	useDoubtful
)

// collect lists the backends that a request may use.
func (c *chooser) collect(q *query, f *fleet, need int, use choice) {
	c.holders = c.holders[:0]
	c.open, c.avoided, c.crowded, c.firsts, c.held = 0, 0, 0, 0, c.held[:0]
	now := time.Now()
	for _, b := range f.open[q.service.Name] {
		usable := b.usable(now)
		// A card of no known kind has no known costs: another writer may have left its record.
		if _, known := q.service.Model.Cards[b.Card]; usable.Empty() || !known {
			continue
		}
		c.open++
		hold := b.use.intake.Held(now)
		// What its host refuses connections to is not in doubt. Sends there would only use up the retries
		// that callers need once others hold its layers.
		out := hold == throttle.Leaving || b.use.down() && b.use.ended.Load()
		if q.avoids(b.Address) || out || use != useDoubtful && b.use.avoided(now) {
			c.avoided++
			continue
		}
		if usable.First == 0 && !q.mayBegin(b, c.isolated) {
			usable.First = 1 // what begins to run a request is what it may end
		}
		if usable.First == 0 {
			c.firsts++
			if use != useFull && c.holds(hold) {
				c.held = append(c.held, b)
				usable.First = 1 // what passes through it from another endpoint is no request to it
			}
		}
		room, free := b.room(q.service.Model, need)
		if use != useFull && usable.First == 0 && b.noSlot(c.unseen) {
			usable.First = 1 // the layers behind it need no slot
		}
		if use != useFull && (free < 0 || usable.Empty()) {
			c.crowded++
			continue
		}
		c.holders = append(c.holders, chain.Holder{
			ID: b.ID, Address: b.Address, Hall: b.hall, Layers: usable,
			PerLayer: c.perLayer(q, b, now) * crowding(free, room),
		})
	}
}

// holds reports whether an endpoint is left out as the first of a chain for a reason of its own.
func (c *chooser) holds(hold throttle.Hold) bool {
	return hold == throttle.Resting || hold == throttle.Limited && c.heldOut
}

// shortage returns why no chain was found where there is one.
func (c *chooser) shortage() shortage {
	if c.firsts > 0 && len(c.held) == c.firsts {
		return shortageHeld
	}
	return shortageRoom
}

// room returns the memory of a backend beside its layers, in tokens times layers, and what
// is free of it once a request has taken what it needs.
func (b *backend) room(m *catalog.Model, need int) (room, free float64) {
	layers := b.Layers.Len()
	room = float64(m.Room(m.Cards[b.Card], layers) * layers)
	return room, room - float64(b.use.held.Load()+b.use.othersHeld.Load()) - float64(need*layers)
}

// usable returns the layers of a backend that new requests may use: those that it has
// been ordered to give up take nothing new, and those that it says it lacks are not there
// whatever its record says.
func (b *backend) usable(now time.Time) layer.Range {
	layers := b.Layers
	if order := b.use.orderedLayers(now); !order.Empty() {
		layers = layers.Intersect(order)
	}
	if held, odd := b.misheld(now); odd {
		layers = layers.Intersect(held)
	}
	return layers
}

// noSlot reports whether a backend is first in no more chains. Only a request whose chain
// begins there takes one of its slots; unseen is the part of what others have there that
// may have come since they told.
func (b *backend) noSlot(unseen float64) bool {
	others := float64(b.use.othersEntered.Load())
	return int(float64(b.use.entered.Load())+others*(1+unseen)) >= b.Slots
}

// perLayer returns what a layer of a backend costs a request, in seconds a token,
// before memory counts.
func (c *chooser) perLayer(q *query, b *backend, now time.Time) float64 {
	chance := c.chance[b.hall] * (1 + chanceEndpoint*rand.Float64())
	slow := float64(b.use.slowness(now)) / pace.Unit
	return c.layerTime(q.service.Model, q.service.Model.Cards[b.Card], q, b.use) * slow * chance
}

// readOver is the number of tokens over which the reading of a prompt is spread in
// the cost of a chain. An answer has some 200, but a first event that comes too
// late costs half of its worth: spread over the answer, 60 prompts that wait at an
// endpoint weighed less than another hall. Mean worth of the grown sites' four days
// of high load: 0.66 with 10, 0.67 with 32.
const readOver = 32

// layerTime returns the seconds that one layer adds to a token, with a part of the
// reading of the prompt, after those that are being read there.
func (c *chooser) layerTime(m *catalog.Model, card catalog.Card, q *query, u *usage) float64 {
	active := u.active.Load() + u.othersActive.Load()
	reading := float64(u.reading.Load())*c.together + float64(u.othersReading.Load())
	step := m.Step.Seconds() + float64(active)*m.PerSequence.Seconds()
	read := (1 + reading) * float64(q.Prompt) / m.ReadRate / readOver
	return (step*card.Pace + read*card.Read) / float64(m.Layers)
}

// crowding returns how much dearer an endpoint is for the memory in use.
func crowding(free, room float64) float64 {
	if free <= 0 || room <= 0 {
		return maxCrowding
	}
	return min(room/free, maxCrowding)
}
