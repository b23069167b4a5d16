package gateway

import (
	"time"

	"github.com/grademill/grademill/role/partition"
)

// restPartitioned is how long a caller's connection may rest at a gateway that alone has lost
// the store.
const restPartitioned = 100 * time.Millisecond

// initPartition sets up what tells the loss of the store by this gateway alone from an outage.
func (g *Gateway) initPartition() {
	g.refreshed = make(chan struct{}, 1)
	g.partition = partition.Detector{
		Hall: g.Hall, Policy: g.policy(), Peers: &g.peers, Age: g.proofAge,
		Proven: func() time.Time { return time.Unix(0, g.proof.Load()) },
		Loaded: &g.loaded, Failing: &g.failing, Refresh: g.refresh, Clock: g.Clock, Log: g.Log,
	}
	g.partition.Init()
}

// refresh has the store asked at once whether it is there.
func (g *Gateway) refresh() {
	g.feed.Refresh()
	select {
	case g.refreshed <- struct{}{}:
	default: // it does not rest
	}
}

// elsewhere returns when a caller that this gateway cannot serve for want of the
// store should come back.
func (g *Gateway) elsewhere(now time.Time) time.Duration {
	if wait, ok := g.partition.Elsewhere(now); ok {
		return wait
	}
	return comeBackLater
}
