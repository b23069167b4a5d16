package main

import (
	"time"

	"github.com/grademill/grademill/decide/outcome"
)

// outcomeName returns the name of the outcome of a request, or "lost" if its entry was
// killed.
func outcomeName(r result) string {
	report, ok := outcome.Of(r.err)
	if !ok {
		return outcome.Done.String()
	}
	if report.Code == outcome.CallerGone {
		return "lost"
	}
	return report.Kind.String()
}

// repeatedPositions returns the number of prompt positions that were run again along other
// chains, each counted once per chain.
func (t *trial) repeatedPositions() int {
	n := 0
	for _, r := range t.results {
		if r.attempts > 1 {
			// The new chain also reads the tokens delivered so far, which are not counted.
			n += (r.attempts - 1) * t.site.prompt
		}
	}
	return n
}

// recoveryWindow is the period over which recoveryTime averages the throughput,
// recoveryStep the distance between the starts of two consecutive periods.
const (
	recoveryWindow = time.Second
	recoveryStep   = 50 * time.Millisecond
)

// recoveryTime returns the time from at until the throughput over the next second is
// within 5% of that at the end of the run, or recoveryAfter if it never is.
func (t *trial) recoveryTime(at time.Time) time.Duration {
	end := at.Add(recoveryAfter)
	level := t.rate(end.Add(-2*recoveryWindow), end)
	for from := at; from.Add(recoveryWindow).Before(end); from = from.Add(recoveryStep) {
		if t.rate(from, from.Add(recoveryWindow)) >= 0.95*level {
			return from.Sub(at)
		}
	}
	return recoveryAfter
}
