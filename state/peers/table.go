// Package peers keeps the state that a gateway knows of its peers: the gateways that the store
// names, and the use of endpoints that they last reported.
//
// Pass the store's records to Announce and Withdraw, received reports to AddReport, and call
// Expire and MarkAbsent regularly.
package peers

import (
	"math"
	"sync"
	"time"

	"github.com/grademill/grademill/decide/apportion"
	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/overlay"
)

// Key identifies the subject of a report: a gateway or a whole hall.
type Key struct {
	// Name is the name of the gateway, empty for a hall.
	Name string
	// Hall is the name of the hall, empty for a gateway.
	Hall string
}

// Report is a report by a gateway, for itself or on behalf of its hall.
type Report struct {
	// From is the sender.
	From overlay.Member
	// Incarnation identifies a run of the sender's process; Number rises with each of its reports.
	Incarnation, Number uint64
	// Members is the number of gateways that the report covers, 0 for the sender alone.
	Members int
	// Proven is the time at which the configuration of a covered gateway was certainly current;
	// zero while the store does not answer the sender.
	Proven time.Time
	// Partial are the outages of other gateways during which the store answered the sender: see
	// outages.Outages.
	Partial []uint64
	// Interval is the interval between two such reports of the sender.
	Interval time.Duration
	// Shares is the use of endpoints, by endpoint.
	Shares map[string]Usage
	// Demands is the demand for model services, by service. It is empty in reports of gateways of
	// former builds.
	Demands map[string]demand.Demand
}

// key returns the subject of the report.
func (r Report) key() Key {
	if r.Members > 0 {
		return Key{Hall: r.From.Hall}
	}
	return Key{Name: r.From.Name}
}

// Table holds the other gateways and their latest reports. The zero Table is empty. Set Counter
// before the first report.
type Table struct {
	// Counter returns the counter that sums the shares at an endpoint, nil if the endpoint is
	// unknown.
	Counter func(endpoint string) Counter

	mu sync.Mutex // guards what follows
	// announced holds the gateways that the store names, by the store's key.
	announced map[string]*announced
	// reports holds the latest report of each subject.
	reports map[Key]*entry
}

// announced is a gateway that the store names.
type announced struct {
	overlay.Member
	// heard is when the latest report of the gateway or its hall arrived, or initially when the
	// store named it. absent is set once that is long ago.
	heard  time.Time
	absent bool
}

// entry is a report in force.
type entry struct {
	Report
	// at is when the report arrived.
	at      time.Time
	counted map[Counter]Usage
}

// count adds the shares of an entry to the counters, or removes them.
func (e *entry) count(add bool) {
	if e == nil {
		return
	}
	for counter, s := range e.counted {
		if !add {
			s = s.Negated()
		}
		counter.Count(s)
	}
}

// Announce records a gateway that the store names under a key.
func (t *Table) Announce(key string, m overlay.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announced == nil {
		t.announced = make(map[string]*announced)
	}
	t.announced[key] = &announced{Member: m, heard: now}
}

// Withdraw records that the store no longer names a gateway under a key.
func (t *Table) Withdraw(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.announced, key)
}

// AddReport applies a report and reports whether it is in force. It is not if a newer one has
// arrived, if it is for the whole hall of self, or if it is for a gateway of another hall and a
// report for that hall is in force. A report for a hall replaces those of its gateways.
func (t *Table) AddReport(r Report, self overlay.Member, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = make(map[Key]*entry)
	}
	key := r.key()
	old := t.reports[key]
	if old != nil && old.From.Name == r.From.Name && (r.Incarnation < old.Incarnation ||
		r.Incarnation == old.Incarnation && r.Number <= old.Number) {
		return false
	}
	foreign := r.From.Hall != self.Hall
	switch {
	case r.Members > 0 && !foreign, r.Members == 0 && foreign && t.reports[Key{Hall: r.From.Hall}] != nil:
		return false
	case r.Members > 0:
		t.forgetHall(r.From.Hall)
	}
	old.count(false)
	next := &entry{Report: r, at: now, counted: t.counters(r.Shares)}
	next.count(true)
	t.reports[key] = next
	return true
}

// counters returns the shares by counter, without unknown endpoints.
func (t *Table) counters(shares map[string]Usage) map[Counter]Usage {
	counted := make(map[Counter]Usage, len(shares))
	for endpoint, s := range shares {
		if counter := t.Counter(endpoint); counter != nil {
			counted[counter] = s
		}
	}
	return counted
}

// forgetHall drops the reports of the gateways of a hall; t.mu is held.
func (t *Table) forgetHall(hall string) {
	for key, e := range t.reports {
		if key.Name != "" && e.From.Hall == hall {
			e.count(false)
			delete(t.reports, key)
		}
	}
}

// Expire drops the reports of gateways and halls that have missed the given number of reports. A
// sender's report interval counts as least if it is shorter.
func (t *Table) Expire(now time.Time, missed int, least time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.reports {
		if now.Sub(e.at) > time.Duration(missed)*max(e.Interval, least) {
			e.count(false)
			delete(t.reports, key)
		}
	}
}

// MarkAbsent marks as absent the gateways that the store names but that have been silent for
// longer than after. Members omits them until they report again. They may be cut off rather than
// ended, so Size and AllCovered still count them.
func (t *Table) MarkAbsent(now time.Time, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.announced {
		for _, key := range []Key{{Name: a.Name}, {Hall: a.Hall}} {
			if e := t.reports[key]; e != nil && e.at.After(a.heard) {
				a.heard = e.at
			}
		}
		a.absent = now.Sub(a.heard) > after
	}
}

// Silent returns the gateways, by the store's key, that the last call of MarkAbsent marked as
// absent and that have been silent for longer than after.
func (t *Table) Silent(now time.Time, after time.Duration) map[string]overlay.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make(map[string]overlay.Member)
	for key, a := range t.announced {
		if a.absent && now.Sub(a.heard) > after {
			list[key] = a.Member
		}
	}
	return list
}

// CountDirect returns the number of other gateways with a report of their own.
func (t *Table) CountDirect() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for key := range t.reports {
		if key.Name != "" {
			n++
		}
	}
	return n
}

// Sum returns the sum of the shares of a hall's gateways by endpoint, that of their demands by
// service, their number, and the time at which the newest configuration among them was certainly
// current.
func (t *Table) Sum(hall string) (shares map[string]Usage, demands map[string]demand.Demand, members int, proven time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shares = make(map[string]Usage)
	parts := make(map[string][]demand.Demand)
	for key, e := range t.reports {
		if key.Name == "" || e.From.Hall != hall {
			continue
		}
		members++
		if e.Proven.After(proven) {
			proven = e.Proven
		}
		for endpoint, s := range e.Shares {
			shares[endpoint] = shares[endpoint].Plus(s)
		}
		for service, d := range e.Demands {
			parts[service] = append(parts[service], d)
		}
	}
	return shares, sums(parts), members, proven
}

// sums returns the sum of the demands of each key.
func sums(parts map[string][]demand.Demand) map[string]demand.Demand {
	result := make(map[string]demand.Demand, len(parts))
	for key, all := range parts {
		result[key] = demand.Sum(all...)
	}
	return result
}

// FleetDemand returns the demand of the other gateways for a service: the sum over the reports in
// force, in which each gateway is counted once.
func (t *Table) FleetDemand(service string) demand.Demand {
	t.mu.Lock()
	var all []demand.Demand
	for _, e := range t.reports {
		if d, ok := e.Demands[service]; ok {
			all = append(all, d)
		}
	}
	t.mu.Unlock() // the sum is long in a large fleet, and requests take the lock too
	return demand.Sum(all...)
}

// HallDemands returns the demand of the other gateways for a service by hall, without halls from
// which no demand for it is reported.
func (t *Table) HallDemands(service string) map[string]demand.Demand {
	t.mu.Lock()
	parts := make(map[string][]demand.Demand)
	for _, e := range t.reports {
		if d, ok := e.Demands[service]; ok {
			parts[e.From.Hall] = append(parts[e.From.Hall], d)
		}
	}
	t.mu.Unlock()
	return sums(parts)
}

// FleetDemandAge returns the time since the newest report in force that covers a service arrived,
// and the largest duration if there is none.
func (t *Table) FleetDemandAge(service string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := time.Duration(math.MaxInt64)
	for _, e := range t.reports {
		if _, ok := e.Demands[service]; ok {
			age = min(age, max(now.Sub(e.at), 0))
		}
	}
	return age
}

// Unreported reports whether some gateway holds memory of endpoints for requests of models, but reports
// no demand for any service, as gateways of former builds do.
func (t *Table) Unreported() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.reports {
		if len(e.Demands) > 0 {
			continue
		}
		for _, s := range e.Shares {
			if s.Held > 0 {
				return true
			}
		}
	}
	return false
}

// Demands returns the demand of the others for the limit of an endpoint: near are gateways with
// reports of their own, far are other halls.
func (t *Table) Demands(endpoint string) (near, far []apportion.Claim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.reports {
		c := apportion.Claim{Name: key.Name, Members: max(e.Members, 1), Wanted: float64(e.Shares[endpoint].Wanted) / WantedUnit}
		if key.Name != "" {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	return near, far
}

// Members returns the other gateways, each once: those with a report and those that the store
// names, without the absent ones.
func (t *Table) Members(self string) []overlay.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := map[string]bool{self: true}
	var list []overlay.Member
	add := func(m overlay.Member) {
		if !seen[m.Name] {
			seen[m.Name] = true
			list = append(list, m)
		}
	}
	for key, e := range t.reports {
		m := e.From
		m.HeardDirectly = key.Name != "" // otherwise another gateway reports for it
		add(m)
	}
	for _, a := range t.announced {
		if !a.absent {
			add(a.Member)
		}
	}
	return list
}

// Proof is the latest freshness proof that another gateway reported for itself or its hall: the
// time at which its configuration was certainly current.
type Proof struct {
	// From is the gateway that sent the report.
	From overlay.Member
	// Members is the number of gateways that the report covers, 0 for the sender alone.
	Members int
	// At is the time at which the configuration was certainly current. It is computed from the age
	// in the report on arrival, and so is too late by the report's transmission time.
	At time.Time
	// Heard is when the report arrived.
	Heard time.Time
	// Partial is the value from the Report.
	Partial []uint64
}

// Proofs returns the freshness proofs in the reports of those gateways that the store answers.
func (t *Table) Proofs() []Proof {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Proof
	for _, e := range t.reports {
		if !e.Proven.IsZero() {
			list = append(list, Proof{From: e.From, Members: e.Members, At: e.Proven, Heard: e.at, Partial: e.Partial})
		}
	}
	return list
}

// Alone reports whether no report of another gateway is in force.
func (t *Table) Alone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.reports) == 0
}

// AllCovered reports whether the reports in force cover every other gateway that the store names,
// individually or as part of a hall.
func (t *Table) AllCovered(self string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	missing := make(map[string]int)
	for _, m := range t.announced {
		if m.Name != self && t.reports[Key{Name: m.Name}] == nil {
			missing[m.Hall]++
		}
	}
	for hall, n := range missing {
		if e := t.reports[Key{Hall: hall}]; e == nil || e.Members < n {
			return false
		}
	}
	return true
}

// assumedSize is the number of gateways assumed while no other is known: the smallest of the
// users' fleets.
const assumedSize = 5

// Heard returns the number of gateways that the reports in force cover, including this one.
func (t *Table) Heard() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heard()
}

// heard returns the result of Heard; t.mu is held.
func (t *Table) heard() int {
	heard := 1
	for key, e := range t.reports {
		if key.Name != "" {
			heard++
		} else {
			heard += e.Members
		}
	}
	return heard
}

// Announced returns the number of gateways that the store names, including this one, 0 while it has
// not been read.
func (t *Table) Announced() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.announced)
}

// KnownSize returns the result of Size, 0 while the number is not known: the store has not been
// read, or it does not answer this gateway, which hears no other one either.
func (t *Table) KnownSize(storeAnswers bool) int {
	if t.Announced() == 0 || !storeAnswers && t.Alone() {
		return 0
	}
	return t.Size()
}

// Size returns the number of gateways, including this one.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := max(len(t.announced), t.heard())
	if n == 1 {
		return assumedSize
	}
	return n
}
