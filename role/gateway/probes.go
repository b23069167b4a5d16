package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/grademill/grademill/adapter/cputime"
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
	// probeSpans is how often a process that is held up waits for so long before it
	// gives up.
	probeSpans = 4
	// busyShare is the part of a processor from which on a process counts as held
	// up: the users' hosts have from 0.14 of one, and a calm gateway uses 0.03.
	busyShare = 0.1
	// lateTimers is by how much the timers of a span may fire late in all. In a calm
	// gateway it is 2 ms, in one that takes in a large configuration 3 to 7 ms, in one
	// that gets a fifth of its processor 27 ms and more.
	lateTimers = 2500 * time.Microsecond
	// veryLateTimers is that from which on even a busy process has no say.
	veryLateTimers = 8 * time.Millisecond
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
// answer is old. The error is errHeldUp when nothing can be said of the endpoint.
func (p *probes) ask(ctx context.Context, control runner.Control, address string) (runner.Report, error) {
	one := p.of(address)
	one.mu.Lock()
	defer one.mu.Unlock()
	if time.Since(one.at) < probeFresh {
		return one.report, one.err
	}
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	answered := make(chan struct{})
	defer close(answered)
	go func() {
		if err := silence(answered); err != nil {
			cancel(err)
		}
	}()
	one.report, one.err = control.Report(ctx, address)
	one.at = time.Now()
	return one.report, one.err
}

// silence returns why a question is given up, or nil once it has been answered: that
// a span has passed without an answer, in which this process had little to do and
// its timers fired on time. In a process that is held up the answer may lie unread;
// one that is busy all the time judges by its timers alone.
func silence(answered <-chan struct{}) error {
	var late time.Duration
	busy := 0.0
	for range probeSpans {
		begun, used := time.Now(), cputime.Used()
		if waited(answered, probeWait) || waited(answered, probeTurn) {
			return nil
		}
		took := time.Since(begun)
		late = took - probeWait - probeTurn
		busy = float64(cputime.Used()-used) / float64(took)
		if late <= lateTimers && busy <= busyShare {
			return &silentError{busy: busy}
		}
	}
	if late <= veryLateTimers {
		return &silentError{busy: busy}
	}
	return errHeldUp
}

// waited waits for an answer, and reports whether it has come.
func waited(answered <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-answered:
		return true
	case <-timer.C:
		return false
	}
}

// silentError is a question that got no answer in time.
type silentError struct {
	// busy is the part of a processor that this process used meanwhile.
	busy float64
}

// Error says so.
func (e *silentError) Error() string {
	return fmt.Sprintf("no answer in time, while this process used %.3f of a processor", e.busy)
}

// errHeldUp is a question without an answer, of a process that was held up itself.
var errHeldUp = errors.New("this process was held up, and cannot tell whether there is an answer")

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
