// Package membership tracks which endpoints exist. It processes their records in the store and the departures
// that other gateways report, reports departures in turn, and logs changes.
package membership

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/grademill/grademill/decide/departure"
	"github.com/grademill/grademill/decide/endpoint"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/state/roster"
	"github.com/grademill/grademill/wire/gossip"
)

// Membership tracks the endpoints of a fleet. Set the exported fields before the first use. Put and Removed
// must be called by one goroutine; the other methods are safe for concurrent use.
type Membership struct {
	// ID returns the endpoint whose record has the given key in the store, and Decode decodes a record.
	ID     func(key string) (string, bool)
	Decode func(id string, text []byte) (endpoint.Endpoint, error)
	// Dropped is called with the last record of an endpoint that no longer has one, Restarted with the last
	// record of an incarnation that another one has replaced.
	Dropped, Restarted func(roster.Record)
	// Overruled is called when another gateway has reported the departure of an endpoint whose record does
	// not show it.
	Overruled func()
	Log       zerolog.Logger

	// Roster holds the endpoints.
	Roster roster.Roster
}

// Put processes a pair of the store if it is the record of an endpoint.
func (m *Membership) Put(p kv.Pair) {
	id, ok := m.ID(p.Key)
	if !ok {
		return
	}
	e, err := m.Decode(id, p.Value)
	if err != nil {
		m.Log.Warn().Str("endpoint", id).Err(err).Uint64("revision", p.Revision).Msg("record not understood, endpoint is ignored")
		if r, known := m.Roster.Drop(id); known {
			m.drop(r)
		}
		return
	}
	change, former := m.Roster.Put(roster.Record{Endpoint: e, Revision: p.Revision, Since: time.Now()})
	switch change {
	case roster.Unchanged:
		return
	case roster.Outdated:
		m.Log.Info().Str("endpoint", id).Int64("born", e.Born).Int64("known", former.Born).Uint64("revision", p.Revision).
			Msg("ignoring record of a previous incarnation of an endpoint")
		return
	case roster.Restarted:
		m.Log.Info().Str("endpoint", id).Int64("born", e.Born).Int64("former", former.Born).Msg("endpoint has started again")
		m.Restarted(former)
	}
	m.Log.Info().Str("endpoint", id).Int64("born", e.Born).Str("service", e.Service).Str("address", e.Address).Str("hall", e.Hall).
		Bool("leaving", e.Leaving).Stringer("layers", e.Layers).Str("card", e.Card).
		Uint64("revision", p.Revision).Uint64("former_revision", former.Revision).Msg("endpoint changed")
	if left := m.Roster.DepartureOf(id); !e.Leaving && left.Covers(e, p.Revision) {
		m.Log.Warn().Str("endpoint", id).Int64("born", e.Born).Uint64("revision", p.Revision).Uint64("left_revision", left.Revision).
			Bool("announced", left.Announced).Msg("record of an endpoint that has left does not show it, endpoint gets no new work")
	}
}

// Removed processes the removal of a key from the store at a revision if the key was the record of an
// endpoint.
func (m *Membership) Removed(key string, revision uint64) {
	id, ok := m.ID(key)
	if !ok {
		return
	}
	if r, known := m.Roster.Remove(id, revision, time.Now()); known {
		m.drop(r)
	}
}

// drop handles an endpoint that no longer has a record.
func (m *Membership) drop(r roster.Record) {
	m.Dropped(r)
	m.Log.Info().Bool("leaving", r.Leaving).Uint64("former_revision", r.Revision).Dur("record_age_ms", time.Since(r.Since)).
		Str("endpoint", r.ID).Msg("endpoint gone")
}

// NoteDeparture notes that an incarnation of an endpoint has itself announced that it is leaving.
func (m *Membership) NoteDeparture(e endpoint.Endpoint) {
	m.Roster.ApplyReport(roster.DepartureReport{Departure: departure.Departure{Endpoint: e.ID, Born: e.Born, Announced: true}}, time.Now())
}

// AddToDigest adds to a digest the endpoints that have left.
func (m *Membership) AddToDigest(d *gossip.Digest, now time.Time) {
	for _, n := range m.Roster.ReportableDepartures(now) {
		d.Departures = append(d.Departures, &gossip.Departure{
			Endpoint: n.Endpoint, Born: n.Born, Announced: n.Announced, Revision: n.Revision, AgeMillis: uint32(n.Age.Milliseconds()),
		})
	}
}

// HandleReport processes the departures that another gateway reports: this gateway's copy of the store may be
// behind. A report of one gateway is enough, since it holds what the store says and not a conclusion.
func (m *Membership) HandleReport(d *gossip.Digest, now time.Time) {
	overruled := false
	for _, reported := range d.GetDepartures() {
		n := roster.DepartureReport{
			Departure: departure.Departure{
				Endpoint: reported.GetEndpoint(), Born: reported.GetBorn(), Announced: reported.GetAnnounced(), Revision: reported.GetRevision(),
			},
			Age: time.Duration(reported.GetAgeMillis()) * time.Millisecond,
		}
		if r, ok := m.Roster.ApplyReport(n, now); ok {
			overruled = true
			m.Log.Info().Str("endpoint", n.Endpoint).Str("gateway", d.GetGateway()).Int64("born", n.Born).Bool("announced", n.Announced).
				Uint64("revision", n.Revision).Dur("age_ms", n.Age).Uint64("record_revision", r.Revision).
				Dur("record_age_ms", now.Sub(r.Since)).Msg("endpoint has left by the word of another gateway")
		}
	}
	if overruled {
		m.Overruled()
	}
}
