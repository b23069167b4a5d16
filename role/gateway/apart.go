package gateway

import (
	"time"

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
	// restApart is how long a caller's connection may rest at a gateway that has
	// lost the store.
	restApart = 100 * time.Millisecond
	// digestWay is how long a digest may be under way: so much younger a proof seems.
	digestWay = 30 * time.Millisecond
	// hurryRest is the least time between two questions that are asked at once since other
	// gateways have lost the store: when many lose it, or all start together, it is not to meet
	// a question of each gateway for each other one.
	hurryRest = 2 * time.Second
)

// hearCut takes in whether the store gives another gateway no answer. When it has just lost the
// store, this one asks at once whether it has, too: the other one must know within a fraction of
// a second whether its callers are better off elsewhere.
func (g *Gateway) hearCut(from string, cut bool, now time.Time) {
	if cut && !g.othersCut[from] && g.loaded.Load() && !g.failing.Load() && now.Sub(g.hurriedAt) >= hurryRest {
		g.hurriedAt = now
		g.feed.Hurry()
		select {
		case g.hurry <- struct{}{}:
		default: // it does not rest
		}
	}
	g.othersCut[from] = cut
}

// compare notes whether this gateway alone has lost the store: then its callers
// are better off elsewhere, and it stops being ready before it has to refuse them.
// When all have lost it, callers have nowhere to go.
func (g *Gateway) compare(now time.Time) {
	age, failing := g.proofAge(), g.failing.Load()
	late := g.loaded.Load() && g.policy().Late(age, failing)
	var holder *peers.Proof
	for _, p := range g.peers.Proofs() {
		// A proof from before the loss says nothing: its gateway may have lost the store, too.
		before := failing && p.At.UnixNano() < g.lostAt.Load()+int64(digestWay)
		if !before && !g.policy().Late(now.Sub(p.At), false) {
			holder = &p
			break
		}
	}
	apart := late && holder != nil
	if apart == (g.apartSince.Load() != 0) {
		return
	}
	since := int64(0)
	if apart {
		since = now.UnixNano()
	}
	g.apartSince.Store(since)
	line := g.Log.Info().Bool("apart", apart).Dur("proof_age_ms", age).Bool("late", late).Bool("failing", failing)
	if failing {
		line.Dur("lost_ms", now.Sub(time.Unix(0, g.lostAt.Load())))
	}
	if holder != nil {
		line.Str("holder", holder.From.Name).Str("holder_hall", holder.From.Hall).Int("holder_members", holder.Members).
			Dur("holder_proof_age_ms", now.Sub(holder.At)).Dur("holder_heard_ms", now.Sub(holder.Heard))
	}
	line.Msg("whether this gateway alone has lost the store")
}

// apart reports whether this gateway alone has lost the store.
func (g *Gateway) apart() bool {
	return g.apartSince.Load() != 0
}

// elsewhere returns when a caller that this gateway cannot serve for want of the
// store should come back, to be served by another one: at once when that is in the
// same hall, and otherwise when the balancer has noticed.
func (g *Gateway) elsewhere(now time.Time) time.Duration {
	since := g.apartSince.Load()
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
