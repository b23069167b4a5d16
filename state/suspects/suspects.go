// Package suspects records the possible causes of the ends of endpoints, and quarantines causes: requests, and
// parts of prompts.
//
// Note records an end that this gateway counts, Merge what another gateway knows. SetQuarantine
// quarantines a cause: no request with it is sent to endpoints until a given time. An end has one cause, so the
// ends of a quarantined one do not count for others. Clear removes the ends of a cause when a request with it
// has run without crashing its endpoint.
package suspects

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/suspicion"
	"github.com/grademill/grademill/state/lastrun"
)

const (
	// maxRecords bounds the recorded causes, some 200 bytes each. A fleet that loses 500
	// endpoints at once, each with 20 requests just begun, has 10,000 of them, and each gateway
	// counts a share.
	maxRecords = 4096
	// recentTime is how long an end counts as recent: its request is retried at once, or when its
	// caller retries.
	recentTime = 5 * time.Second
	// countLifetime is how long a number of ends counts that another gateway reports without saying
	// which incarnations have ended, as former builds do.
	countLifetime = 3 * time.Second
)

// Begun is a possible cause of the end of an endpoint: a request that it had just begun to run, or a part of the prompt
// of such a request.
type Begun struct {
	Print fingerprint.Fingerprint
	// Age is how long the endpoint had the request: one that crashes endpoints does so soon.
	Age time.Duration
	// Part is set if the cause is a part of prompts.
	Part bool
}

// Unique returns each cause of a list once, with its shortest age.
func Unique(begun []Begun) []Begun {
	slices.SortFunc(begun, func(a, b Begun) int { return cmp.Or(cmp.Compare(a.Print, b.Print), cmp.Compare(a.Age, b.Age)) })
	return slices.CompactFunc(begun, func(a, b Begun) bool { return a.Print == b.Print })
}

// Prints formats the fingerprints of causes for the log.
func Prints(begun []Begun) []string {
	list := make([]string, 0, len(begun))
	for _, b := range begun {
		list = append(list, b.Print.String())
	}
	return list
}

// Suspect describes a cause under which endpoints have ended, as gateways tell each other.
type Suspect struct {
	Print fingerprint.Fingerprint
	// Part is set if the cause is a part of prompts.
	Part bool
	// Count is the number of incarnations that have ended under it. Ends are their ends; a former
	// build does not tell them.
	Count int
	Ends  []suspicion.End
	// Cleared is set if it has been cleared since.
	Cleared bool
	// Since is the time since the last end, or since the cause was cleared.
	Since time.Duration
	// Ran is the time since a request with it last began an answer that ran well, 0 if that is not known.
	Ran time.Duration
	// QuarantineLeft is the time left of its quarantine, 0 if it is not quarantined.
	QuarantineLeft time.Duration
	// Recent is set while the last end is recent.
	Recent bool
}

// Suspects holds the causes under which endpoints have ended. Set the exported fields before
// the first use.
type Suspects struct {
	// Retention is how long ends count after the last one under the same cause, and good runs of a part.
	Retention time.Duration

	// ran holds when parts last ran well, also those under which no endpoint has ended.
	ran lastrun.Table
	// size is the number of entries in records. It is read without the lock, because every request
	// checks it and most gateways have no records most of the time.
	size atomic.Int64
	mu   sync.Mutex // guards what follows
	// records holds the causes, explained until when ends are due to a quarantined one, and to
	// which one.
	records   map[fingerprint.Fingerprint]*record
	explained map[suspicion.Life]explanation
}

// explanation names the quarantined cause to which an end is due.
type explanation struct {
	by    fingerprint.Fingerprint
	until time.Time
}

// record is the state of a cause.
type record struct {
	suspicion.Suspicion
	// noted is set if this gateway tells the fleet of the ends.
	noted bool
	// count is the number of ends that a former build reported, valid until countUntil.
	count      int
	countUntil time.Time
	// recentUntil is the time until which an end or an arrival counts as recent.
	recentUntil time.Time
	// quarantinedUntil is the end of the quarantine.
	quarantinedUntil time.Time
}

// Note records that an incarnation ended under a cause, and returns the number of ends of the
// cause before and after.
func (s *Suspects) Note(f fingerprint.Fingerprint, e suspicion.End, now time.Time) (before, after int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(f, now)
	before = s.ends(f, r, now)
	s.add(r, now, e)
	r.noted = true
	return before, s.ends(f, r, now)
}

// NotePart records that a cause is a part of prompts, and when another gateway last saw a request with it run well, the
// zero time if that is not known.
func (s *Suspects) NotePart(f fingerprint.Fingerprint, ranAt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(f, now).notePart(ranAt, now)
}

// notePart is NotePart for a record.
func (r *record) notePart(ranAt, now time.Time) {
	r.Part = true
	if !ranAt.IsZero() {
		r.clear(ranAt, now)
	}
}

// Merge adds what another gateway knows of a cause, and returns the number of its ends before and
// after.
func (s *Suspects) Merge(o Suspect, now time.Time) (before, after int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Add(-o.Since)
	known := s.records[o.Print]
	if now.Sub(at) > s.Retention || known != nil && !o.Cleared && !at.After(known.RanAt) {
		return 0, 0
	}
	r := s.record(o.Print, now)
	before = s.ends(o.Print, r, now)
	if o.Part {
		r.notePart(o.ranAt(now), now)
	}
	switch {
	case o.Cleared:
		r.clear(at, now)
	case len(o.Ends) == 0:
		r.count, r.countUntil = o.Count, now.Add(countLifetime)
	default:
		s.add(r, at, o.Ends...)
	}
	if o.Recent {
		r.recentUntil = later(r.recentUntil, now.Add(recentTime))
	}
	return before, s.ends(o.Print, r, now)
}

// ranAt returns when a request with the cause last began an answer that ran well, the zero time if that is not known.
func (o Suspect) ranAt(now time.Time) time.Time {
	if o.Ran == 0 {
		return time.Time{}
	}
	return now.Add(-o.Ran)
}

// Keep makes the record of a cause, if there is one, one of those that this gateway tells the fleet of.
func (s *Suspects) Keep(f fingerprint.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[f]; r != nil {
		r.noted = true
	}
}

// add adds ends to a record, the last of which was at a time; s.mu is held.
func (s *Suspects) add(r *record, at time.Time, ends ...suspicion.End) {
	r.Suspicion = r.WithEnds(at, s.Retention, ends...)
	r.recentUntil = later(r.recentUntil, at.Add(recentTime))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// clear removes the ends of a cause, of which a request that began an answer at a time has run well, unless it is
// quarantined or an endpoint has ended since.
func (r *record) clear(at, now time.Time) {
	if r.quarantinedUntil.After(now) {
		return
	}
	if r.Suspicion = r.WithRun(at); len(r.Ends) == 0 {
		*r = record{Suspicion: r.Suspicion}
	}
}

// Arrived records that a request with a cause under which incarnations have ended has arrived again.
func (s *Suspects) Arrived(f fingerprint.Fingerprint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[f]; r != nil {
		r.recentUntil = now.Add(recentTime)
	}
}

// Ends returns the number of incarnations known to have ended under a cause, without those whose
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

// Suspected reports whether so many incarnations have ended under a cause that it is suspect.
func (s *Suspects) Suspected(f fingerprint.Fingerprint, now time.Time) bool {
	if s.size.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[f]
	return r != nil && s.suspected(f, r, now)
}

// suspected is Suspected for a record; s.mu is held.
func (s *Suspects) suspected(f fingerprint.Fingerprint, r *record, now time.Time) bool {
	n, threshold := s.ends(f, r, now), r.Threshold(now, s.Retention)
	if n >= threshold && s.proven(r, now) {
		n -= s.attributable(r, now)
	}
	return n >= threshold
}

// attributable returns the number of ends of a part with which requests ran well that are also ends of a suspect part with
// which none did: that one is the likelier cause, and will be tried; s.mu is held.
func (s *Suspects) attributable(r *record, now time.Time) int {
	lives := make(map[suspicion.Life]bool)
	for f, o := range s.records {
		if !o.Part || s.proven(o, now) || s.ends(f, o, now) < suspicion.From {
			continue
		}
		for _, e := range o.Ends {
			if _, shared := r.AgeAt(e.Life); shared {
				lives[e.Life] = true
			}
		}
	}
	return len(lives)
}

// Proven reports whether a cause is a part with which a request ran well, however many endpoints have ended since.
func (s *Suspects) Proven(f fingerprint.Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[f]
	return r != nil && s.proven(r, now)
}

// proven is Proven for a record.
func (s *Suspects) proven(r *record, now time.Time) bool {
	return r.Part && r.Suspicion.Proven(now, s.Retention)
}

// EndedUnder reports whether an incarnation is known to have ended under a cause.
func (s *Suspects) EndedUnder(f fingerprint.Fingerprint, l suspicion.Life) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[f]
	if r == nil {
		return false
	}
	_, ended := r.AgeAt(l)
	return ended
}

// Slowest returns the longest time for which an incarnation that has ended had a request with a cause.
func (s *Suspects) Slowest(f fingerprint.Fingerprint) time.Duration {
	if s.size.Load() == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[f]; r != nil {
		return r.Slowest()
	}
	return 0
}

// Shares reports whether an incarnation has ended at most age after it began to run a request with a suspect other
// than the given causes.
func (s *Suspects) Shares(causes []fingerprint.Fingerprint, l suspicion.Life, age time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, r := range s.records {
		if a, ended := r.AgeAt(l); ended && a < age && !slices.Contains(causes, other) && s.suspected(other, r, now) {
			return true
		}
	}
	return false
}

// SetQuarantine quarantines a cause until a given time, and reports whether this started a new
// quarantine. The given ends, and those recorded here, are due to it.
func (s *Suspects) SetQuarantine(f fingerprint.Fingerprint, now, until time.Time, ends ...suspicion.End) bool {
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
	s.add(r, now, ends...)
	if s.explained == nil {
		s.explained = make(map[suspicion.Life]explanation)
	}
	for l, e := range s.explained {
		if !e.until.After(now) {
			delete(s.explained, l)
		}
	}
	for _, e := range r.Ends {
		s.explained[e.Life] = explanation{by: f, until: r.quarantinedUntil}
	}
	return isNew
}

// QuarantineLeft returns the remaining quarantine of a cause at now, 0 if there is none.
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

// NoteRun records that a request with a part, which began its answer at a time, has run without crashing its endpoint.
func (s *Suspects) NoteRun(part fingerprint.Fingerprint, at time.Time) {
	s.ran.Note(part, at)
}

// LastRun returns when a request with a part that this gateway served last began an answer that ran well, the zero time
// if that is not known.
func (s *Suspects) LastRun(part fingerprint.Fingerprint) time.Time {
	return s.ran.Last(part)
}

// Clear removes the ends of a cause after a request with it, which began its answer at a time, has run without crashing
// its endpoint, and returns how many there were. It leaves those of a quarantined cause, and those of one under which
// an endpoint has ended since.
func (s *Suspects) Clear(f fingerprint.Fingerprint, at, now time.Time) int {
	if s.size.Load() == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[f]
	if r == nil || r.quarantinedUntil.After(now) || len(r.Ends) == 0 && r.count == 0 {
		return 0
	}
	ends := s.ends(f, r, now)
	if r.clear(at, now); len(r.Ends) > 0 {
		return 0
	}
	return ends
}

// Get returns what is known of a cause at now.
func (s *Suspects) Get(f fingerprint.Fingerprint, now time.Time) Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[f]; r != nil {
		return s.describe(f, r, now)
	}
	return Suspect{Print: f}
}

// describe returns what is known of a cause at now; s.mu is held.
func (s *Suspects) describe(f fingerprint.Fingerprint, r *record, now time.Time) Suspect {
	d := Suspect{Print: f, Part: r.Part, QuarantineLeft: max(r.quarantinedUntil.Sub(now), 0), Recent: r.recentUntil.After(now)}
	if r.Part && !r.RanAt.IsZero() {
		d.Ran = max(now.Sub(r.RanAt), time.Millisecond)
	}
	switch since := now.Sub(r.At); {
	case since <= s.Retention:
		d.Count, d.Ends, d.Since = len(r.Ends), slices.Clone(r.Ends), since
	case !r.RanAt.IsZero():
		d.Cleared, d.Since = true, now.Sub(r.RanAt)
	}
	return d
}

// List returns up to limit causes that are quarantined, have at least minEnds ends, or have just been
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
// those with more ends, parts of prompts before requests, or those that took less time to end them.
func (s *Suspects) Rank(f fingerprint.Fingerprint, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.records[f]
	if own == nil {
		return 0
	}
	rank := 0
	for other, r := range s.records {
		if other == f || r.quarantinedUntil.After(now) || !r.recentUntil.After(now) || !s.suspected(other, r, now) {
			continue
		}
		if cmp.Or(
			cmp.Compare(s.ends(other, r, now), s.ends(f, own, now)), cmp.Compare(boolInt(r.Part), boolInt(own.Part)),
			cmp.Compare(own.Slowest(), r.Slowest()), cmp.Compare(f, other),
		) > 0 {
			rank++
		}
	}
	return rank
}

// boolInt returns 1 for true, so that it compares as more than false.
func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ends returns the number of ends of a record that are not due to another cause; s.mu is held.
func (s *Suspects) ends(f fingerprint.Fingerprint, r *record, now time.Time) int {
	n := 0
	if now.Sub(r.At) <= s.Retention {
		for _, end := range r.Ends {
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

// record returns the record of a cause with the last good run, and creates it if necessary; s.mu is held.
func (s *Suspects) record(f fingerprint.Fingerprint, now time.Time) *record {
	r := s.records[f]
	if r == nil {
		if s.records == nil {
			s.records = make(map[fingerprint.Fingerprint]*record)
		}
		if len(s.records) >= maxRecords {
			s.evict(now)
		}
		r = new(record)
		s.records[f] = r
		s.size.Store(int64(len(s.records)))
	}
	if ranAt := s.ran.Last(f); !ranAt.IsZero() {
		r.notePart(ranAt, now)
	}
	return r
}

// evict drops the records that no longer count. If that does not free half of the space, it also
// drops the older half of the rest. It keeps quarantined causes; s.mu is held.
func (s *Suspects) evict(now time.Time) {
	var times []time.Time
	for f, r := range s.records {
		switch {
		case r.quarantinedUntil.After(now):
		case s.ends(f, r, now) == 0 && now.Sub(r.RanAt) > recentTime:
			delete(s.records, f)
		default:
			times = append(times, r.At)
		}
	}
	if len(s.records) < maxRecords/2 || len(times) == 0 {
		return
	}
	slices.SortFunc(times, time.Time.Compare)
	middle := times[len(times)/2]
	for f, r := range s.records {
		if !r.quarantinedUntil.After(now) && !r.At.After(middle) {
			delete(s.records, f)
		}
	}
}
