// Package suspects records the requests during which endpoints have ended, and quarantines
// requests.
//
// Note records an end that this gateway counts, Merge what another gateway knows. SetQuarantine
// quarantines a request: it is not sent to endpoints until a given time. An end has one cause, so the
// ends of a quarantined request do not count for others. Clear removes the ends of a request that has
// run without crashing its endpoint.
package suspects

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/decide/fingerprint"
)

const (
	// maxRecords bounds the recorded requests, some 200 bytes each. A fleet that loses 500
	// endpoints at once, each with 20 requests just begun, has 10,000 of them, and each gateway
	// counts a share.
	maxRecords = 4096
	// recentTime is how long an end counts as recent: its request is retried at once, or when its
	// caller retries.
	recentTime = 5 * time.Second
	// maxEnds bounds the recorded ends of a request; further ones change no decision.
	maxEnds = 8
	// countLifetime is how long a number of ends counts that another gateway reports without saying
	// which incarnations have ended, as former builds do.
	countLifetime = 3 * time.Second
)

// Begun is a request that an endpoint had just begun to run when it ended.
type Begun struct {
	Print fingerprint.Fingerprint
	// Age is how long the endpoint had the request: one that crashes endpoints does so soon.
	Age time.Duration
}

// Prints formats the fingerprints of requests for the log.
func Prints(begun []Begun) []string {
	list := make([]string, 0, len(begun))
	for _, b := range begun {
		list = append(list, b.Print.String())
	}
	return list
}

// End is the end of an incarnation during a request.
type End struct {
	Life Life
	// Age is the value from Begun.
	Age time.Duration
}

// Suspect describes a request during which endpoints have ended, as gateways tell each other.
type Suspect struct {
	Print fingerprint.Fingerprint
	// Count is the number of incarnations that have ended during it. Ends are their ends; a former
	// build does not tell them.
	Count int
	Ends  []End
	// Cleared is set if it has been cleared since.
	Cleared bool
	// Since is the time since the last end, or since the request was cleared.
	Since time.Duration
	// QuarantineLeft is the time left of its quarantine, 0 if it is not quarantined.
	QuarantineLeft time.Duration
	// Recent is set while the last end is recent.
	Recent bool
}

// Suspects holds the requests during which endpoints have ended. Set the exported fields before
// the first use.
type Suspects struct {
	// Retention is how long ends count after the last one during the same request.
	Retention time.Duration
	// SuspectFrom is the number of ends that makes a request suspect.
	SuspectFrom int

	// size is the number of entries in records. It is read without the lock, because every request
	// checks it and most gateways have no records most of the time.
	size atomic.Int64
	mu   sync.Mutex // guards what follows
	// records holds the requests, explained until when ends are due to a quarantined request, and to
	// which one.
	records   map[fingerprint.Fingerprint]*record
	explained map[Life]explanation
}

// explanation names the quarantined request to which an end is due.
type explanation struct {
	by    fingerprint.Fingerprint
	until time.Time
}

// record is the state of a request.
type record struct {
	// ends are the ends during the request, each incarnation once, at is when the last one was. noted
	// is set if this gateway tells the fleet of them.
	ends  []End
	at    time.Time
	noted bool
	// count is the number of ends that a former build reported, valid until countUntil.
	count      int
	countUntil time.Time
	// recentUntil is the time until which an end or an arrival counts as recent.
	recentUntil time.Time
	// clearedAt is when the request was cleared; reports of earlier ends do not count.
	clearedAt time.Time
	// quarantinedUntil is the end of the quarantine.
	quarantinedUntil time.Time
}

// Note records that an incarnation ended during a request, and returns the number of ends of the
// request before and after.
func (s *Suspects) Note(f fingerprint.Fingerprint, e End, now time.Time) (before, after int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(f, now)
	before = s.ends(f, r, now)
	s.add(r, now, now, e)
	r.noted = true
	return before, s.ends(f, r, now)
}

// Merge adds what another gateway knows of a request, and returns the number of its ends before and
// after.
func (s *Suspects) Merge(o Suspect, now time.Time) (before, after int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Add(-o.Since)
	known := s.records[o.Print]
	if now.Sub(at) > s.Retention || known != nil && !o.Cleared && !at.After(known.clearedAt) {
		return 0, 0
	}
	r := s.record(o.Print, now)
	before = s.ends(o.Print, r, now)
	switch {
	case o.Cleared && at.Before(r.at): // ends are known from after that
	case o.Cleared:
		r.clear(at, now)
	case len(o.Ends) == 0:
		r.count, r.countUntil = o.Count, now.Add(countLifetime)
	default:
		s.add(r, at, now, o.Ends...)
	}
	if o.Recent {
		r.recentUntil = later(r.recentUntil, now.Add(recentTime))
	}
	return before, s.ends(o.Print, r, now)
}

// Keep makes the record of a request, if there is one, one of those that this gateway tells the fleet of.
func (s *Suspects) Keep(f fingerprint.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[f]; r != nil {
		r.noted = true
	}
}

// add adds ends to a record, the last of which was at a time; s.mu is held.
func (s *Suspects) add(r *record, at, now time.Time, ends ...End) {
	if now.Sub(r.at) > s.Retention {
		r.ends = nil
	}
	r.at = later(r.at, at)
	r.recentUntil = later(r.recentUntil, at.Add(recentTime))
	for _, e := range ends {
		switch i := r.index(e.Life); {
		case i >= 0:
			r.ends[i].Age = min(r.ends[i].Age, e.Age)
		case len(r.ends) < maxEnds:
			r.ends = append(r.ends, e)
		}
	}
}

// index returns the index of the end of an incarnation, -1 if the record has none.
func (r *record) index(l Life) int {
	return slices.IndexFunc(r.ends, func(e End) bool { return e.Life == l })
}

// Slowest returns the longest time for which an incarnation that has ended had the request.
func (o Suspect) Slowest() time.Duration {
	return slowest(o.Ends)
}

// slowest returns the longest age of some ends.
func slowest(ends []End) time.Duration {
	age := time.Duration(0)
	for _, e := range ends {
		age = max(age, e.Age)
	}
	return age
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// clear removes the ends of a request that was cleared at a time, unless it is quarantined.
func (r *record) clear(at, now time.Time) {
	if !r.quarantinedUntil.After(now) {
		*r = record{clearedAt: at}
	}
}

// Arrived records that a request during which incarnations have ended has arrived again.
func (s *Suspects) Arrived(f fingerprint.Fingerprint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[f]; r != nil {
		r.recentUntil = now.Add(recentTime)
	}
}

// Ends returns the number of incarnations known to have ended during a request, without those whose
// end is due to a quarantined one.
func (s *Suspects) Ends(f fingerprint.Fingerprint, now time.Time) int {
	if s.size.Load() == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[f]; r != nil {
		return s.ends(f, r, now)
	}
	return 0
}

// Shares reports whether an incarnation has ended at most age after it began to run a suspect other
// than f.
func (s *Suspects) Shares(f fingerprint.Fingerprint, l Life, age time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, r := range s.records {
		if i := r.index(l); other != f && i >= 0 && r.ends[i].Age < age && s.ends(other, r, now) >= s.SuspectFrom {
			return true
		}
	}
	return false
}

// SetQuarantine quarantines a request until a given time, and reports whether this started a new
// quarantine. The given ends, and those recorded here, are due to it.
func (s *Suspects) SetQuarantine(f fingerprint.Fingerprint, now, until time.Time, ends ...End) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(f, now)
	if !until.After(now) {
		return false
	}
	isNew := !r.quarantinedUntil.After(now)
	if isNew {
		r.quarantinedUntil = until
	}
	s.add(r, now, now, ends...)
	if s.explained == nil {
		s.explained = make(map[Life]explanation)
	}
	for l, e := range s.explained {
		if !e.until.After(now) {
			delete(s.explained, l)
		}
	}
	for _, e := range r.ends {
		s.explained[e.Life] = explanation{by: f, until: r.quarantinedUntil}
	}
	return isNew
}

// QuarantineLeft returns the remaining quarantine of a request at now, 0 if there is none.
func (s *Suspects) QuarantineLeft(f fingerprint.Fingerprint, now time.Time) time.Duration {
	if s.size.Load() == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[f]; r != nil {
		return max(r.quarantinedUntil.Sub(now), 0)
	}
	return 0
}

// Clear removes the ends of a request that has run without crashing its endpoint, unless it is
// quarantined, and returns how many there were.
func (s *Suspects) Clear(f fingerprint.Fingerprint, now time.Time) int {
	if s.size.Load() == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[f]
	if r == nil || r.quarantinedUntil.After(now) {
		return 0
	}
	ends := s.ends(f, r, now)
	r.clear(now, now)
	return ends
}

// Get returns what is known of a request at now.
func (s *Suspects) Get(f fingerprint.Fingerprint, now time.Time) Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[f]; r != nil {
		return s.describe(f, r, now)
	}
	return Suspect{Print: f}
}

// describe returns what is known of a request at now; s.mu is held.
func (s *Suspects) describe(f fingerprint.Fingerprint, r *record, now time.Time) Suspect {
	d := Suspect{Print: f, QuarantineLeft: max(r.quarantinedUntil.Sub(now), 0), Recent: r.recentUntil.After(now)}
	switch since := now.Sub(r.at); {
	case since <= s.Retention:
		d.Count, d.Ends, d.Since = len(r.ends), slices.Clone(r.ends), since
	case !r.clearedAt.IsZero():
		d.Cleared, d.Since = true, now.Sub(r.clearedAt)
	}
	return d
}

// List returns up to limit requests that are quarantined, have at least minEnds ends, or have just been
// cleared: first the quarantined ones, then those with the most ends. With notedOnly it omits
// those that are neither quarantined nor noted or kept by this gateway.
func (s *Suspects) List(minEnds, limit int, notedOnly bool, now time.Time) []Suspect {
	if s.size.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Suspect
	for f, r := range s.records {
		one := s.describe(f, r, now)
		told := one.Count >= minEnds && (r.noted || !notedOnly) || one.Cleared && one.Since < recentTime
		if one.QuarantineLeft > 0 || told {
			list = append(list, one)
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.QuarantineLeft, a.QuarantineLeft), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Print, b.Print))
	})
	return list[:min(len(list), limit)]
}

// Rank returns the number of recent suspects that are more likely to crash endpoints than a given one:
// those with more ends, or that took less time to end them.
func (s *Suspects) Rank(f fingerprint.Fingerprint, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.records[f]
	if own == nil {
		return 0
	}
	ends, rank := s.ends(f, own, now), 0
	for other, r := range s.records {
		if other == f || r.quarantinedUntil.After(now) || !r.recentUntil.After(now) {
			continue
		}
		n := s.ends(other, r, now)
		if n >= s.SuspectFrom && cmp.Or(cmp.Compare(n, ends), cmp.Compare(slowest(own.ends), slowest(r.ends)), cmp.Compare(f, other)) > 0 {
			rank++
		}
	}
	return rank
}

// ends returns the number of ends of a record that are not due to another request; s.mu is held.
func (s *Suspects) ends(f fingerprint.Fingerprint, r *record, now time.Time) int {
	n := 0
	if now.Sub(r.at) <= s.Retention {
		for _, end := range r.ends {
			if e, ok := s.explained[end.Life]; !ok || e.by == f || !e.until.After(now) {
				n++
			}
		}
	}
	if now.Before(r.countUntil) {
		n = max(n, r.count)
	}
	return n
}

// record returns the record of a request, and creates it if necessary; s.mu is held.
func (s *Suspects) record(f fingerprint.Fingerprint, now time.Time) *record {
	if r := s.records[f]; r != nil {
		return r
	}
	if s.records == nil {
		s.records = make(map[fingerprint.Fingerprint]*record)
	}
	if len(s.records) >= maxRecords {
		s.evict(now)
	}
	r := new(record)
	s.records[f] = r
	s.size.Store(int64(len(s.records)))
	return r
}

// evict drops the records that no longer count. If that does not free half of the space, it also
// drops the older half of the rest. It keeps quarantined requests; s.mu is held.
func (s *Suspects) evict(now time.Time) {
	var times []time.Time
	for f, r := range s.records {
		switch {
		case r.quarantinedUntil.After(now):
		case s.ends(f, r, now) == 0 && now.Sub(r.clearedAt) > recentTime:
			delete(s.records, f)
		default:
			times = append(times, r.at)
		}
	}
	if len(s.records) < maxRecords/2 || len(times) == 0 {
		return
	}
	slices.SortFunc(times, time.Time.Compare)
	middle := times[len(times)/2]
	for f, r := range s.records {
		if !r.quarantinedUntil.After(now) && !r.at.After(middle) {
			delete(s.records, f)
		}
	}
}
