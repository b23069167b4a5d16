package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/role/membership"
	"github.com/grademill/grademill/state/roster"
)

// members holds the usages of the endpoints that have a record in the store.
type members struct {
	// reconfigured is set when a new configuration may name other services.
	reconfigured atomic.Bool

	mu    sync.Mutex // guards the fields below, and serializes the construction of fleets
	usage map[string]*usage
	// services holds the services with endpoints that this or an earlier configuration names: requests
	// that an earlier one admitted may still run there.
	services map[string]bool
}

// initMembership sets up the tracking of endpoints.
func (g *Gateway) initMembership() {
	g.members.usage = make(map[string]*usage)
	g.membership = membership.Membership{
		ID: g.Decoders.EndpointID, Decode: g.Decoders.DecodeEndpoint, Log: g.Log,
		Dropped: g.dropped, Restarted: g.restarted, Overruled: g.rebuild,
	}
}

// removeUsage removes the usage of an endpoint and the connections to it, and returns it as a
// backend; nil when it was not used.
func (g *Gateway) removeUsage(r roster.Record) *backend {
	g.pool.CloseIdle(r.Address)
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

// dropped removes an endpoint whose record is gone.
func (g *Gateway) dropped(r roster.Record) {
	if b := g.removeUsage(r); b != nil && b.use.Down() { // silent, and its record has lapsed
		g.endedAfterSilence(b, time.Now())
	}
}

// restarted ends the former incarnation of an endpoint that has started again under its ID: the
// requests that ran there are lost, and nothing known or ordered carries over to the new
// incarnation.
func (g *Gateway) restarted(former roster.Record) {
	if b := g.removeUsage(former); b != nil {
		g.incarnationEnded(b, time.Now())
	}
}

// handleLeaving records that an endpoint has announced that it leaves.
func (g *Gateway) handleLeaving(endpoint string) {
	if b := g.fleet.Load().ByID[endpoint]; b != nil {
		g.membership.NoteDeparture(b.Endpoint)
		g.rebuild()
	}
}

// rebuild constructs the fleet anew if endpoints or services have changed.
func (g *Gateway) rebuild() {
	g.members.mu.Lock()
	defer g.members.mu.Unlock()
	changed, reconfigured := g.membership.Roster.TakeChanged(), g.members.reconfigured.Swap(false)
	if !changed && !reconfigured {
		return
	}
	next := newFleet(g.backends())
	former := g.fleet.Swap(next)
	if halls := next.Halls(); !slices.Equal(halls, former.Halls()) {
		g.Log.Info().Strs("halls", halls).Strs("former", former.Halls()).Int("endpoints", len(next.ByID)).
			Msg("the data halls of the fleet have changed")
	}
	g.Meter.Endpoints(g.membership.Roster.Size())
}

// backends returns the endpoints of the services that this or an earlier configuration names. Endpoints
// of other services may share an address with one of these. The caller holds members.mu.
func (g *Gateway) backends() []*backend {
	c, former := g.catalog.Load(), g.members.services
	g.members.services = make(map[string]bool)
	records := g.membership.Roster.Records()
	all := make([]*backend, 0, len(records))
	for _, r := range records {
		if c != nil && c.Services[r.Service] == nil && !former[r.Service] {
			continue
		}
		g.members.services[r.Service] = c != nil
		if g.members.usage[r.ID] == nil {
			g.members.usage[r.ID] = newUsage()
		}
		all = append(all, &backend{Record: r, use: g.members.usage[r.ID]})
	}
	return all
}
