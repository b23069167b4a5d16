// Package suspects keeps the requests under which endpoints have ended, and those that are
// kept from endpoints for that.
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
	// maxKept bounds the requests that are kept, some 200 bytes each. A fleet that loses 500
	// endpoints at once, each with 20 requests that it had just begun, has 10,000, and each
	// gateway keeps count of a part of them.
	maxKept = 4096
	// recentTime is how long an end counts as recent: its request is tried again at once, or
	// when its caller comes back.
	recentTime = 5 * time.Second
	// maxEnds bounds the ends that are kept for a request: more decide nothing.
	maxEnds = 8
)

// Life is one life of an endpoint: it may start again under the same ID.
type Life struct {
	Endpoint string
	// Born is when it started, as it says, 0 when it does not.
	Born int64
}

// String returns the life as the logs write it.
func (l Life) String() string {
	if l.Born == 0 {
		return l.Endpoint
	}
	return l.Endpoint + " born " + strconv.FormatInt(l.Born, 10)
}

// Begun is a request that an endpoint had just begun to run when it ended.
type Begun struct {
	Print fingerprint.Fingerprint
	// Tried is set when the request was suspected already, and tried apart from all others that
	// were.
	Tried bool
}

// End is the end of a life under a request.
type End struct {
	Life
	// Tried is that of Begun.
	Tried bool
}

// Suspect is what is known of a request.
type Suspect struct {
	Print fingerprint.Fingerprint
	// Ends is the number of lives that have ended under it.
	Ends int
	// Left is how much longer it is kept from endpoints, 0 while it is not.
	Left time.Duration
	// Recent is set while the last end, or arrival, is recent.
	Recent bool
}

// Suspects are the requests under which endpoints have ended. Set the exported field before
// the first use.
type Suspects struct {
	// Lasts is how long an end counts, after the last one under the same request.
	Lasts time.Duration
	// SuspectFrom is the number of ends from which a request is a suspect.
	SuspectFrom int

	// size is the number of requests in kept: most gateways keep none most of the time, and
	// each request looks.
	size atomic.Int64
	// recentUntil is until when an end or arrival of any suspect counts as recent, in nanoseconds
	// of Unix time: after a crash many requests are kept, and few of them are suspects.
	recentUntil atomic.Int64
	mu          sync.Mutex // guards what follows
	kept        map[fingerprint.Fingerprint]*record
}

// record is what is kept of a request.
type record struct {
	// ends are those of the lives that have ended under it, at is when one was last noted.
	ends []End
	at   time.Time
	// told is the number of ends that another gateway tells of, until toldUntil.
	told      int
	toldUntil time.Time
	// recentUntil is until when an end, or an arrival, counts as recent.
	recentUntil time.Time
	// barredUntil is until when it is kept from endpoints.
	barredUntil time.Time
}

// Note notes at now that a life has ended under a request, and returns all that have.
func (s *Suspects) Note(f fingerprint.Fingerprint, e End, now time.Time) []End {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(f, now)
	if now.Sub(r.at) > s.Lasts {
		r.ends = nil
	}
	r.at = now
	r.recentUntil = now.Add(recentTime)
	known := slices.IndexFunc(r.ends, func(o End) bool { return o.Life == e.Life })
	switch {
	case known >= 0:
		r.ends[known].Tried = r.ends[known].Tried || e.Tried
	case len(r.ends) < maxEnds:
		r.ends = append(r.ends, e)
	}
	s.noteRecent(r, now)
	return slices.Clone(r.ends)
}

// noteRecent notes until when a record is recent, if it is that of a suspect; s.mu is held.
func (s *Suspects) noteRecent(r *record, now time.Time) {
	if until := r.recentUntil.UnixNano(); s.ends(r, now) >= s.SuspectFrom && until > s.recentUntil.Load() {
		s.recentUntil.Store(until)
	}
}

// Known returns the ends under a request, as far as they count at now.
func (s *Suspects) Known(f fingerprint.Fingerprint, now time.Time) []End {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.kept[f]
	if r == nil || now.Sub(r.at) > s.Lasts {
		return nil
	}
	return slices.Clone(r.ends)
}

// Hear takes in the word of another gateway on the number of ends under a request, which
// counts until a time, and on whether one of them is recent.
func (s *Suspects) Hear(f fingerprint.Fingerprint, ends int, recent bool, now, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(f, now)
	r.told, r.toldUntil = ends, until
	if recent && r.recentUntil.Before(until) {
		r.recentUntil = until
	}
	s.noteRecent(r, now)
}

// Arrived notes that a request under which lives have ended has come again.
func (s *Suspects) Arrived(f fingerprint.Fingerprint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.kept[f]; r != nil {
		r.recentUntil = now.Add(recentTime)
		s.noteRecent(r, now)
	}
}

// Ends returns the number of lives that have ended under a request, as far as is known at now.
func (s *Suspects) Ends(f fingerprint.Fingerprint, now time.Time) int {
	if s.size.Load() == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.kept[f]; r != nil {
		return s.ends(r, now)
	}
	return 0
}

// Bar has a request kept from endpoints until a time, and reports whether it was not at now.
func (s *Suspects) Bar(f fingerprint.Fingerprint, now, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(f, now)
	if r.barredUntil.After(now) || !until.After(now) {
		return false
	}
	r.barredUntil = until
	return true
}

// Barred returns how much longer a request is kept from endpoints at now, 0 when it is not.
func (s *Suspects) Barred(f fingerprint.Fingerprint, now time.Time) time.Duration {
	if s.size.Load() == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.kept[f]; r != nil {
		return max(r.barredUntil.Sub(now), 0)
	}
	return 0
}

// Clear forgets the ends under a request that has run to its end, unless it is kept from
// endpoints, and reports whether there were any.
func (s *Suspects) Clear(f fingerprint.Fingerprint, now time.Time) bool {
	if s.size.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.kept[f]
	if r == nil || r.barredUntil.After(now) {
		return false
	}
	delete(s.kept, f)
	s.size.Store(int64(len(s.kept)))
	return true
}

// List returns up to most requests with so many ends at least at now: those that are kept
// from endpoints first, and then those with the most ends.
func (s *Suspects) List(least, most int, now time.Time) []Suspect {
	if s.size.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Suspect
	for f, r := range s.kept {
		one := Suspect{Print: f, Left: max(r.barredUntil.Sub(now), 0), Recent: now.Sub(r.at) < recentTime}
		if now.Sub(r.at) <= s.Lasts {
			one.Ends = len(r.ends) // its own count: an echo of the others' would never end
		}
		if one.Left > 0 || one.Ends >= least {
			list = append(list, one)
		}
	}
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(b.Ends, a.Ends), cmp.Compare(a.Print, b.Print))
	})
	return list[:min(len(list), most)]
}

// ends returns the number of ends of a record; s.mu is held.
func (s *Suspects) ends(r *record, now time.Time) int {
	n := 0
	if now.Sub(r.at) <= s.Lasts {
		n = len(r.ends)
	}
	if now.Before(r.toldUntil) {
		n = max(n, r.told)
	}
	return n
}

// Recent returns the suspects of which an end or an arrival is recent at now, and that are not
// kept from endpoints.
func (s *Suspects) Recent(now time.Time) []fingerprint.Fingerprint {
	if now.UnixNano() >= s.recentUntil.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []fingerprint.Fingerprint
	for f, r := range s.kept {
		if !r.barredUntil.After(now) && r.recentUntil.After(now) && s.ends(r, now) >= s.SuspectFrom {
			list = append(list, f)
		}
	}
	return list
}

// record returns the record of a request, a new one if there is none; s.mu is held.
func (s *Suspects) record(f fingerprint.Fingerprint, now time.Time) *record {
	if r := s.kept[f]; r != nil {
		return r
	}
	if s.kept == nil {
		s.kept = make(map[fingerprint.Fingerprint]*record)
	}
	if len(s.kept) >= maxKept {
		s.makeRoom(now)
	}
	r := new(record)
	s.kept[f] = r
	s.size.Store(int64(len(s.kept)))
	return r
}

// makeRoom drops what no longer counts, or else the half of the rest that was noted the
// longest ago, but nothing that is kept from endpoints; s.mu is held.
func (s *Suspects) makeRoom(now time.Time) {
	var times []time.Time
	for f, r := range s.kept {
		switch {
		case r.barredUntil.After(now):
		case s.ends(r, now) == 0:
			delete(s.kept, f)
		default:
			times = append(times, r.at)
		}
	}
	if len(s.kept) < maxKept/2 || len(times) == 0 {
		return
	}
	slices.SortFunc(times, time.Time.Compare)
	middle := times[len(times)/2]
	for f, r := range s.kept {
		if !r.barredUntil.After(now) && !r.at.After(middle) {
			delete(s.kept, f)
		}
	}
}
