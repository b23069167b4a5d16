package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/role/membership"
	"github.com/grademill/grademill/state/roster"
)

// members are the usages of the endpoints that the store names.
type members struct {
	// reconfigured is set when a configuration has come that may name other services.
	reconfigured atomic.Bool

	mu    sync.Mutex // guards usage, and that one fleet is made at a time
	usage map[string]*usage
}

// initMembership sets up what keeps the endpoints.
func (g *Gateway) initMembership() {
	g.members.usage = make(map[string]*usage)
	g.membership = membership.Membership{
		ID: g.Records.EndpointID, Decode: g.Records.DecodeEndpoint, Log: g.Log,
		Dropped: g.dropped, Restarted: g.restarted, Overruled: g.rebuild,
	}
}

// takeUsage forgets the usage of an endpoint and the connections to it, and returns it as a backend; nil
// when it was not used.
func (g *Gateway) takeUsage(r roster.Record) *backend {
	g.pool.Drop(r.Address)
	g.probes.Forget(r.Address)
	g.members.mu.Lock()
	defer g.members.mu.Unlock()
	u := g.members.usage[r.ID]
	delete(g.members.usage, r.ID)
	if u == nil {
		return nil
	}
	return &backend{Record: r, use: u}
}

// dropped forgets an endpoint that has no record any more.
func (g *Gateway) dropped(r roster.Record) {
	if b := g.takeUsage(r); b != nil && b.use.down() { // its record has lapsed, too
		g.endedAfterSilence(b, time.Now())
	}
}

// restarted ends a former life of an endpoint that has started again under its ID: what ran there is
// lost, and nothing that was known or ordered counts for the new life.
func (g *Gateway) restarted(former roster.Record) {
	if b := g.takeUsage(former); b != nil {
		g.lifeEnded(b, time.Now())
	}
}

// hearLeaving takes in that an endpoint has said by itself that it leaves.
func (g *Gateway) hearLeaving(endpoint string) {
	if b := g.fleet.Load().byID[endpoint]; b != nil {
		g.membership.Leaves(b.Endpoint)
		g.rebuild()
	}
}

// rebuild makes the fleet anew if endpoints have changed.
func (g *Gateway) rebuild() {
	g.members.mu.Lock()
	defer g.members.mu.Unlock()
	changed, reconfigured := g.membership.Roster.TakeChanged(), g.members.reconfigured.Swap(false)
	if !changed && !reconfigured {
		return
	}
	g.fleet.Store(newFleet(g.backends()))
	g.Meter.Fleet(g.membership.Roster.Size())
}

// backends returns the endpoints of the services that the configuration names. Others may have
// the address of one of these. The lock of the members is held.
func (g *Gateway) backends() []*backend {
	c := g.catalog.Load()
	records := g.membership.Roster.Records()
	all := make([]*backend, 0, len(records))
	for _, r := range records {
		if c != nil && c.Services[r.Service] == nil {
			continue
		}
		if g.members.usage[r.ID] == nil {
			g.members.usage[r.ID] = newUsage()
		}
		all = append(all, &backend{Record: r, use: g.members.usage[r.ID]})
	}
	return all
}
