// Package suspects records the requests during which endpoints have ended, and quarantines
// requests.
//
// Note and AddReport record ends, by this gateway and as reported by others. SetQuarantine
// quarantines a request: it is not sent to endpoints until a given time. Clear removes a request
// that has completed.
package suspects

import (
	"cmp"
	"slices"
	"strconv"
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
)

// Incarnation is one incarnation of an endpoint, which may start again under the same ID.
type Incarnation struct {
	Endpoint string
	// Born is the start time that the endpoint reports, 0 if it reports none.
	Born int64
}

// String returns the incarnation as written in the logs.
func (l Incarnation) String() string {
	if l.Born == 0 {
		return l.Endpoint
	}
	return l.Endpoint + " born " + strconv.FormatInt(l.Born, 10)
}

// Begun is a request that an endpoint had just begun to run when it ended.
type Begun struct {
	Print fingerprint.Fingerprint
	// Tried is set if the request was already suspect and was tried in isolation from all other
	// suspects.
	Tried bool
}

// End is the end of an incarnation during a request.
type End struct {
	Incarnation
	// Tried is the value from Begun.
	Tried bool
}

// Suspect describes a suspect request.
type Suspect struct {
	Print fingerprint.Fingerprint
	// Ends is the number of incarnations that have ended during it.
	Ends int
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
	// recentUntil is the time until which an end or arrival of any suspect counts as recent, in
	// nanoseconds of Unix time. It spares Recent a search through the records: after a crash there
	// are many of them, and few are suspects.
	recentUntil atomic.Int64
	mu          sync.Mutex // guards what follows
	records     map[fingerprint.Fingerprint]*record
}

// record is the state of a request.
type record struct {
	// ends are the incarnations that have ended during the request, at is when one was last noted.
	ends []End
	at   time.Time
	// reported is the number of ends that another gateway reported, valid until reportedUntil.
	reported      int
	reportedUntil time.Time
	// recentUntil is the time until which an end or an arrival counts as recent.
	recentUntil time.Time
	// quarantinedUntil is the end of the quarantine.
	quarantinedUntil time.Time
}

// Note records that an incarnation ended during a request, and returns all ends of the request.
func (s *Suspects) Note(f fingerprint.Fingerprint, e End, now time.Time) []End {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(f, now)
	if now.Sub(r.at) > s.Retention {
		r.ends = nil
	}
	r.at = now
	r.recentUntil = now.Add(recentTime)
	known := slices.IndexFunc(r.ends, func(o End) bool { return o.Incarnation == e.Incarnation })
	switch {
	case known >= 0:
		r.ends[known].Tried = r.ends[known].Tried || e.Tried
	case len(r.ends) < maxEnds:
		r.ends = append(r.ends, e)
	}
	s.noteRecent(r, now)
	return slices.Clone(r.ends)
}

// noteRecent extends s.recentUntil to that of a record, if it belongs to a suspect; s.mu is held.
func (s *Suspects) noteRecent(r *record, now time.Time) {
	if until := r.recentUntil.UnixNano(); s.ends(r, now) >= s.SuspectFrom && until > s.recentUntil.Load() {
		s.recentUntil.Store(until)
	}
}

// Known returns the ends during a request that still count at now, as far as this gateway noted
// them itself.
func (s *Suspects) Known(f fingerprint.Fingerprint, now time.Time) []End {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[f]
	if r == nil || now.Sub(r.at) > s.Retention {
		return nil
	}
	return slices.Clone(r.ends)
}

// AddReport records a report of another gateway: the number of ends during a request, valid until
// a given time, and whether one of them is recent.
func (s *Suspects) AddReport(f fingerprint.Fingerprint, ends int, recent bool, now, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(f, now)
	r.reported, r.reportedUntil = ends, until
	if recent && r.recentUntil.Before(until) {
		r.recentUntil = until
	}
	s.noteRecent(r, now)
}

// Arrived records that a request during which incarnations have ended has arrived again.
func (s *Suspects) Arrived(f fingerprint.Fingerprint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[f]; r != nil {
		r.recentUntil = now.Add(recentTime)
		s.noteRecent(r, now)
	}
}

// Ends returns the number of incarnations known to have ended during a request, including reports
// of other gateways.
func (s *Suspects) Ends(f fingerprint.Fingerprint, now time.Time) int {
	if s.size.Load() == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[f]; r != nil {
		return s.ends(r, now)
	}
	return 0
}

// SetQuarantine quarantines a request until a given time, and reports whether this started a new
// quarantine.
func (s *Suspects) SetQuarantine(f fingerprint.Fingerprint, now, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(f, now)
	if r.quarantinedUntil.After(now) || !until.After(now) {
		return false
	}
	r.quarantinedUntil = until
	return true
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

// Clear removes the ends of a request that has completed, unless it is quarantined, and reports
// whether it was recorded.
func (s *Suspects) Clear(f fingerprint.Fingerprint, now time.Time) bool {
	if s.size.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[f]
	if r == nil || r.quarantinedUntil.After(now) {
		return false
	}
	delete(s.records, f)
	s.size.Store(int64(len(s.records)))
	return true
}

// List returns up to limit requests that are quarantined or have at least minEnds ends: first the
// quarantined ones, then those with the most ends. It ignores reports of other gateways.
func (s *Suspects) List(minEnds, limit int, now time.Time) []Suspect {
	if s.size.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Suspect
	for f, r := range s.records {
		one := Suspect{Print: f, QuarantineLeft: max(r.quarantinedUntil.Sub(now), 0), Recent: now.Sub(r.at) < recentTime}
		if now.Sub(r.at) <= s.Retention {
			one.Ends = len(r.ends) // own count only: gateways that echo each other's counts would keep them alive forever
		}
		if one.QuarantineLeft > 0 || one.Ends >= minEnds {
			list = append(list, one)
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.QuarantineLeft, a.QuarantineLeft), cmp.Compare(b.Ends, a.Ends), cmp.Compare(a.Print, b.Print))
	})
	return list[:min(len(list), limit)]
}

// ends returns the number of ends of a record; s.mu is held.
func (s *Suspects) ends(r *record, now time.Time) int {
	n := 0
	if now.Sub(r.at) <= s.Retention {
		n = len(r.ends)
	}
	if now.Before(r.reportedUntil) {
		n = max(n, r.reported)
	}
	return n
}

// Recent returns the suspects with a recent end or arrival that are not quarantined.
func (s *Suspects) Recent(now time.Time) []fingerprint.Fingerprint {
	if now.UnixNano() >= s.recentUntil.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []fingerprint.Fingerprint
	for f, r := range s.records {
		if !r.quarantinedUntil.After(now) && r.recentUntil.After(now) && s.ends(r, now) >= s.SuspectFrom {
			list = append(list, f)
		}
	}
	return list
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
		case s.ends(r, now) == 0:
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
