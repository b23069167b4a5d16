package gateway

import (
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/decide/backoff"
	"github.com/grademill/grademill/decide/health"
	"github.com/grademill/grademill/decide/holding"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/state/intake"
	"github.com/grademill/grademill/state/pace"
	"github.com/grademill/grademill/state/peers"
	"github.com/grademill/grademill/state/roster"
	"github.com/grademill/grademill/state/suspects"
	"github.com/grademill/grademill/state/witnesses"
)

// fleet is what is known of all endpoints at one moment. It is immutable; the
// usage of its backends is not.
type fleet struct {
	// open are the backends that take new work, by service.
	open map[string][]*backend
	// byID and byAddress hold those that are leaving, too.
	byID      map[string]*backend
	byAddress map[string]*backend
	// byHall holds them by the name of the data hall.
	byHall map[string][]*backend
	// halls are the names of the data halls; backend.hall is an index of it.
	halls []string
}

// newFleet returns the fleet of the given backends.
func newFleet(all []*backend) *fleet {
	f := &fleet{
		open: make(map[string][]*backend), byID: make(map[string]*backend), byAddress: make(map[string]*backend),
		byHall: make(map[string][]*backend),
	}
	index := make(map[string]int)
	for _, b := range all {
		if _, ok := index[b.Hall]; !ok {
			index[b.Hall] = len(f.halls)
			f.halls = append(f.halls, b.Hall)
		}
		b.hall = index[b.Hall]
		f.byID[b.ID] = b
		f.byHall[b.Hall] = append(f.byHall[b.Hall], b)
		f.byAddress[b.Address] = b
		if !b.Leaving {
			f.open[b.Service] = append(f.open[b.Service], b)
		}
	}
	return f
}

// backend is an endpoint with its usage.
type backend struct {
	roster.Record
	use *usage
	// hall is the index of its data hall in the fleet.
	hall int
}

// usage is what this gateway knows of an endpoint beyond its record. It stays
// the same while the record changes. All fields may be read and written at any
// time.
type usage struct {
	// active is the number of requests of this gateway that it runs, held the
	// memory that they need, in tokens times layers.
	active, held atomic.Int64
	// entered is the number of those whose chain begins there, which take its slots,
	// othersEntered that of the other gateways.
	entered, othersEntered atomic.Int64
	// reading is the number of requests of this gateway whose prompt it reads,
	// othersReading that of the other gateways.
	reading, othersReading atomic.Int64
	// othersActive and othersHeld are those of the other gateways, othersDown is the
	// number of those that lately got no answer of the endpoint.
	othersActive, othersHeld, othersDown atomic.Int64
	// pace is how slow it is, as it last said.
	pace pace.Pace
	// shortUntil is when it may be tried again after it refused for want of
	// room, in nanoseconds of Unix time.
	shortUntil atomic.Int64
	// stalledUntil is when it may be tried again after it held requests up, as
	// this gateway saw, and othersStalled as others did, in nanoseconds of Unix
	// time; stalls counts how often it did.
	stalledUntil, othersStalled, stalls atomic.Int64
	// eventAt is when an event last came through it, in nanoseconds of Unix time.
	eventAt atomic.Int64
	// downSince is when it was found not to answer, 0 while it does, silentAt when it
	// last gave no answer, and toldUntil until when it is taken for dead by the word of
	// other gateways, in nanoseconds of Unix time.
	downSince, silentAt, toldUntil atomic.Int64
	// toldSince is since when it is taken for dead by their word, and contradictedUntil
	// until when that does not count, since it has answered this gateway meanwhile, in
	// nanoseconds of Unix time.
	toldSince, contradictedUntil atomic.Int64
	// witnesses are the other gateways that say that it is down.
	witnesses witnesses.Witnesses
	// begun are the requests that it had just begun when it was found silent, nil once it is
	// known whether it has ended.
	begun atomic.Pointer[[]suspects.Begun]
	// rechecks counts the checks in a row without an answer since it was found down.
	rechecks atomic.Int64
	// ended is set while its host refuses connections to it: its process has ended.
	ended atomic.Bool
	// checking is set while it is checked, heldUp while it is checked again and again since
	// this process was held up.
	checking, heldUp atomic.Bool
	// checkedAt is when it last answered a check, and othersCheckedAt when it answered
	// one of another gateway, in nanoseconds of Unix time.
	checkedAt, othersCheckedAt atomic.Int64
	// holding is what it says that it holds while its record differs, nil for none.
	holding atomic.Pointer[holding.Holding]
	// ordered is the order that it carries out, nil for none that is known of.
	ordered atomic.Pointer[ordered]
	// watchers watch the streams that pass through it.
	watchers watchers
	// waiting is the number of requests that wait, as it last said, and said
	// when that was, in nanoseconds of Unix time.
	waiting, said atomic.Int64
	health        atomic.Pointer[health.Record]
	// intake is what it has said of the requests that it takes.
	intake intake.Intake
}

// newUsage returns the usage of an endpoint that is not used yet.
func newUsage() *usage {
	u := &usage{witnesses: witnesses.Witnesses{Fresh: wordFresh}}
	u.health.Store(new(health.Record))
	return u
}

// Count adds what another gateway has at the endpoint.
func (u *usage) Count(s peers.Share) {
	u.othersActive.Add(s.Active)
	u.othersEntered.Add(s.Entered)
	u.othersHeld.Add(s.Held)
	u.othersReading.Add(s.Reading)
	u.othersDown.Add(s.Down)
}

// noteOthersCheck notes that the endpoint answered a check of another gateway at a time.
func (u *usage) noteOthersCheck(at time.Time) {
	if at.UnixNano() > u.othersCheckedAt.Load() {
		u.othersCheckedAt.Store(at.UnixNano())
	}
}

// paceFresh is how long the word of an endpoint about its pace counts: it is asked anew
// several times meanwhile.
const paceFresh = 3 * surveyEvery

// slowness returns how slow the endpoint is at now, in thousandths of the time of its
// kind.
func (u *usage) slowness(now time.Time) int64 {
	return u.pace.Thousandths(now, paceFresh)
}

// orderedLayers returns the layers of the order that the endpoint carries out at now,
// empty for none.
func (u *usage) orderedLayers(now time.Time) layer.Range {
	order := u.ordered.Load()
	if order == nil || now.After(order.until) {
		return layer.Range{}
	}
	return order.layers
}

// setOrdered notes what the gateway that gives orders says of them.
func (u *usage) setOrdered(layers layer.Range, now time.Time) {
	if layers.Empty() {
		u.ordered.Store(nil)
		return
	}
	u.ordered.Store(&ordered{layers: layers, until: now.Add(orderWait)})
}

// judge replaces the record of health by what change makes of it.
func (u *usage) judge(change func(health.Record) health.Record) {
	for {
		old := u.health.Load()
		next := change(*old)
		if u.health.CompareAndSwap(old, &next) {
			return
		}
	}
}

// avoided reports whether new requests pass the endpoint over at now.
func (u *usage) avoided(now time.Time) bool {
	return u.dead(now) || u.lost(now) || now.UnixNano() < u.shortUntil.Load() || u.health.Load().Avoided(now)
}

// dead reports whether the endpoint is taken to have ended, or to be cut off, at
// now: what runs there is lost. That one request was lost there says nothing of the
// others.
func (u *usage) dead(now time.Time) bool {
	at := now.UnixNano()
	return u.down() || at < u.stalledUntil.Load() || at < u.othersStalled.Load() || at < u.toldUntil.Load()
}

// enoughWitnesses is the number of other gateways by whose word alone an endpoint is taken
// for dead: a single one may be cut off itself.
const enoughWitnesses = 2

// lost reports whether other gateways say that the endpoint is down, while nothing has
// come through it here. It gets nothing new then; what runs there is checked.
func (u *usage) lost(now time.Time) bool {
	return u.othersDown.Load() >= enoughWitnesses && !u.contradicted(now) && now.UnixNano()-u.eventAt.Load() > int64(lively)
}

// contradicted reports whether the word of others that the endpoint is down does not count,
// since it has answered this gateway.
func (u *usage) contradicted(now time.Time) bool {
	return now.UnixNano() < u.contradictedUntil.Load()
}

// answered notes that the endpoint has answered a question that was begun at a time, and
// reports whether it had been taken for dead by the word of others.
func (u *usage) answered(begun, now time.Time) bool {
	if u.witnesses.Count(now) == 0 || begun.UnixNano() <= u.toldSince.Load() {
		return false
	}
	u.contradictedUntil.Store(now.Add(contradicts).UnixNano())
	return now.UnixNano() < u.toldUntil.Swap(0)
}

// down reports whether the endpoint does not answer this gateway.
func (u *usage) down() bool {
	return u.downSince.Load() != 0
}

// markDown notes at now that the endpoint does not answer, and whether it has surely ended.
func (u *usage) markDown(now time.Time, ended bool) {
	u.downSince.Store(now.UnixNano())
	u.silentAt.Store(now.UnixNano())
	u.rechecks.Store(0)
	u.ended.Store(ended)
}

// passed reports whether an event has just come through the endpoint.
func (u *usage) passed(now time.Time) bool {
	return now.UnixNano()-u.eventAt.Load() < int64(passedFresh)
}

// stallWait is how long an endpoint is passed over that held requests up: most
// have ended, and come back under another ID. The time doubles with each further
// stall.
var stallWait = backoff.Backoff{Base: 3 * time.Second, Max: 12 * time.Second}

// stall notes at now that the endpoint held requests up.
func (u *usage) stall(now time.Time) {
	u.stalledUntil.Store(now.Add(stallWait.Delay(int(u.stalls.Add(1)), 0)).UnixNano())
}

// maxTogether bounds how many requests of other gateways count for each of this one: it
// may have the only one of a few.
const maxTogether = 64

// together returns how many requests of all gateways there are at the endpoint for each of
// this one. When it is lost they are all moved at once, and each gateway sees only its own.
func (u *usage) together() float64 {
	own, others := u.active.Load(), u.othersActive.Load()
	if own <= 0 || others <= 0 {
		return 1
	}
	return min(1+float64(others)/float64(own), maxTogether)
}

// take and release count a request that needs memory.
func (u *usage) take(memory int64) {
	u.active.Add(1)
	u.held.Add(memory)
}

func (u *usage) release(memory int64) {
	u.active.Add(-1)
	u.held.Add(-memory)
}
