// Package roster keeps the endpoints of a fleet by their records in the store, and which of them
// have left.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/grademill/grademill/decide/departure"
	"github.com/grademill/grademill/decide/endpoint"
)

// maxDepartures bounds the departures that are kept. The oldest are dropped first: endpoints that
// left long ago have ended.
const maxDepartures = 4096

// Record is an endpoint as its record in the store describes it.
type Record struct {
	endpoint.Endpoint
	// Revision is that of the store at which the record was written.
	Revision uint64
	// Since is when this process took the record in.
	Since time.Time
}

// Change is what a record means for the endpoint that it names.
type Change uint8

// The changes.
const (
	// Same is a record that says nothing new.
	Same Change = iota
	// Changed is a new endpoint, or one that says something else than before.
	Changed
	// Restarted is an endpoint that has started again under its ID.
	Restarted
	// Outlived is a record of a life that a later one has followed; it is not taken in.
	Outlived
)

// Roster is the endpoints. The zero Roster has none. It is safe for concurrent use.
type Roster struct {
	mu      sync.Mutex // guards what follows
	records map[string]Record
	// departures are by the ID of the endpoint; they outlast its record.
	departures map[string]departed
	changed    bool
	// turn is where the next telling of the older departures begins.
	turn int
}

// departed is a departure and when it was learned of.
type departed struct {
	departure.Departure
	at time.Time
}

// What is told of departures.
const (
	// toldFor is how long a departure is told to others: longer than a gateway is usually without
	// the store.
	toldFor = time.Minute
	// maxTold is the number of departures that are told at a time. The newer half of them is always
	// among these, the rest by turns.
	maxTold = 32
)

// News is a departure as one process tells it to another.
type News struct {
	departure.Departure
	// Age is how long ago the first process learned of it.
	Age time.Duration
}

// Put takes in a record, and returns what it means with the former record of the endpoint.
func (r *Roster) Put(next Record) (Change, Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	former, known := r.records[next.ID]
	switch {
	case known && former.Endpoint == next.Endpoint:
		r.renew(former, next.Revision)
		return Same, former
	case former.Follows(next.Endpoint):
		return Outlived, former
	}
	if r.records == nil {
		r.records = make(map[string]Record)
	}
	r.records[next.ID] = next
	r.changed = true
	if next.Leaving {
		r.depart(departure.Departure{Endpoint: next.ID, Born: next.Born, Announced: true, Revision: next.Revision}, next.Since)
	}
	if known && next.Follows(former.Endpoint) {
		return Restarted, former
	}
	return Changed, former
}

// renew notes that a record has been written again as it was; r.mu is held.
func (r *Roster) renew(former Record, revision uint64) {
	if r.departures[former.ID].Covers(former.Endpoint, former.Revision) {
		r.changed = true // it may have come back
	}
	former.Revision = max(former.Revision, revision)
	r.records[former.ID] = former
}

// depart notes a departure that was learned of at a time, and reports whether it is news; r.mu is
// held.
func (r *Roster) depart(d departure.Departure, at time.Time) bool {
	if r.departures == nil {
		r.departures = make(map[string]departed)
	}
	known := r.departures[d.Endpoint]
	next := known.Departure.With(d)
	if next == known.Departure {
		return false
	}
	if len(r.departures) >= maxDepartures {
		delete(r.departures, r.oldest())
	}
	r.departures[d.Endpoint] = departed{next, at}
	return true
}

// oldest returns the endpoint of the oldest departure; r.mu is held.
func (r *Roster) oldest() string {
	oldest := ""
	for id, d := range r.departures {
		if oldest == "" || d.at.Before(r.departures[oldest].at) {
			oldest = id
		}
	}
	return oldest
}

// Remove takes in at now that the record of an endpoint has gone, and returns the record; false when
// there was none.
func (r *Roster) Remove(id string, revision uint64, now time.Time) (Record, bool) {
	former, known := r.Drop(id)
	if known {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.depart(departure.Departure{Endpoint: id, Born: former.Born, Revision: revision}, now)
	}
	return former, known
}

// Adopt takes in at now what another process tells, and returns the record that it overrules; false
// when there is none.
func (r *Roster) Adopt(n News, now time.Time) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, known := r.records[n.Endpoint]
	was := record.Leaving || r.departures[n.Endpoint].Covers(record.Endpoint, record.Revision)
	if !r.depart(n.Departure, now.Add(-n.Age)) {
		return record, false
	}
	overruled := known && !was && r.departures[n.Endpoint].Covers(record.Endpoint, record.Revision)
	r.changed = r.changed || overruled
	return record, overruled
}

// Told returns the departures to tell others of at now.
func (r *Roster) Told(now time.Time) []News {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []News
	for _, d := range r.departures {
		if age := now.Sub(d.at); age < toldFor {
			list = append(list, News{d.Departure, max(age, 0)})
		}
	}
	slices.SortFunc(list, func(a, b News) int { return cmp.Compare(a.Age, b.Age) })
	if len(list) <= maxTold {
		return list
	}
	told, older := list[:maxTold/2:maxTold/2], list[maxTold/2:]
	for range maxTold - len(told) {
		r.turn = (r.turn + 1) % len(older)
		told = append(told, older[r.turn])
	}
	return told
}

// Drop forgets an endpoint whose record names none any more, and returns its record; false when there was none.
func (r *Roster) Drop(id string) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	former, known := r.records[id]
	if known {
		delete(r.records, id)
		r.changed = true
	}
	return former, known
}

// Departed returns the departure of an endpoint, the zero Departure for none.
func (r *Roster) Departed(id string) departure.Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.departures[id].Departure
}

// TakeChanged reports whether the roster has changed since the last call.
func (r *Roster) TakeChanged() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.changed
	r.changed = false
	return changed
}

// Records returns all endpoints, in no order. Those that have left are leaving, whatever their
// records say.
func (r *Roster) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Record, 0, len(r.records))
	for id, record := range r.records {
		record.Leaving = record.Leaving || r.departures[id].Covers(record.Endpoint, record.Revision)
		list = append(list, record)
	}
	return list
}

// Size returns the number of endpoints.
func (r *Roster) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}
