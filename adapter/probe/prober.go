// Package probe checks whether endpoints are alive, and tells a silent endpoint from a process
// that is too starved of processor time to notice the answer. Call Query or QuerySince on a
// Prober when a stream from an endpoint stalls or breaks.
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

// reportLifetime is how long one report is shared among all streams that ask: a broken chain
// stops many streams at once.
const reportLifetime = 60 * time.Millisecond

// Prober asks endpoints for reports and shares them among the streams that ask at about the
// same time. Set the exported fields before the first use.
type Prober struct {
	// Control sends the request for a report.
	Control runner.Control
	// AwaitAnswer returns the reason to give up a request, or nil once answered is closed. If
	// nil, the function AwaitAnswer of this package is used.
	AwaitAnswer func(answered <-chan struct{}) error
	// Reference returns the address of another live endpoint, empty for none. It is asked
	// when an endpoint seems silent: if it does not answer in time either, the network path
	// is taken to be congested.
	Reference func(address string) string

	mu   sync.Mutex
	last map[string]*probe
}

// probe is the last report of an endpoint. Its mutex is held while the endpoint is asked.
type probe struct {
	mu sync.Mutex
	// begun is when the request was sent, at when it was answered or given up.
	begun, at time.Time
	report    runner.Report
	err       error
}

// Query returns the report of the endpoint at address; it asks the endpoint unless a recent
// report is known. The error is ErrUncertain if it is uncertain whether the endpoint is alive.
func (p *Prober) Query(ctx context.Context, address string) (runner.Report, error) {
	return p.QuerySince(ctx, address, time.Time{})
}

// QuerySince is like Query, but does not use the answer to a request sent before since, which
// cannot show what has happened up to then.
func (p *Prober) QuerySince(ctx context.Context, address string, since time.Time) (runner.Report, error) {
	last := p.probeOf(address)
	last.mu.Lock()
	defer last.mu.Unlock()
	if time.Since(last.at) < reportLifetime && !last.begun.Before(since) {
		return last.report, last.err
	}
	last.begun = time.Now()
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	answered := make(chan struct{})
	defer close(answered)
	awaitAnswer := p.AwaitAnswer
	if awaitAnswer == nil {
		awaitAnswer = AwaitAnswer
	}
	go func() {
		err := awaitAnswer(answered)
		if err != nil && !errors.Is(err, ErrUncertain) {
			err = p.compare(ctx, address, err, answered)
		}
		if err != nil {
			cancel(err)
		}
	}()
	last.report, last.err = p.Control.Report(ctx, address)
	if last.err != nil {
		last.err = noAnswerReason(ctx, last.err)
	}
	last.at = time.Now()
	return last.report, last.err
}

// compare returns the reason to give up an endpoint that seems silent, or nil once it has
// answered. The endpoint was asked before the reference, so if the path was merely
// congested, the endpoint's answer arrives first.
func (p *Prober) compare(ctx context.Context, address string, silent error, answered <-chan struct{}) error {
	if p.Reference == nil {
		return silent
	}
	reference := p.Reference(address)
	if reference == "" {
		return silent
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout+readGrace)
	defer cancel()
	var refused *runner.RefusedError
	if _, err := p.Control.Report(ctx, reference); err != nil && !errors.As(err, &refused) {
		return ErrUncertain
	}
	if answeredWithin(answered, readGrace) {
		return nil
	}
	return silent
}

// noAnswerReason returns the reason why a request has no answer. The client's error hides the
// context's cause if the client's own timeout has passed, too. That timeout is longer than
// AwaitAnswer takes, so a process that reaches it first was starved of processor time. Without
// this, a starved process took ten endpoints for silent and broke off 18 streams at once.
func noAnswerReason(ctx context.Context, err error) error {
	var late interface{ Timeout() bool }
	switch cause := context.Cause(ctx); {
	case errors.Is(err, syscall.ECONNREFUSED):
		return err
	case cause != nil:
		return fmt.Errorf("%w: %w", cause, err)
	case errors.As(err, &late) && late.Timeout():
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	return err
}

// probeOf returns the probe of an address and creates it if necessary.
func (p *Prober) probeOf(address string) *probe {
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
