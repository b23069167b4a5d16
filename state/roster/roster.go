// Package roster keeps the endpoints of a fleet by their records in the store.
package roster

import (
	"sync"
	"time"

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
	changed bool
}

// Put takes in a record, and returns what it means with the former record of the endpoint.
func (r *Roster) Put(next Record) (Change, Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	former, known := r.records[next.ID]
	switch {
	case former.Endpoint == next.Endpoint:
		return Same, former
	case former.Follows(next.Endpoint):
		return Outlived, former
	}
	if r.records == nil {
		r.records = make(map[string]Record)
	}
	r.records[next.ID] = next
	r.changed = true
	if known && next.Follows(former.Endpoint) {
		return Restarted, former
	}
	return Changed, former
}

// Drop forgets an endpoint, and returns its record; false when there was none.
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

// Records returns all endpoints, in no order.
func (r *Roster) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Record, 0, len(r.records))
	for _, record := range r.records {
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
