// Package suspicion weighs what is known for and against a possible cause of the ends of endpoints: the
// endpoints that have ended under requests with it, and requests with it that have run well.
package suspicion

import (
	"slices"
	"time"
)

const (
	// From is the number of ends that makes a cause suspect. A part that has run well before is in many
	// prompts, and so in many ends that are due to others: only provenFrom ends in a row make it suspect.
	From       = 2
	provenFrom = 4
	// maxEnds bounds the recorded ends of a cause; further ones change no decision.
	maxEnds = 8
)

// End is the end of an incarnation under a cause.
type End struct {
	Life Life
	// Age is how long the endpoint had the request with the cause: one that crashes endpoints does so soon.
	Age time.Duration
}

// Suspicion is what is known of one cause. The zero Suspicion is that of a cause of which nothing is known. It is
// immutable.
type Suspicion struct {
	// Ends are the ends since a request with the cause last ran well, each incarnation once, at most maxEnds.
	Ends []End
	// At is when the last end was, zero if there was none.
	At time.Time
	// RanAt is when a request with the cause last began an answer without crashing its endpoint, zero if that
	// is not known. No end in Ends is from before.
	RanAt time.Time
	// Part is set if the cause is a part of prompts, and not one request.
	Part bool
}

// WithEnds returns s with ends, the last of which was at a time. Ends from before a request ran well do not count, nor
// do those that are older than retention when another one is added.
func (s Suspicion) WithEnds(at time.Time, retention time.Duration, ends ...End) Suspicion {
	if !at.After(s.RanAt) {
		return s
	}
	if at.Sub(s.At) > retention {
		s.Ends = nil
	}
	s.At = later(s.At, at)
	s.Ends = slices.Clone(s.Ends)
	for _, e := range ends {
		switch i := s.index(e.Life); {
		case i >= 0:
			s.Ends[i].Age = min(s.Ends[i].Age, e.Age)
		case len(s.Ends) < maxEnds:
			s.Ends = append(s.Ends, e)
		}
	}
	return s
}

// WithRun returns s after a request with the cause that began an answer at a time ran well. A cause that crashes
// endpoints crashes each, so that this refutes the ends before.
func (s Suspicion) WithRun(at time.Time) Suspicion {
	s.RanAt = later(s.RanAt, at)
	if !s.At.After(s.RanAt) {
		s.Ends, s.At = nil, time.Time{}
	}
	return s
}

// Proven reports whether a request with the cause ran well at most retention before now.
func (s Suspicion) Proven(now time.Time, retention time.Duration) bool {
	return !s.RanAt.IsZero() && now.Sub(s.RanAt) <= retention
}

// Threshold returns the number of ends from which on the cause is suspect.
func (s Suspicion) Threshold(now time.Time, retention time.Duration) int {
	if s.Part && s.Proven(now, retention) {
		return provenFrom
	}
	return From
}

// AgeAt returns how long an incarnation had a request with the cause when it ended, and whether it ended under one.
func (s Suspicion) AgeAt(l Life) (time.Duration, bool) {
	if i := s.index(l); i >= 0 {
		return s.Ends[i].Age, true
	}
	return 0, false
}

// Slowest returns the longest time for which an incarnation that has ended had a request with the cause.
func (s Suspicion) Slowest() time.Duration {
	age := time.Duration(0)
	for _, e := range s.Ends {
		age = max(age, e.Age)
	}
	return age
}

// index returns the index of the end of an incarnation, -1 if there is none.
func (s Suspicion) index(l Life) int {
	return slices.IndexFunc(s.Ends, func(e End) bool { return e.Life == l })
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
