// Package probe asks endpoints whether they live, and tells one that is silent from a
// process that has no time to listen.
package probe

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/grademill/grademill/port/runner"
)

// fresh is how long an answer serves all who ask: a chain that breaks stops
// many streams at once.
const fresh = 60 * time.Millisecond

// Prober shares the reports of endpoints among the streams that ask for them. Set the
// exported fields before the first use.
type Prober struct {
	// Control asks an endpoint.
	Control runner.Control
	// Silence returns why a question is given up, or nil once answered is closed; nil for
	// Silence of this package.
	Silence func(answered <-chan struct{}) error
	// Reference returns the address of another endpoint that lives, empty for none. One that
	// seems silent is compared with it: where neither answers in time, the way there is choked.
	Reference func(address string) string

	mu   sync.Mutex
	last map[string]*probe
}

// probe is the last report of an endpoint. Its mutex is held while the endpoint
// is asked.
type probe struct {
	mu sync.Mutex
	// begun is when the question was asked, at when it was answered.
	begun, at time.Time
	report    runner.Report
	err       error
}

// Ask returns the report of the endpoint at an address, asking it when the last
// answer is old. The error is ErrHeldUp when nothing can be said of the endpoint.
func (p *Prober) Ask(ctx context.Context, address string) (runner.Report, error) {
	return p.AskSince(ctx, address, time.Time{})
}

// AskSince does the same, and takes no answer to a question that was asked before a time: what has
// happened by then shows in none.
func (p *Prober) AskSince(ctx context.Context, address string, since time.Time) (runner.Report, error) {
	one := p.of(address)
	one.mu.Lock()
	defer one.mu.Unlock()
	if time.Since(one.at) < fresh && !one.begun.Before(since) {
		return one.report, one.err
	}
	one.begun = time.Now()
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	answered := make(chan struct{})
	defer close(answered)
	silence := p.Silence
	if silence == nil {
		silence = Silence
	}
	go func() {
		err := silence(answered)
		if err != nil && !errors.Is(err, ErrHeldUp) {
			err = p.compare(ctx, address, err, answered)
		}
		if err != nil {
			cancel(err)
		}
	}()
	one.report, one.err = p.Control.Report(ctx, address)
	if one.err != nil {
		one.err = unanswered(ctx, one.err)
	}
	one.at = time.Now()
	return one.report, one.err
}

// compare returns why an endpoint that seems silent is given up, or nil once it has answered: its
// question went out before that of the reference, so that a way that was choked brings its answer
// first.
func (p *Prober) compare(ctx context.Context, address string, silent error, answered <-chan struct{}) error {
	if p.Reference == nil {
		return silent
	}
	reference := p.Reference(address)
	if reference == "" {
		return silent
	}
	ctx, cancel := context.WithTimeout(ctx, silentWait+silentTurn)
	defer cancel()
	var refused *runner.RefusedError
	if _, err := p.Control.Report(ctx, reference); err != nil && !errors.As(err, &refused) {
		return ErrHeldUp
	}
	if waited(answered, silentTurn) {
		return nil
	}
	return silent
}

// unanswered returns why a question has no answer, whatever of that the client's error kept: it
// hides the reason when its own bound has passed, too. That is longer than the judgement of the
// silence takes, so that a process that reaches it first was held up. 18 streams were broken off
// at once where this was taken for the silence of ten endpoints.
func unanswered(ctx context.Context, err error) error {
	var late interface{ Timeout() bool }
	switch cause := context.Cause(ctx); {
	case errors.Is(err, syscall.ECONNREFUSED):
		return err
	case cause != nil:
		return fmt.Errorf("%w: %w", cause, err)
	case errors.As(err, &late) && late.Timeout():
		return fmt.Errorf("%w: %w", ErrHeldUp, err)
	}
	return err
}

// of returns the probe of an address.
func (p *Prober) of(address string) *probe {
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

// Forget drops the report of an address whose endpoint has gone.
func (p *Prober) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.last, address)
}
