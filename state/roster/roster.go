// Package roster keeps the endpoints of a fleet by their records in the store, and records which
// of them have left.
//
// Pass record changes from the store to Put, Remove and Drop, and departures reported by other
// processes to ApplyReport. Records then returns the endpoints.
package roster

import (
	"sync"
	"time"

	"github.com/grademill/grademill/decide/departure"
	"github.com/grademill/grademill/decide/endpoint"
)

// Record describes an endpoint according to its record in the store.
type Record struct {
	endpoint.Endpoint
	// Revision is the store revision at which the record was written.
	Revision uint64
	// Since is the time at which this process received the record.
	Since time.Time
}

// Change is the effect of a record on the endpoint that it names.
type Change uint8

// The effects of a record.
const (
	// Unchanged is a record without new content.
	Unchanged Change = iota
	// Changed is a record of a new endpoint, or one with different content.
	Changed
	// Restarted is a record of an endpoint that has started again under its ID.
	Restarted
	// Outdated is a record of an earlier incarnation than the known one; it is ignored.
	Outdated
)

// Roster holds the endpoints. The zero Roster is empty. It is safe for concurrent use.
type Roster struct {
	mu      sync.Mutex // guards what follows
	records map[string]Record
	// departures holds the departures by endpoint ID; they outlast the endpoint's record.
	departures map[string]datedDeparture
	changed    bool
	// olderOffset is the position among the older departures at which the next report continues.
	olderOffset int
}

// Put applies a record. It returns its effect and the previous record of the endpoint.
func (r *Roster) Put(next Record) (Change, Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	former, known := r.records[next.ID]
	switch {
	case known && former.Endpoint == next.Endpoint:
		r.renew(former, next.Revision)
		return Unchanged, former
	case former.Supersedes(next.Endpoint):
		return Outdated, former
	}
	if r.records == nil {
		r.records = make(map[string]Record)
	}
	r.records[next.ID] = next
	r.changed = true
	if next.Leaving {
		r.addDeparture(departure.Departure{Endpoint: next.ID, Born: next.Born, Announced: true, Revision: next.Revision}, next.Since)
	}
	if known && next.Supersedes(former.Endpoint) {
		return Restarted, former
	}
	return Changed, former
}

// renew updates the revision of a record that was written again unchanged; r.mu is held.
func (r *Roster) renew(former Record, revision uint64) {
	if r.left(former) {
		r.changed = true // the departure may no longer cover the record
	}
	former.Revision = max(former.Revision, revision)
	r.records[former.ID] = former
}

// Remove applies the removal of an endpoint's record at a revision, and records a departure. It
// returns the last record; false if there was none.
func (r *Roster) Remove(id string, revision uint64, now time.Time) (Record, bool) {
	former, known := r.Drop(id)
	if known {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.addDeparture(departure.Departure{Endpoint: id, Born: former.Born, Revision: revision}, now)
	}
	return former, known
}

// Drop removes an endpoint that no record names any more, without a departure. It returns the last
// record; false if there was none.
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

// TakeChanged reports whether the roster has changed since the last call of TakeChanged.
func (r *Roster) TakeChanged() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.changed
	r.changed = false
	return changed
}

// Records returns all endpoints in no particular order. Endpoints that have left are marked as
// leaving even if their records are not.
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
