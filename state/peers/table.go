// Package peers keeps what a gateway knows of the other gateways: those that the store
// names, and what they last said they use.
package peers

import (
	"sync"
	"time"

	"github.com/grademill/grademill/decide/apportion"
	"github.com/grademill/grademill/decide/overlay"
)

// Key names what a report is about: a gateway, or all of a hall.
type Key struct {
	// Name is that of the gateway, empty for a hall.
	Name string
	// Hall is that of the hall, empty for a gateway.
	Hall string
}

// Report is what a gateway, or one that speaks for its hall, says.
type Report struct {
	// From is the sender.
	From overlay.Member
	// Incarnation is one life of the sender; Number rises with each report of it.
	Incarnation, Number uint64
	// Members is the number of gateways that it speaks for, 0 for the sender alone.
	Members int
	// Proven is when the configuration of the sender, or of one that it speaks for, was
	// certainly current; zero while the store does not answer it.
	Proven time.Time
	// Partial are the outages of other gateways during which the store answered the sender: see
	// outages.Outages.
	Partial []uint64
	// Every is the time between two such reports of the sender.
	Every time.Duration
	// Shares are the sender's by endpoint, each with the counter that they add to.
	Shares map[string]Share
}

// key returns what the report is about.
func (r Report) key() Key {
	if r.Members > 0 {
		return Key{Hall: r.From.Hall}
	}
	return Key{Name: r.From.Name}
}

// Table is the other gateways. The zero Table has none; Counter must be set before the
// first report is heard.
type Table struct {
	// Counter returns where the shares at an endpoint are summed, nil for an endpoint
	// that is not known.
	Counter func(endpoint string) Counter

	mu sync.Mutex // guards what follows
	// announced are the gateways that the store names, by its key.
	announced map[string]*announced
	// known are the last reports.
	known map[Key]*entry
}

// announced is a gateway that the store names.
type announced struct {
	overlay.Member
	// heard is when it, or one that speaks for its hall, was last heard, or else when the store named
	// it; absent is set once that is long ago.
	heard  time.Time
	absent bool
}

// entry is a report that counts.
type entry struct {
	Report
	at      time.Time
	counted map[Counter]Share
}

// count adds the shares of an entry to the counters, or takes them away.
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

// Announce notes at now a gateway that the store names under a key.
func (t *Table) Announce(key string, m overlay.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.announced == nil {
		t.announced = make(map[string]*announced)
	}
	t.announced[key] = &announced{Member: m, heard: now}
}

// Withdraw notes that the store names no gateway under a key any more.
func (t *Table) Withdraw(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.announced, key)
}

// Hear takes in a report at now and reports whether it counts. It does not when a newer
// one has come, or when the sender's hall speaks for it; a report of a hall replaces
// those of its gateways, unless it is the hall of self.
func (t *Table) Hear(r Report, self overlay.Member, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known == nil {
		t.known = make(map[Key]*entry)
	}
	key := r.key()
	old := t.known[key]
	if old != nil && old.From.Name == r.From.Name && (r.Incarnation < old.Incarnation ||
		r.Incarnation == old.Incarnation && r.Number <= old.Number) {
		return false
	}
	foreign := r.From.Hall != self.Hall
	switch {
	case r.Members > 0 && !foreign, r.Members == 0 && foreign && t.known[Key{Hall: r.From.Hall}] != nil:
		return false
	case r.Members > 0:
		t.forgetHall(r.From.Hall)
	}
	old.count(false)
	next := &entry{Report: r, at: now, counted: t.counters(r.Shares)}
	next.count(true)
	t.known[key] = next
	return true
}

// counters returns the shares by their counters.
func (t *Table) counters(shares map[string]Share) map[Counter]Share {
	counted := make(map[Counter]Share, len(shares))
	for endpoint, s := range shares {
		if counter := t.Counter(endpoint); counter != nil {
			counted[counter] = s
		}
	}
	return counted
}

// forgetHall drops the reports of the gateways of a hall; t.mu is held.
func (t *Table) forgetHall(hall string) {
	for key, e := range t.known {
		if key.Name != "" && e.From.Hall == hall {
			e.count(false)
			delete(t.known, key)
		}
	}
}

// Expire forgets the gateways and halls that have been silent for so many reports, of which
// one is due at least so often.
func (t *Table) Expire(now time.Time, missed int, least time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.known {
		if now.Sub(e.at) > time.Duration(missed)*max(e.Every, least) {
			e.count(false)
			delete(t.known, key)
		}
	}
}

// Miss finds the gateways that the store names and that have been silent for some time: they are given
// nothing to do until they are heard again. They may be cut off and not have ended, so that they go on
// counting in Size and AllHeard.
func (t *Table) Miss(now time.Time, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.announced {
		for _, key := range []Key{{Name: a.Name}, {Hall: a.Hall}} {
			if e := t.known[key]; e != nil && e.at.After(a.heard) {
				a.heard = e.at
			}
		}
		a.absent = now.Sub(a.heard) > after
	}
}

// Silent returns the gateways that the store names and that have been silent for some time by the last
// call of Miss, by the key.
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

// Heard returns the number of other gateways that are heard by themselves.
func (t *Table) Heard() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for key := range t.known {
		if key.Name != "" {
			n++
		}
	}
	return n
}

// Sum returns the sum of what the gateways of a hall said, their number, and when the
// newest configuration among them was certainly current.
func (t *Table) Sum(hall string) (shares map[string]Share, members int, proven time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shares = make(map[string]Share)
	for key, e := range t.known {
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
	}
	return shares, members, proven
}

// Claims returns what the others want of the limit of an endpoint: near are the gateways that are
// heard of one by one, far those of other halls.
func (t *Table) Claims(endpoint string) (near, far []apportion.Claim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, e := range t.known {
		c := apportion.Claim{Name: key.Name, Members: max(e.Members, 1), Wanted: float64(e.Shares[endpoint].Wanted) / WantedUnit}
		if key.Name != "" {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	return near, far
}

// Members returns the other gateways, each once: those that were heard of and those
// that the store names, without the absent ones.
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
	for key, e := range t.known {
		m := e.From
		m.Heard = key.Name != "" // else another gateway speaks for it
		add(m)
	}
	for _, a := range t.announced {
		if !a.absent {
			add(a.Member)
		}
	}
	return list
}

// Proof is what another gateway, or one that speaks for a hall, last said of how current its
// configuration is.
type Proof struct {
	// From is the gateway that said it.
	From overlay.Member
	// Members is the number of gateways that it spoke for, 0 for itself alone.
	Members int
	// At is when the configuration was certainly current, as far as the age in the report tells:
	// later by the time for which the report was under way.
	At time.Time
	// Heard is when the report came.
	Heard time.Time
	// Partial is that of the Report.
	Partial []uint64
}

// Proofs returns the proofs of the others that the store answers.
func (t *Table) Proofs() []Proof {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Proof
	for _, e := range t.known {
		if !e.Proven.IsZero() {
			list = append(list, Proof{From: e.From, Members: e.Members, At: e.Proven, Heard: e.at, Partial: e.Partial})
		}
	}
	return list
}

// Alone reports whether no other gateway has been heard of lately.
func (t *Table) Alone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.known) == 0
}

// AllHeard reports whether every other gateway that the store names counts in what was
// heard lately: by itself, or among those that another one spoke for.
func (t *Table) AllHeard(self string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	missing := make(map[string]int)
	for _, m := range t.announced {
		if m.Name != self && t.known[Key{Name: m.Name}] == nil {
			missing[m.Hall]++
		}
	}
	for hall, n := range missing {
		if e := t.known[Key{Hall: hall}]; e == nil || e.Members < n {
			return false
		}
	}
	return true
}

// assumedSize is the number of gateways while none is known: the smallest of the
// users' fleets.
const assumedSize = 5

// Size returns the number of gateways, the one that asks included.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := 1
	for key, e := range t.known {
		if key.Name != "" {
			heard++
		} else {
			heard += e.Members
		}
	}
	n := max(len(t.announced), heard)
	if n == 1 {
		return assumedSize
	}
	return n
}
