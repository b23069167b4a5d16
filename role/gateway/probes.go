package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/grademill/grademill/port/runner"
)

// The figures of asking an endpoint for its report.
const (
	// probeWait bounds one question: an endpoint answers within a few milliseconds,
	// and a stream that waits for the answer may pause for 200 ms in all.
	probeWait = 60 * time.Millisecond
	// probeTurn is the time for answers that have come while this process was held
	// up: some hosts get their processor in slices of a tenth of a second.
	probeTurn = 10 * time.Millisecond
	// probeFresh is how long an answer serves all who ask: a chain that breaks
	// stops many streams at once.
	probeFresh = 60 * time.Millisecond
)

// probes shares the reports of endpoints among the streams that ask for them.
// The zero probes is ready to use.
type probes struct {
	mu   sync.Mutex
	last map[string]*probe
}

// probe is the last report of an endpoint. Its mutex is held while the endpoint
// is asked.
type probe struct {
	mu     sync.Mutex
	at     time.Time
	report runner.Report
	err    error
}

// ask returns the report of the endpoint at an address, asking it when the last
// answer is old. An error after probeWait means that no answer has come, and not
// that this process had no time to read it.
func (p *probes) ask(ctx context.Context, control runner.Control, address string) (runner.Report, error) {
	one := p.of(address)
	one.mu.Lock()
	defer one.mu.Unlock()
	if time.Since(one.at) < probeFresh {
		return one.report, one.err
	}
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	patience := time.AfterFunc(probeWait, func() {
		time.Sleep(probeTurn) // what has come meanwhile is read first
		cancel(errSilent)
	})
	defer patience.Stop()
	one.report, one.err = control.Report(ctx, address)
	one.at = time.Now()
	return one.report, one.err
}

// errSilent ends a question that got no answer in time.
var errSilent = errors.New("no answer in time")

// of returns the probe of an address.
func (p *probes) of(address string) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		p.last = make(map[string]*probe)
	}
	if p.last[address] == nil {
		p.last[address] = new(probe)
	}
	return p.last[address]
}

// forget drops the probe of an address whose endpoint has gone.
func (p *probes) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.last, address)
}
