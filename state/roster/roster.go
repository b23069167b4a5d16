// Package roster keeps the endpoints of a fleet by their records in the store, and which of them
// have left.
package roster

import (
	"sync"
	"time"

	"github.com/grademill/grademill/decide/departure"
	"github.com/grademill/grademill/decide/endpoint"
)

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
	if r.left(former) {
		r.changed = true // it may have come back
	}
	former.Revision = max(former.Revision, revision)
	r.records[former.ID] = former
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

// Drop forgets an endpoint whose record names none any more, and returns its last record; false when
// there was none.
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
	for _, record := range r.records {
		record.Leaving = r.left(record)
		list = append(list, record)
	}
	return list
}

// Size returns the number of endpoints that take new work, and of those that have left.
func (r *Roster) Size() (open, left int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range r.records {
		if r.left(record) {
			left++
		}
	}
	return len(r.records) - left, left
}
