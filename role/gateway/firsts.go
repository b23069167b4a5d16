package gateway

import (
	"sync"
	"time"

	"github.com/grademill/grademill/decide/timeout"
)

// firstMargin is by how much longer than on average a first event is taken to come: four
// in five come sooner.
const firstMargin = 2

// firsts learns how long the first events of each service take. The zero firsts is ready
// to use.
type firsts struct {
	mu        sync.Mutex
	byService map[string]timeout.Estimator
}

// note notes that a first event came so long after its request was sent.
func (f *firsts) note(service string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byService == nil {
		f.byService = make(map[string]timeout.Estimator)
	}
	f.byService[service] = f.byService[service].WithSample(took)
}

// usual returns how long a first event is taken to take, 0 until there has been one.
func (f *firsts) usual(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return firstMargin * f.byService[service].Mean()
}
