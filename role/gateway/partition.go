package gateway

import "time"

// restPartitioned is how long a caller's connection may rest at a gateway that alone has lost
// the store.
const restPartitioned = 100 * time.Millisecond

// initPartition sets up what tells the loss of the store by this gateway alone from an outage.
func (g *Gateway) initPartition() {
	g.refreshed = make(chan struct{}, 1)
	d := &g.partition // requests may come already, and look whether this gateway is alone
	d.Hall, d.Policy, d.Peers = g.Hall, g.policy(), &g.peers
	d.Age, d.Proven = g.proofAge, func() time.Time { return time.Unix(0, g.proof.Load()) }
	d.Loaded, d.Failing, d.Refresh = &g.loaded, &g.failing, g.refresh
	d.Clock, d.Log = g.Clock, g.Log
	d.Init()
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
