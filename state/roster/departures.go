package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/grademill/grademill/decide/departure"
)

// Bounds of the recorded and reported departures.
const (
	// maxDepartures bounds the recorded departures. The oldest are dropped first, since endpoints
	// that left long ago have ended.
	maxDepartures = 4096
	// reportPeriod is how long a departure is reported to other processes. It is longer than the
	// usual time for which a gateway is cut off from the store.
	reportPeriod = time.Minute
	// maxReported bounds the departures in one report. The newest ones fill half of each report,
	// and the others share the rest in rotation.
	maxReported = 32
)

// datedDeparture is a departure and the time at which it became known.
type datedDeparture struct {
	departure.Departure
	at time.Time
}

// DepartureReport is a departure as one process reports it to another.
type DepartureReport struct {
	departure.Departure
	// Age is the time since the first process learned of the departure.
	Age time.Duration
}

// DepartureOf returns the departure of an endpoint, the zero Departure if there is none.
func (r *Roster) DepartureOf(id string) departure.Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.departures[id].Departure
}

// left reports whether an endpoint takes no new work, according to its record or a departure; r.mu
// is held.
func (r *Roster) left(record Record) bool {
	return record.Leaving || r.departures[record.ID].Covers(record.Endpoint, record.Revision)
}

// ApplyReport records a departure reported by another process. It returns the endpoint's record
// and whether the departure overrules it, so that the endpoint now counts as having left.
func (r *Roster) ApplyReport(n DepartureReport, now time.Time) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, known := r.records[n.Endpoint]
	wasLeft := r.left(record)
	if !r.addDeparture(n.Departure, now.Add(-n.Age)) {
		return record, false
	}
	overruled := known && !wasLeft && r.left(record)
	r.changed = r.changed || overruled
	return record, overruled
}

// ReportableDepartures returns the departures to report to other processes at now.
func (r *Roster) ReportableDepartures(now time.Time) []DepartureReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []DepartureReport
	for _, d := range r.departures {
		if age := now.Sub(d.at); age < reportPeriod {
			list = append(list, DepartureReport{d.Departure, max(age, 0)})
		}
	}
	slices.SortFunc(list, func(a, b DepartureReport) int { return cmp.Compare(a.Age, b.Age) })
	if len(list) <= maxReported {
		return list
	}
	reported, older := list[:maxReported/2:maxReported/2], list[maxReported/2:]
	for range maxReported - len(reported) {
		r.olderOffset = (r.olderOffset + 1) % len(older)
		reported = append(reported, older[r.olderOffset])
	}
	return reported
}

// addDeparture records a departure that became known at a time, and reports whether it is new;
// r.mu is held.
func (r *Roster) addDeparture(d departure.Departure, at time.Time) bool {
	if r.departures == nil {
		r.departures = make(map[string]datedDeparture)
	}
	former, known := r.departures[d.Endpoint]
	next := former.Merge(d)
	if next == former.Departure {
		return false
	}
	if !known && len(r.departures) >= maxDepartures {
		delete(r.departures, r.oldest())
	}
	r.departures[d.Endpoint] = datedDeparture{next, at}
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
