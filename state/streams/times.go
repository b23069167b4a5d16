// Package streams estimates how long the streams of each service take.
package streams

import (
	"time"

	"github.com/grademill/grademill/decide/timeout"
	"github.com/grademill/grademill/state/byname"
)

// firstMargin is the factor by which ExpectedFirst exceeds the average time to a first event: four
// in five first events arrive sooner than ExpectedFirst.
const firstMargin = 2

// Times estimates the time to the first event and the duration of the streams of each service. The
// zero Times is ready to use. It is safe for concurrent use.
type Times struct {
	first, total byname.Map[timeout.Estimator]
}

// NoteFirst records the time from sending a request to its first event.
func (t *Times) NoteFirst(service string, took time.Duration) {
	t.first.Update(service, func(e timeout.Estimator) timeout.Estimator { return e.WithSample(took) })
}

// NoteDuration records the time from sending a request to the end of its stream.
func (t *Times) NoteDuration(service string, took time.Duration) {
	t.total.Update(service, func(e timeout.Estimator) timeout.Estimator { return e.WithSample(took) })
}

// ExpectedFirst returns the expected time to the first event, 0 if no event has arrived yet.
func (t *Times) ExpectedFirst(service string) time.Duration {
	return firstMargin * t.first.Get(service).Mean()
}

// RequestDuration returns the average duration of a stream, 0 if none has ended yet.
func (t *Times) RequestDuration(service string) time.Duration {
	return t.total.Get(service).Mean()
}
