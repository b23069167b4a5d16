// Package membership keeps which endpoints there are: it takes in their records in the store and what
// other gateways tell of departures, tells these in turn, and logs what changes.
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

// Membership keeps the endpoints of a fleet. Set the exported fields before the first use. Put and
// Gone are called by one goroutine, the rest is safe for concurrent use.
type Membership struct {
	// ID returns the endpoint that a key of the store is the record of, and Decode decodes a record.
	ID     func(key string) (string, bool)
	Decode func(id string, text []byte) (endpoint.Endpoint, error)
	// Dropped is told of the last record of an endpoint that has none any more, and Restarted of the
	// last record of a life that another one has followed.
	Dropped, Restarted func(roster.Record)
	// Overruled is called when another gateway has told that an endpoint has left whose record says
	// otherwise.
	Overruled func()
	Log       zerolog.Logger

	// Roster is the endpoints.
	Roster roster.Roster
}

// Put takes in a pair of the store if it is the record of an endpoint.
func (m *Membership) Put(p kv.Pair) {
	id, ok := m.ID(p.Key)
	if !ok {
		return
	}
	e, err := m.Decode(id, p.Value)
	if err != nil {
		m.Log.Warn().Str("endpoint", id).Err(err).Uint64("revision", p.Revision).Msg("record not understood, it names no endpoint")
		if r, known := m.Roster.Drop(id); known {
			m.drop(r)
		}
		return
	}
	change, former := m.Roster.Put(roster.Record{Endpoint: e, Revision: p.Revision, Since: time.Now()})
	switch change {
	case roster.Same:
		return
	case roster.Outlived:
		m.Log.Info().Str("endpoint", id).Int64("born", e.Born).Int64("known", former.Born).Uint64("revision", p.Revision).
			Msg("record of a former life of an endpoint is passed over")
		return
	case roster.Restarted:
		m.Log.Info().Str("endpoint", id).Int64("born", e.Born).Int64("former", former.Born).Msg("endpoint has started again")
		m.Restarted(former)
	}
	m.Log.Info().Str("endpoint", id).Int64("born", e.Born).Str("service", e.Service).Str("address", e.Address).Str("hall", e.Hall).
		Bool("leaving", e.Leaving).Stringer("layers", e.Layers).Str("card", e.Card).
		Uint64("revision", p.Revision).Uint64("former_revision", former.Revision).Msg("endpoint changed")
	if left := m.Roster.Departed(id); !e.Leaving && left.Covers(e, p.Revision) {
		m.Log.Warn().Str("endpoint", id).Int64("born", e.Born).Uint64("revision", p.Revision).Uint64("left_revision", left.Revision).
			Bool("announced", left.Announced).Msg("record of an endpoint that has left says otherwise, it gets no new work")
	}
}

// Gone takes in that a key of the store has gone at a revision, if it was the record of an endpoint.
func (m *Membership) Gone(key string, revision uint64) {
	id, ok := m.ID(key)
	if !ok {
		return
	}
	if r, known := m.Roster.Remove(id, revision, time.Now()); known {
		m.drop(r)
	}
}

// drop notes that an endpoint has no record any more.
func (m *Membership) drop(r roster.Record) {
	m.Dropped(r)
	m.Log.Info().Bool("leaving", r.Leaving).Uint64("former_revision", r.Revision).Dur("record_age_ms", time.Since(r.Since)).
		Str("endpoint", r.ID).Msg("endpoint gone")
}

// Leaves takes in that a life of an endpoint has said by itself that it leaves.
func (m *Membership) Leaves(e endpoint.Endpoint) {
	m.Roster.Adopt(roster.News{Departure: departure.Departure{Endpoint: e.ID, Born: e.Born, Announced: true}}, time.Now())
}

// Tell adds to a digest the endpoints that have left.
func (m *Membership) Tell(d *gossip.Digest, now time.Time) {
	for _, n := range m.Roster.Told(now) {
		d.Departures = append(d.Departures, &gossip.Departure{
			Endpoint: n.Endpoint, Born: n.Born, Announced: n.Announced, Revision: n.Revision, AgeMillis: uint32(n.Age.Milliseconds()),
		})
	}
}

// Hear takes in the endpoints that have left by the word of another gateway: this one's copy of the store
// may be behind. One gateway is enough, since it tells what the store holds and not what it concludes.
func (m *Membership) Hear(d *gossip.Digest, now time.Time) {
	overruled := false
	for _, told := range d.GetDepartures() {
		n := roster.News{
			Departure: departure.Departure{
				Endpoint: told.GetEndpoint(), Born: told.GetBorn(), Announced: told.GetAnnounced(), Revision: told.GetRevision(),
			},
			Age: time.Duration(told.GetAgeMillis()) * time.Millisecond,
		}
		if r, ok := m.Roster.Adopt(n, now); ok {
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
