package main

import (
	"time"

	"github.com/grademill/grademill/outcome"
)

// endOf names the end of a request; a request whose entry was killed is lost.
func endOf(r result) string {
	report, ok := outcome.Of(r.err)
	if !ok {
		return outcome.Done.String()
	}
	if report.Code == outcome.CallerGone {
		return "lost"
	}
	return report.Kind.String()
}

// repeated returns the positions that were run again along other chains, each
// counted once for a whole chain.
func (t *trial) repeated() int {
	n := 0
	for _, r := range t.results {
		if r.attempts > 1 {
			// The new chain reads the prompt and what was given so far.
			n += (r.attempts - 1) * t.site.prompt
		}
	}
	return n
}

// bin is the resolution of throughput over time.
const bin = 250 * time.Millisecond

// backWithin returns the time from at until the throughput stays within 5% of
// its mean in the last second.
func (t *trial) backWithin(at time.Time) time.Duration {
	end := at.Add(recoveryAfter)
	level := t.rate(end.Add(-time.Second), end)
	back := time.Duration(0)
	for from := at; from.Add(bin).Before(end); from = from.Add(bin) {
		if t.rate(from, from.Add(bin)) < 0.95*level {
			back = from.Add(bin).Sub(at)
		}
	}
	return back
}
