// Package firsts learns how long the first events of services take.
package firsts

import (
	"sync"
	"time"

	"github.com/grademill/grademill/decide/timeout"
)

// firstMargin is by how much longer than on average a first event is taken to come: four
// in five come sooner.
const firstMargin = 2

// Firsts learns how long the first events of each service take. The zero Firsts is ready
// to use.
type Firsts struct {
	mu        sync.Mutex
	byService map[string]timeout.Estimator
}

// Note notes that a first event came so long after its request was sent.
func (f *Firsts) Note(service string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byService == nil {
		f.byService = make(map[string]timeout.Estimator)
	}
	f.byService[service] = f.byService[service].WithSample(took)
}

// Usual returns how long a first event is taken to take, 0 until there has been one.
func (f *Firsts) Usual(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return firstMargin * f.byService[service].Mean()
}
