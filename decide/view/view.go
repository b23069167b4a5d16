// Package view keeps what an entry knows of the endpoints, from their
// heartbeats, from broken connections, and from the platform's list of hosts.
package view

import (
	"time"

	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/route"
)

// Snapshot is the view at one moment, ready for choices. It is immutable but
// for the usage that its tables point to.
type Snapshot struct {
	// Models maps a service to the table of its chains.
	Models map[string]*route.Table
	// Plain maps a plain service to its endpoints that may take work.
	Plain map[string][]route.Candidate
	// Idle are the endpoints that wait for an order.
	Idle []fleet.Endpoint
	// All are all endpoints known, with those that may not take work.
	All []fleet.Endpoint
}

// View is the mutable view. It is not safe for concurrent use. Set the exported
// fields before the first use.
type View struct {
	// Home is the entry's own data hall.
	Home string
	// Links is the time between halls.
	Links route.Links
	// Expiry is how long an endpoint counts without a heartbeat.
	Expiry time.Duration

	known map[string]*known
	// byIncarnation finds the endpoint of a heartbeat that does not name it.
	byIncarnation map[uint64]*known
}

type known struct {
	endpoint fleet.Endpoint
	usage    *route.Usage
	// suspect endpoints get no work until they are heard of again.
	suspect bool
	// listed endpoints are leaving by the platform's list.
	listed bool
}

// Introduced takes in an endpoint that has introduced itself. It reports whether
// choices may come out differently.
func (v *View) Introduced(e fleet.Endpoint) bool {
	if v.known == nil {
		v.known = make(map[string]*known)
		v.byIncarnation = make(map[uint64]*known)
	}
	k := v.known[e.Name]
	if k == nil {
		k = &known{usage: new(route.Usage)}
		v.known[e.Name] = k
	}
	former := k.endpoint
	if former.Incarnation == e.Incarnation && former.Leaving {
		e = e.WithLeaving(true) // an agent does not take it back; its introductions may overtake each other
	}
	if former.Incarnation != e.Incarnation {
		// What was open at the former incarnation is gone with it, and those
		// who opened it take it off the former count.
		k.usage = new(route.Usage)
		delete(v.byIncarnation, former.Incarnation)
		v.byIncarnation[e.Incarnation] = k
	}
	k.endpoint = e
	return former.Incarnation != e.Incarnation || former.Layers != e.Layers ||
		former.Leaving != e.Leaving || former.Address != e.Address || former.Service != e.Service
}

// Heard takes in the rest of a heartbeat: that the agent lives, its load, and
// its epoch. It returns the endpoint, whether choices may come out differently,
// and false when no endpoint of that incarnation is known.
func (v *View) Heard(now time.Time, incarnation, epoch uint64, r route.Report) (e fleet.Endpoint, changed, ok bool) {
	k := v.byIncarnation[incarnation]
	if k == nil {
		return fleet.Endpoint{}, false, false
	}
	changed = k.suspect
	k.suspect = false
	k.endpoint.Seen = now
	k.usage.Epoch.Store(epoch)
	k.usage.Report(r)
	return k.endpoint, changed, true
}

// Loaded takes in a load report that came with an answer.
func (v *View) Loaded(name string, r route.Report) {
	if k := v.known[name]; k != nil {
		k.usage.Report(r)
	}
}

// Suspect marks an endpoint as not to be used until it is heard of again.
func (v *View) Suspect(name string) bool {
	k := v.known[name]
	if k == nil || k.suspect {
		return false
	}
	k.suspect = true
	return true
}

// SuspectAddress marks the endpoint behind an agent's address.
func (v *View) SuspectAddress(address string) bool {
	for name, k := range v.known {
		if k.endpoint.Address == address {
			return v.Suspect(name)
		}
	}
	return false
}

// Listed takes in what the platform's list says of leaving hosts, by the
// agents' addresses.
func (v *View) Listed(leaving map[string]bool) bool {
	changed := false
	for _, k := range v.known {
		listed := leaving[k.endpoint.Address]
		changed = changed || listed != k.listed
		k.listed = listed
	}
	return changed
}

// Expire forgets endpoints that have not been heard of for long, and returns
// their names.
func (v *View) Expire(now time.Time) []string {
	var names []string
	for name, k := range v.known {
		if now.Sub(k.endpoint.Seen) > v.Expiry {
			delete(v.known, name)
			delete(v.byIncarnation, k.endpoint.Incarnation)
			names = append(names, name)
		}
	}
	return names
}

// Snapshot returns the view as it stands, for the services of a configuration.
func (v *View) Snapshot(services map[string]config.Object[config.Service]) *Snapshot {
	s := &Snapshot{Models: make(map[string]*route.Table), Plain: make(map[string][]route.Candidate)}
	byService := make(map[string][]route.Candidate)
	for _, k := range v.known {
		e := k.endpoint.WithLeaving(k.endpoint.Leaving || k.listed)
		s.All = append(s.All, e)
		if e.Leaving || k.suspect {
			continue
		}
		if e.Service == "" {
			s.Idle = append(s.Idle, e)
			continue
		}
		byService[e.Service] = append(byService[e.Service], route.Candidate{Endpoint: e, Usage: k.usage})
	}
	for name, service := range services {
		if service.Value.Kind == config.Plain {
			s.Plain[name] = byService[name]
			continue
		}
		s.Models[name] = route.New(service.Value.Layers, v.Home, byService[name], v.Links)
	}
	return s
}
