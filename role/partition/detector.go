// Package partition detects whether a gateway alone has lost its connection to the store or whether all
// gateways have. Only in the former case should its callers go to another gateway.
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

// Times of a gateway that has lost the store while others have it.
const (
	// balancerDetectTime is how long the load balancer may still route new callers to a gateway that is not
	// ready: two health checks, one second apart.
	balancerDetectTime = 2200 * time.Millisecond
	// minRetryAfter is the Retry-After delay of a caller that another gateway will serve: a new connection
	// takes a few milliseconds.
	minRetryAfter = 30 * time.Millisecond
	// refreshTimeout is how long the store may take to answer the additional query that follows a late
	// proof before an outage is reported to the others: a slow store takes some 300 ms to answer.
	refreshTimeout = 300 * time.Millisecond
	// minRefreshInterval is the minimum time between two additional queries because a proof is late or other
	// gateways have lost the store. When many gateways lose it, or all start together, each would otherwise
	// query the store once for every other gateway.
	minRefreshInterval = 2 * time.Second
	// outageLifetime is how long an outage reported by another gateway counts: several digest intervals of
	// the largest hall.
	outageLifetime = 5 * time.Second
	// summaryDelay is how much younger the proof in another hall's summary may seem: the summary passes
	// through two more gateways, each of which may be starved of processor time. Summaries name no outages.
	summaryDelay = 300 * time.Millisecond
)

// Detector detects whether this gateway alone has lost the store. Set the exported fields and call Init
// before anything else.
type Detector struct {
	// Hall is the gateway's data hall.
	Hall string
	// Policy defines the age from which a freshness proof is late.
	Policy freshness.Policy
	// Peers holds the other gateways.
	Peers *peers.Table
	// Age returns the age of this gateway's freshness proof, and Proven its time by Clock.
	Age    func() time.Duration
	Proven func() time.Time
	// Loaded is true once the store has been read, Failing while calls to it fail.
	Loaded, Failing *atomic.Bool
	// Refresh queries the store immediately to check whether it answers.
	Refresh func()
	// Clock reads the clock by which freshness proofs are dated.
	Clock func() time.Time
	Log   zerolog.Logger

	outages outages.Outages
	// refreshedAt is the time of the last additional query, in nanoseconds of Unix time.
	refreshedAt atomic.Int64
	// aloneSince is when this gateway was found to have lost the store alone, in nanoseconds of Unix time;
	// 0 if it has not.
	aloneSince atomic.Int64
	// lateSince is when the proof was first late though no call had failed, outageSince when the outage was
	// first reported to the others; both are zero otherwise. Only Tick uses them.
	lateSince, outageSince time.Time
}

// Init initializes the detector; call it before any other method.
func (d *Detector) Init() {
	d.outages.ReportLifetime = outageLifetime
}

// Alone reports whether this gateway alone has lost the store.
func (d *Detector) Alone() bool {
	return d.aloneSince.Load() != 0
}

// PeersAsking reports whether other gateways have reported an outage and wait for an answer whether this
// one has the store.
func (d *Detector) PeersAsking() bool {
	return d.outages.Any(d.Clock())
}

// HandleReport processes an outage that another gateway reports, 0 for none. If the outage is new,
// HandleReport queries the store immediately: the other gateway must know within a fraction of a second
// whether to send its callers elsewhere.
func (d *Detector) HandleReport(from string, number uint64, now time.Time) {
	if d.outages.HandleReport(from, number, d.Clock()) && d.Loaded.Load() && !d.Failing.Load() {
		d.refresh(now)
	}
}

// AddToDigest adds to this gateway's digest its own outage and those that it knows to be partial.
func (d *Detector) AddToDigest(digest *gossip.Digest) {
	digest.Outage = d.outages.Own()
	if digest.GetProven() {
		digest.PartialOutages = d.outages.NotOfStore(d.Proven(), d.Clock())
	}
}

// Tick updates the verdict at now. Alone stays false if all gateways have lost the store: callers then have
// nowhere to go.
func (d *Detector) Tick(now time.Time) {
	late := d.Loaded.Load() && d.Policy.Late(d.Age(), d.Failing.Load())
	d.updateOutage(late, now)
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

// RetryAfter returns the Retry-After delay for a caller that this gateway cannot serve for lack of the store
// but another one can: minimal if that one is in the same hall, and otherwise until the load balancer has
// noticed. It returns false if no other gateway has the store.
func (d *Detector) RetryAfter(now time.Time) (time.Duration, bool) {
	since := d.aloneSince.Load()
	if since == 0 {
		return 0, false
	}
	for _, p := range d.Peers.Proofs() {
		if p.From.Hall == d.Hall && d.Policy.MayServe(now.Sub(p.At)) {
			return minRetryAfter, true
		}
	}
	return max(time.Unix(0, since).Add(balancerDetectTime).Sub(now), minRetryAfter), true
}

// refresh queries the store immediately, unless it did so within minRefreshInterval.
func (d *Detector) refresh(now time.Time) {
	last := d.refreshedAt.Load()
	if now.UnixNano()-last >= int64(minRefreshInterval) && d.refreshedAt.CompareAndSwap(last, now.UnixNano()) {
		d.Refresh()
	}
}

// updateOutage begins or ends the outage that this gateway reports. A failed call begins one. A late proof
// alone begins one only if the store has not answered an additional query either: the process may have been
// starved of processor time, or a single connection may be broken.
func (d *Detector) updateOutage(late bool, now time.Time) {
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
	if !failing && now.Sub(d.lateSince) < refreshTimeout || !d.outages.Begin() {
		return
	}
	d.outageSince = now
	d.Log.Info().Uint64("outage", d.outages.Own()).Dur("proof_age_ms", d.Age()).Bool("failing", failing).
		Msg("this gateway has lost the store, and asks the others whether they have it")
}

// holder returns the freshness proof of a gateway that has the store though this one has lost it, and false
// if there is none.
func (d *Detector) holder(now time.Time) (peers.Proof, bool) {
	own := d.outages.Own()
	if own == 0 {
		return peers.Proof{}, false
	}
	for _, p := range d.Peers.Proofs() {
		// A proof from before the loss shows nothing: that gateway may have lost the store, too.
		answered := slices.Contains(p.Partial, own) || p.Members > 0 && p.At.After(d.outageSince.Add(summaryDelay))
		if answered && !d.Policy.Late(now.Sub(p.At), false) {
			return p, true
		}
	}
	return peers.Proof{}, false
}
