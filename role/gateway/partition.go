package gateway

import (
	"slices"
	"time"

	"github.com/grademill/grademill/state/outages"
	"github.com/grademill/grademill/state/peers"
)

// The figures of a gateway that has lost the store while others have it.
const (
	// balancerNotice is how long the balancer may lead new callers to a gateway
	// that is not ready: two questions, a second apart.
	balancerNotice = 2200 * time.Millisecond
	// comeBackNow is when a caller is told to come back that another gateway will
	// serve: a new connection takes a few milliseconds.
	comeBackNow = 30 * time.Millisecond
	// restPartitioned is how long a caller's connection may rest at a gateway that has
	// lost the store.
	restPartitioned = 100 * time.Millisecond
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

// partition is what a gateway knows of how it lost the store. Only Tick uses it.
type partition struct {
	// lateSince is when the proof was first late though no call has failed, zero when it is not.
	lateSince time.Time
	// outageSince is when the outage was told to the others, zero when there is none.
	outageSince time.Time
}

// initOutages sets up what is kept of the losses of the store.
func (g *Gateway) initOutages() {
	g.outages = outages.Outages{Fresh: outageFresh}
	g.refreshed = make(chan struct{}, 1)
}

// hearOutage takes in the outage that another gateway tells of, 0 for none. When it is new, this
// one asks the store at once: the other one must know within a fraction of a second whether its
// callers are better off elsewhere.
func (g *Gateway) hearOutage(from string, number uint64, now time.Time) {
	if g.outages.Hear(from, number, g.Clock()) && g.loaded.Load() && !g.failing.Load() {
		g.refresh(now)
	}
}

// refresh has the store asked at once whether it is there, unless that was done lately.
func (g *Gateway) refresh(now time.Time) {
	last := g.refreshedAt.Load()
	if now.UnixNano()-last < int64(refreshRest) || !g.refreshedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	g.feed.Refresh()
	select {
	case g.refreshed <- struct{}{}:
	default: // it does not rest
	}
}

// compare notes whether this gateway alone has lost the store: then its callers
// are better off elsewhere, and it stops being ready before it has to refuse them.
// When all have lost it, callers have nowhere to go.
func (g *Gateway) compare(now time.Time) {
	late := g.loaded.Load() && g.policy().Late(g.proofAge(), g.failing.Load())
	g.noteOutage(late, now)
	holder, held := g.holder(now)
	partitioned := late && held
	if partitioned == g.partitioned() {
		return
	}
	since := int64(0)
	if partitioned {
		since = now.UnixNano()
	}
	g.partitionedSince.Store(since)
	line := g.Log.Info().Bool("apart", partitioned).Dur("proof_age_ms", g.proofAge()).Bool("late", late).
		Bool("failing", g.failing.Load()).Uint64("outage", g.outages.Own())
	if !g.partition.outageSince.IsZero() {
		line.Dur("outage_ms", now.Sub(g.partition.outageSince))
	}
	if held {
		line.Str("holder", holder.From.Name).Str("holder_hall", holder.From.Hall).Int("holder_members", holder.Members).
			Dur("holder_proof_age_ms", now.Sub(holder.At)).Dur("holder_heard_ms", now.Sub(holder.Heard))
	}
	line.Msg("whether this gateway alone has lost the store")
}

// noteOutage begins or ends the outage that this gateway tells of. A call that failed begins
// one. A proof that is merely late does when the store has not answered another question
// either: the process may have been held up, or one connection.
func (g *Gateway) noteOutage(late bool, now time.Time) {
	p := &g.partition
	failing := g.failing.Load()
	if !late && !failing {
		*p = partition{}
		g.outages.End()
		return
	}
	if late && !failing && p.lateSince.IsZero() {
		p.lateSince = now
		g.refresh(now)
	}
	if !failing && now.Sub(p.lateSince) < refreshWait || !g.outages.Begin() {
		return
	}
	p.outageSince = now
	g.Log.Info().Uint64("outage", g.outages.Own()).Dur("proof_age_ms", g.proofAge()).Bool("failing", failing).
		Msg("this gateway has lost the store, and asks the others whether they have it")
}

// holder returns the proof of a gateway that has the store though this one has lost it.
func (g *Gateway) holder(now time.Time) (peers.Proof, bool) {
	own, since := g.outages.Own(), g.partition.outageSince
	if own == 0 {
		return peers.Proof{}, false
	}
	for _, p := range g.peers.Proofs() {
		// What was proven before the loss says nothing: that gateway may have lost the store, too.
		answered := slices.Contains(p.Partial, own) || p.Members > 0 && p.At.After(since.Add(sumWay))
		if answered && !g.policy().Late(now.Sub(p.At), false) {
			return p, true
		}
	}
	return peers.Proof{}, false
}

// partitioned reports whether this gateway alone has lost the store.
func (g *Gateway) partitioned() bool {
	return g.partitionedSince.Load() != 0
}

// elsewhere returns when a caller that this gateway cannot serve for want of the
// store should come back, to be served by another one: at once when that is in the
// same hall, and otherwise when the balancer has noticed.
func (g *Gateway) elsewhere(now time.Time) time.Duration {
	since := g.partitionedSince.Load()
	if since == 0 {
		return comeBackLater
	}
	for _, p := range g.peers.Proofs() {
		if p.From.Hall == g.Hall && g.policy().Serves(now.Sub(p.At)) {
			return comeBackNow
		}
	}
	return max(time.Unix(0, since).Add(balancerNotice).Sub(now), comeBackNow)
}
