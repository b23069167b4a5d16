// Package partition tells whether a gateway alone has lost the store while others have it, or all
// have: its callers are better off elsewhere in the former case only.
package partition

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/grademill/grademill/decide/freshness"
	"github.com/grademill/grademill/state/outages"
	"github.com/grademill/grademill/state/peers"
	"github.com/grademill/grademill/wire/gossip"
)

// The figures of a gateway that has lost the store while others have it.
const (
	// balancerNotice is how long the balancer may lead new callers to a gateway
	// that is not ready: two questions, a second apart.
	balancerNotice = 2200 * time.Millisecond
	// comeBackNow is when a caller is told to come back that another gateway will
	// serve: a new connection takes a few milliseconds.
	comeBackNow = 30 * time.Millisecond
	// refreshWait is how long the store may take to answer a question that is asked again
	// since the proof is late, before the others are told: a slow store takes some 300 ms.
	refreshWait = 300 * time.Millisecond
	// refreshRest is the least time between two questions that are asked at once since a proof
	// is late or other gateways have lost the store: when many lose it, or all start together,
	// it is not to meet a question of each gateway for each other one.
	refreshRest = 2 * time.Second
	// outageFresh is how long another gateway's word of an outage counts: several digests of
	// the largest hall.
	outageFresh = 5 * time.Second
	// sumWay is how much younger the proof in the sums of another hall may seem, since they
	// pass through two more gateways, each of which may be held up. Sums name no outages.
	sumWay = 300 * time.Millisecond
)

// Detector finds out whether this gateway alone has lost the store. Set the exported fields and
// call Init before anything else.
type Detector struct {
	// Hall is the gateway's data hall.
	Hall string
	// Policy says from which age on a proof is late.
	Policy freshness.Policy
	// Peers are the other gateways.
	Peers *peers.Table
	// Age returns the age of this gateway's proof, and Proven the time of it by Clock.
	Age    func() time.Duration
	Proven func() time.Time
	// Loaded is set once the store has been read, Failing while calls of it fail.
	Loaded, Failing *atomic.Bool
	// Refresh has the store asked at once whether it is there.
	Refresh func()
	// Clock reads the clock of proofs.
	Clock func() time.Time
	Log   zerolog.Logger

	outages outages.Outages
	// refreshedAt is when the store was last asked at once, in nanoseconds of Unix time.
	refreshedAt atomic.Int64
	// aloneSince is when this gateway was found to have lost the store alone, in nanoseconds of
	// Unix time; 0 when it has not.
	aloneSince atomic.Int64
	// lateSince is when the proof was first late though no call has failed, outageSince when the
	// outage was told to the others; zero when it is not so. Only Tick uses them.
	lateSince, outageSince time.Time
}

// Init prepares for the other methods.
func (d *Detector) Init() {
	d.outages.Fresh = outageFresh
}

// Alone reports whether this gateway alone has lost the store.
func (d *Detector) Alone() bool {
	return d.aloneSince.Load() != 0
}

// Asked reports whether other gateways wait to hear whether this one has the store.
func (d *Detector) Asked() bool {
	return d.outages.Any(d.Clock())
}

// Hear takes in the outage that another gateway tells of, 0 for none. When it is new, this one
// asks the store at once: the other one must know within a fraction of a second whether its
// callers are better off elsewhere.
func (d *Detector) Hear(from string, number uint64, now time.Time) {
	if d.outages.Hear(from, number, d.Clock()) && d.Loaded.Load() && !d.Failing.Load() {
		d.refresh(now)
	}
}

// Tell adds to a digest of this gateway its own outage, and those that it knows to be partial.
func (d *Detector) Tell(digest *gossip.Digest) {
	digest.Outage = d.outages.Own()
	if digest.GetProven() {
		digest.PartialOutages = d.outages.Partial(d.Proven(), d.Clock())
	}
}

// Tick judges anew at now. When all gateways have lost the store, callers have nowhere to go.
func (d *Detector) Tick(now time.Time) {
	late := d.Loaded.Load() && d.Policy.Late(d.Age(), d.Failing.Load())
	d.noteOutage(late, now)
	holder, held := d.holder(now)
	alone := late && held
	if alone == d.Alone() {
		return
	}
	since := int64(0)
	if alone {
		since = now.UnixNano()
	}
	d.aloneSince.Store(since)
	line := d.Log.Info().Bool("apart", alone).Dur("proof_age_ms", d.Age()).Bool("late", late).
		Bool("failing", d.Failing.Load()).Uint64("outage", d.outages.Own())
	if !d.outageSince.IsZero() {
		line.Dur("outage_ms", now.Sub(d.outageSince))
	}
	if held {
		line.Str("holder", holder.From.Name).Str("holder_hall", holder.From.Hall).Int("holder_members", holder.Members).
			Dur("holder_proof_age_ms", now.Sub(holder.At)).Dur("holder_heard_ms", now.Sub(holder.Heard))
	}
	line.Msg("whether this gateway alone has lost the store")
}

// Elsewhere returns when a caller that this gateway cannot serve for want of the store should
// come back, to be served by another one: at once when that is in the same hall, and otherwise
// when the balancer has noticed. It returns false when no other one has the store either.
func (d *Detector) Elsewhere(now time.Time) (time.Duration, bool) {
	since := d.aloneSince.Load()
	if since == 0 {
		return 0, false
	}
	for _, p := range d.Peers.Proofs() {
		if p.From.Hall == d.Hall && d.Policy.Serves(now.Sub(p.At)) {
			return comeBackNow, true
		}
	}
	return max(time.Unix(0, since).Add(balancerNotice).Sub(now), comeBackNow), true
}

// refresh has the store asked at once, unless that was done lately.
func (d *Detector) refresh(now time.Time) {
	last := d.refreshedAt.Load()
	if now.UnixNano()-last >= int64(refreshRest) && d.refreshedAt.CompareAndSwap(last, now.UnixNano()) {
		d.Refresh()
	}
}

// noteOutage begins or ends the outage that this gateway tells of. A call that failed begins
// one. A proof that is merely late does when the store has not answered another question
// either: the process may have been held up, or one connection.
func (d *Detector) noteOutage(late bool, now time.Time) {
	failing := d.Failing.Load()
	if !late && !failing {
		d.lateSince, d.outageSince = time.Time{}, time.Time{}
		d.outages.End()
		return
	}
	if late && !failing && d.lateSince.IsZero() {
		d.lateSince = now
		d.refresh(now)
	}
	if !failing && now.Sub(d.lateSince) < refreshWait || !d.outages.Begin() {
		return
	}
	d.outageSince = now
	d.Log.Info().Uint64("outage", d.outages.Own()).Dur("proof_age_ms", d.Age()).Bool("failing", failing).
		Msg("this gateway has lost the store, and asks the others whether they have it")
}

// holder returns the proof of a gateway that has the store though this one has lost it.
func (d *Detector) holder(now time.Time) (peers.Proof, bool) {
	own := d.outages.Own()
	if own == 0 {
		return peers.Proof{}, false
	}
	for _, p := range d.Peers.Proofs() {
		// What was proven before the loss says nothing: that gateway may have lost the store, too.
		answered := slices.Contains(p.Partial, own) || p.Members > 0 && p.At.After(d.outageSince.Add(sumWay))
		if answered && !d.Policy.Late(now.Sub(p.At), false) {
			return p, true
		}
	}
	return peers.Proof{}, false
}
