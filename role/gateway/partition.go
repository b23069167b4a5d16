package gateway

import "time"

// idleTimeoutPartitioned is how long a caller's connection may be idle at a gateway that alone has
// lost the store.
const idleTimeoutPartitioned = 100 * time.Millisecond

// initPartition sets up the detector that distinguishes a loss of the store by this gateway alone
// from an outage of the store.
func (g *Gateway) initPartition() {
	g.refreshed = make(chan struct{}, 1)
	d := &g.partition // requests may already arrive and read whether this gateway is alone
	d.Hall, d.Policy, d.Peers = g.Hall, g.policy(), &g.peers
	d.Age, d.Proven = g.proofAge, g.proof.At
	d.Loaded, d.Failing, d.Refresh = &g.loaded, &g.failing, g.refresh
	d.Clock, d.Log = g.Clock, g.Log
	d.Init()
}

// refresh makes this gateway ask the store at once whether it answers.
func (g *Gateway) refresh() {
	g.feed.Refresh()
	select {
	case g.refreshed <- struct{}{}:
	default: // a refresh is already pending
	}
}

// retryAfterOutage returns the Retry-After delay of a request that this gateway cannot serve
// without the store.
func (g *Gateway) retryAfterOutage(now time.Time) time.Duration {
	if wait, ok := g.partition.RetryAfter(now); ok {
		return wait
	}
	return retryAfterStore
}
