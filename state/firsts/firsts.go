// Package firsts learns how long the first events of services take.
package firsts

import (
	"time"

	"github.com/grademill/grademill/decide/timeout"
	"github.com/grademill/grademill/state/byname"
)

// firstMargin is by how much longer than on average a first event is taken to come: four
// in five come sooner.
const firstMargin = 2

// Firsts learns how long the first events of each service take. The zero Firsts is ready
// to use. It is safe for concurrent use.
type Firsts struct {
	byService byname.Map[timeout.Estimator]
}

// Note notes that a first event came so long after its request was sent.
func (f *Firsts) Note(service string, took time.Duration) {
	f.byService.Update(service, func(e timeout.Estimator) timeout.Estimator { return e.WithSample(took) })
}

// Usual returns how long a first event is taken to take, 0 until there has been one.
func (f *Firsts) Usual(service string) time.Duration {
	return firstMargin * f.byService.Get(service).Mean()
}
