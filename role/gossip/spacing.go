package gossip

import (
	"time"

	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/state/peers"
	wire "github.com/grademill/grademill/wire/gossip"
)

// spaceLoads removes the loads from a digest of this gateway if the fleet is large, the gateway has
// room for all its requests, and a digest of the last interval had carried them.
func (s *Gossip) spaceLoads(d *wire.Digest, size int, interval time.Duration, now time.Time) {
	if size > midsizeFleet && now.Before(s.loadsDue) && !short(d.GetLoads()) {
		d.Loads = nil
		return
	}
	s.loadsDue = now.Add(interval + interval/2) // rounds are not exact
}

// short reports whether requests wait or are refused. Teams are named only while the fleet is short.
func short(loads []*wire.ServiceLoad) bool {
	for _, l := range loads {
		if l.GetWaiting() > 0 || l.GetRefusedMillis() > 0 {
			return true
		}
		for _, c := range l.GetClasses() {
			if len(c.GetTeams()) > 0 {
				return true
			}
		}
	}
	return false
}

// heardLoads holds the last loads in the digests of single gateways.
type heardLoads struct {
	byGateway map[string]heardLoad
	// sweepDue is when loads that no longer count are removed.
	sweepDue time.Time
}

// heardLoad is the demand in a digest.
type heardLoad struct {
	demands     map[string]demand.Demand
	incarnation uint64
	// until is when the demand ceases to count.
	until time.Time
}

// update returns the demands in a report, or if it has none, the last ones of its sender as long as
// they count. The last digest of a gateway that ends states no interval and ends them.
func (h *heardLoads) update(r peers.Report, now time.Time) map[string]demand.Demand {
	if !now.Before(h.sweepDue) {
		for name, l := range h.byGateway {
			if now.After(l.until) {
				delete(h.byGateway, name)
			}
		}
		h.sweepDue = now.Add(time.Second)
	}
	if len(r.Demands) > 0 {
		if h.byGateway == nil {
			h.byGateway = make(map[string]heardLoad)
		}
		h.byGateway[r.From.Name] = heardLoad{demands: r.Demands, incarnation: r.Incarnation, until: now.Add(keptLoadDigests * r.Interval)}
		return r.Demands
	}
	last, known := h.byGateway[r.From.Name]
	if r.Interval == 0 || !known || last.incarnation != r.Incarnation || now.After(last.until) {
		return r.Demands
	}
	return last.demands
}
