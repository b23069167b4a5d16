package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/grademill/grademill/decide/departure"
)

// The figures of departures.
const (
	// maxDepartures bounds the departures that are kept. The oldest are dropped first: endpoints that
	// left long ago have ended.
	maxDepartures = 4096
	// toldFor is how long a departure is told to others: longer than a gateway is usually without
	// the store.
	toldFor = time.Minute
	// maxTold is the number of departures that are told at a time. The newer half of them is always
	// among these, the rest by turns.
	maxTold = 32
)

// departed is a departure and when it was learned of.
type departed struct {
	departure.Departure
	at time.Time
}

// News is a departure as one process tells it to another.
type News struct {
	departure.Departure
	// Age is how long ago the first process learned of it.
	Age time.Duration
}

// Departed returns the departure of an endpoint, the zero Departure for none.
func (r *Roster) Departed(id string) departure.Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.departures[id].Departure
}

// left reports whether an endpoint takes no new work, by its record or a departure; r.mu is held.
func (r *Roster) left(record Record) bool {
	return record.Leaving || r.departures[record.ID].Covers(record.Endpoint, record.Revision)
}

// Adopt takes in at now what another process tells, and returns the record that it overrules; false
// when there is none.
func (r *Roster) Adopt(n News, now time.Time) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, known := r.records[n.Endpoint]
	was := r.left(record)
	if !r.depart(n.Departure, now.Add(-n.Age)) {
		return record, false
	}
	overruled := known && !was && r.left(record)
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

// depart notes a departure that was learned of at a time, and reports whether it is news; r.mu is
// held.
func (r *Roster) depart(d departure.Departure, at time.Time) bool {
	if r.departures == nil {
		r.departures = make(map[string]departed)
	}
	former, known := r.departures[d.Endpoint]
	next := former.With(d)
	if next == former.Departure {
		return false
	}
	if !known && len(r.departures) >= maxDepartures {
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
