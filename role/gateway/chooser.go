package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/chain"
	"github.com/grademill/grademill/decide/chaincost"
	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/shortage"
	"github.com/grademill/grademill/decide/throttle"
	"github.com/grademill/grademill/decide/unreported"
	"github.com/grademill/grademill/state/pace"
)

// chooser searches for chains of one model. It is not safe for concurrent use.
type chooser struct {
	finder  chain.Finder
	holders []chain.Holder
	// noise holds the random cost factors of the halls for this request.
	noise chaincost.HallNoise
	// fleetFactor is how many requests of the whole fleet are moved or sent again for the same
	// reason, for each one of this gateway: see usage.fleetFactor. It is 1 unless an endpoint was
	// lost.
	fleetFactor float64
	// unreported is the share of the other gateways' requests at an endpoint that may have arrived
	// since their last report.
	unreported float64
	// reserved holds the endpoints reserved for trying suspects, by ID.
	reserved map[string]fingerprint.Fingerprint
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
		if i > 0 && (q.avoids(p.Address, now) || b.use.PresumedDead(now)) {
			continue
		}
		holders = append(holders, chain.Holder{
			ID: p.ID, Address: p.Address, Hall: b.Hall, Layers: p.Layers,
			CostPerLayer: c.layerTime(q, b) * chaincost.KeptLayer,
		})
	}
	c.holders = holders
}

// prepare sets the model, the hall to which the request is directed, and the share of other gateways'
// requests not yet reported.
func (c *chooser) prepare(m *catalog.Model, home string, others unreported.Usage) {
	c.finder.Layers, c.finder.Home = m.Layers, home
	c.finder.HopCost, c.finder.RemoteHopCost = chaincost.HopInHall, chaincost.HopAcrossHalls
	c.finder.RemoteEntryCost = chaincost.RemoteEntry
	c.fleetFactor, c.withinShares = 1, false
	c.unreported = others.UnreportedShare()
	c.noise.Reset()
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
	now, own, firsts := time.Now(), q.guard.Endpoint(), q.firsts()
	for _, b := range f.Open[q.service.Name] {
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
		out := hold == throttle.Leaving || b.use.Down() && b.use.ended.Load()
		if q.avoids(b.Address, now) || out || use != skipFull && b.use.avoided(now) {
			c.avoided++
			continue
		}
		if !q.guard.MayUse(b.ID, c.reserved) {
			continue
		}
		if own != "" && b.ID != own || firsts != nil && !b.among(firsts) {
			usable.First = max(usable.First, 1) // the endpoint that starts a request is the one that runs it, and that it may crash
		}
		if usable.First == 0 {
			c.entryCandidates++
			if use != skipAvoided && c.declines(hold) {
				c.declining = append(c.declining, b)
				usable.First = 1 // the limit counts only requests that start at the endpoint, not those that pass through it
			}
		}
		room, free := b.room(q.service.Model, need)
		if use != skipAvoided && usable.First == 0 && (b.slotsFull(c.unreported) || c.withinShares && !b.use.budget.AllowsSlot()) {
			usable.First = 1 // layers behind the first need no slot
		}
		if use != skipAvoided && (free < 0 || usable.Empty() || c.withinShares && !b.use.budget.AllowsMemory(float64(need*b.Layers.Len()))) {
			c.crowded++
			continue
		}
		c.holders = append(c.holders, chain.Holder{
			ID: b.ID, Address: b.Address, Hall: b.Hall, Layers: usable,
			CostPerLayer: c.perLayer(q, b, now) * chaincost.MemoryFactor(free, room),
		})
	}
}

// declines reports whether an endpoint that announced a limit or a backoff period is left out as
// the first of a chain.
func (c *chooser) declines(hold throttle.HoldReason) bool {
	return hold == throttle.BackingOff || hold == throttle.Limited && c.skipLimited
}

// shortage returns why the search found no chain although one exists.
func (c *chooser) shortage() shortage.Shortage {
	if c.entryCandidates > 0 && len(c.declining) == c.entryCandidates {
		return shortage.Held
	}
	return shortage.Room
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
	noise := c.noise.Factor(b.Hall, rand.Float64) * chaincost.EndpointNoise(rand.Float64())
	slow := float64(b.use.slowness(now)) / pace.Unit
	return c.layerTime(q, b) * slow * noise
}

// layerTime returns the seconds that one layer of a backend adds to a token of a request.
func (c *chooser) layerTime(q *query, b *backend) float64 {
	m, u := q.service.Model, b.use
	return chaincost.LayerTime(m, m.Cards[b.Card], q.Prompt, chaincost.Load{
		Active:     u.active.Load() + u.othersActive.Load(),
		OwnReading: u.reading.Load(), OthersReading: u.othersReading.Load(), FleetFactor: c.fleetFactor,
	})
}
