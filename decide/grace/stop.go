// Package grace decides which requests a process still takes while it stops.
package grace

import "time"

// answerMargin is the time from the deadline of a request until its response has been written.
const answerMargin = 250 * time.Millisecond

// Stop is a planned stop. The zero Stop is none, under which everything is taken.
type Stop struct {
	// Open is until when callers may not know of the stop, so that all their requests are taken.
	Open time.Time
	// End is when the process ends, whatever it still serves.
	End time.Time
}

// Takes reports whether a request that has been read at now, and whose response ends by its deadline, is taken. After
// Open, one that might be cut by the end is not: its caller can still send it elsewhere.
func (s Stop) Takes(now, deadline time.Time) bool {
	return s.End.IsZero() || now.Before(s.Open) || deadline.Add(answerMargin).Before(s.End)
}
