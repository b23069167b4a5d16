// Package view tracks which endpoints an entry can use, from their heartbeats, from broken
// connections, and from the platform's list of hosts. The entry passes each event to a View and
// chooses endpoints from its Snapshot.
package view

import (
	"time"

	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/route"
)

// Snapshot is the state of a View at one moment. It is immutable except for the usage counters
// that its tables and candidates point to.
type Snapshot struct {
	// Models maps a model service to the table of its endpoints.
	Models map[string]*route.Table
	// Plain maps a plain service to its endpoints that may take work.
	Plain map[string][]route.Candidate
	// Idle are the endpoints that wait for an order.
	Idle []fleet.Endpoint
	// All are all known endpoints, including those that may not take work.
	All []fleet.Endpoint
}

// View is the mutable set of known endpoints. It is not safe for concurrent use. The exported
// fields must be set before the first use.
type View struct {
	// HomeHall is the entry's own data hall.
	HomeHall string
	// Links returns the latency between halls.
	Links route.Links
	// Expiry is how long an endpoint stays known after its last heartbeat.
	Expiry time.Duration

	// state is by endpoint name.
	state map[string]*state
	// byIncarnation finds the endpoint of a heartbeat, which carries no name.
	byIncarnation map[uint64]*state
}

// state is what a View knows of one endpoint.
type state struct {
	endpoint fleet.Endpoint
	usage    *route.Usage
	// suspect endpoints get no work until their next heartbeat.
	suspect bool
	// listedLeaving is set while the platform's list reports the host as leaving.
	listedLeaving bool
}

// RecordIntroduction records an endpoint's introduction of itself. It reports whether choices
// may change.
func (v *View) RecordIntroduction(e fleet.Endpoint) bool {
	if v.state == nil {
		v.state = make(map[string]*state)
		v.byIncarnation = make(map[uint64]*state)
	}
	k := v.state[e.Name]
	if k == nil {
		k = &state{usage: new(route.Usage)}
		v.state[e.Name] = k
	}
	former := k.endpoint
	if former.Incarnation == e.Incarnation && former.Leaving {
		e = e.WithLeaving(true) // leaving is final; introductions may arrive out of order
	}
	if former.Incarnation != e.Incarnation {
		// The sessions of the former incarnation have ended with it, and their
		// owners subtract them from the former counter.
		k.usage = new(route.Usage)
		delete(v.byIncarnation, former.Incarnation)
		v.byIncarnation[e.Incarnation] = k
	}
	k.endpoint = e
	return former.Incarnation != e.Incarnation || former.Layers != e.Layers ||
		former.Leaving != e.Leaving || former.Address != e.Address || former.Service != e.Service
}

// RecordHeartbeat records a heartbeat: the time, the agent's epoch and its load report. It
// returns the endpoint and whether choices may change; ok is false when no endpoint of that
// incarnation is known.
func (v *View) RecordHeartbeat(now time.Time, incarnation, epoch uint64, r route.Report) (e fleet.Endpoint, changed, ok bool) {
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

// RecordLoad records a load report that came with an answer.
func (v *View) RecordLoad(name string, r route.Report) {
	if k := v.state[name]; k != nil {
		k.usage.Report(r)
	}
}

// MarkSuspect excludes an endpoint from work until its next heartbeat. It reports whether
// choices may change.
func (v *View) MarkSuspect(name string) bool {
	k := v.state[name]
	if k == nil || k.suspect {
		return false
	}
	k.suspect = true
	return true
}

// MarkAddressSuspect is like MarkSuspect for the endpoint with an agent's address.
func (v *View) MarkAddressSuspect(address string) bool {
	for name, k := range v.state {
		if k.endpoint.Address == address {
			return v.MarkSuspect(name)
		}
	}
	return false
}

// ApplyHostList records which hosts the platform's list reports as leaving, by the agents'
// addresses. It reports whether choices may change.
func (v *View) ApplyHostList(leaving map[string]bool) bool {
	changed := false
	for _, k := range v.state {
		listedLeaving := leaving[k.endpoint.Address]
		changed = changed || listedLeaving != k.listedLeaving
		k.listedLeaving = listedLeaving
	}
	return changed
}

// Expire removes endpoints whose last heartbeat is older than Expiry, and returns their names.
func (v *View) Expire(now time.Time) []string {
	var names []string
	for name, k := range v.state {
		if now.Sub(k.endpoint.Seen) > v.Expiry {
			delete(v.state, name)
			delete(v.byIncarnation, k.endpoint.Incarnation)
			names = append(names, name)
		}
	}
	return names
}

// Snapshot returns the current state for the services of a configuration.
func (v *View) Snapshot(services map[string]config.Object[config.Service]) *Snapshot {
	s := &Snapshot{Models: make(map[string]*route.Table), Plain: make(map[string][]route.Candidate)}
	byService := make(map[string][]route.Candidate)
	for _, k := range v.state {
		e := k.endpoint.WithLeaving(k.endpoint.Leaving || k.listedLeaving)
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
		s.Models[name] = route.New(service.Value.Layers, v.HomeHall, byService[name], v.Links)
	}
	return s
}
