// Package streams learns how long the streams of services take.
package streams

import (
	"time"

	"github.com/grademill/grademill/decide/timeout"
	"github.com/grademill/grademill/state/byname"
)

// firstMargin is by how much longer than on average a first event is taken to come: four
// in five come sooner.
const firstMargin = 2

// Times learns how long the first events of each service take, and how long its streams
// last. The zero Times is ready to use. It is safe for concurrent use.
type Times struct {
	first, whole byname.Map[timeout.Estimator]
}

// NoteFirst notes that a first event came so long after its request was sent.
func (t *Times) NoteFirst(service string, took time.Duration) {
	t.first.Update(service, func(e timeout.Estimator) timeout.Estimator { return e.WithSample(took) })
}

// NoteWhole notes that a stream ended so long after its request was sent.
func (t *Times) NoteWhole(service string, took time.Duration) {
	t.whole.Update(service, func(e timeout.Estimator) timeout.Estimator { return e.WithSample(took) })
}

// First returns how long a first event is taken to take, 0 until there has been one.
func (t *Times) First(service string) time.Duration {
	return firstMargin * t.first.Get(service).Mean()
}

// Lasts returns how long streams last on average, 0 until one has ended.
func (t *Times) Lasts(service string) time.Duration {
	return t.whole.Get(service).Mean()
}
