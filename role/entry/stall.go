package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/grademill/grademill/decide/progress"
	"github.com/grademill/grademill/decide/timeout"
	"github.com/grademill/grademill/wire"
)

// patience returns how long the flight may make no progress.
func (f *flight) patience() time.Duration {
	f.entry.mu.Lock()
	defer f.entry.mu.Unlock()
	learned := f.entry.learnedStalls(f.request.Service)
	if f.awaitsFirst() {
		return learned.first.Value()
	}
	return learned.between.Value()
}

// awaitsFirst reports whether the attempt has not given a token yet: it may be
// reading a long text.
func (f *flight) awaitsFirst() bool {
	return f.seat == nil || !f.seat.flowing
}

// learnedStalls returns the learned times of a service; e.mu is held.
func (e *Entry) learnedStalls(service string) stalls {
	learned, ok := e.stalls[service]
	if !ok {
		fresh := timeout.Estimator{Min: e.MinStall, Max: e.MaxStall}
		learned = stalls{first: fresh, between: fresh}
	}
	return learned
}

// learn takes in the time that the token which has come took.
func (f *flight) learn(first bool) {
	now := time.Now()
	took := now.Sub(f.moved)
	f.moved = now
	f.entry.Meter.Token(f.request.Team, f.request.Service, first, took)
	f.entry.mu.Lock()
	defer f.entry.mu.Unlock()
	learned := f.entry.learnedStalls(f.request.Service)
	if f.awaitsFirst() {
		learned.first = learned.first.WithSample(took)
	} else {
		learned.between = learned.between.WithSample(took)
	}
	f.entry.stalls[f.request.Service] = learned
	f.seat.flowing = true
}

// probeTimeout is how long an agent may take to answer a probe.
const probeTimeout = 250 * time.Millisecond

// confirmAfter is the time between two rounds of probes.
const confirmAfter = 50 * time.Millisecond

// stalled finds out why no token has come. A chain that is merely slow gets more
// time.
func (f *flight) stalled(ctx context.Context) error {
	former, silent := f.probe(ctx)
	if silent >= 0 {
		f.ran = true
		f.entry.suspect(f.seat.stages[silent].Endpoint.Name, "does not answer a probe")
		return f.again(ctx, "a stage does not answer")
	}
	time.Sleep(confirmAfter)
	latest, silent := f.probe(ctx)
	culprit, lost := progress.Lost(former, latest)
	if !lost || silent >= 0 {
		f.moved = time.Now()
		return nil
	}
	f.ran = true
	f.shun(f.seat.stages[culprit].Endpoint.Name)
	return f.again(ctx, "a step was lost")
}

// probe asks all stages how far they are. It returns the first stage that gave
// no answer, or -1.
func (f *flight) probe(ctx context.Context) (reports []progress.Report, silent int) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reports = make([]progress.Report, len(f.seat.stages))
	failed := make([]bool, len(f.seat.stages))
	var group sync.WaitGroup
	for i, stage := range f.seat.stages {
		group.Go(func() {
			reply := new(wire.ProbeReply)
			request := &wire.Probe{Request: f.id[:], Attempt: f.assembly.Attempt}
			err := f.entry.client.Call(ctx, stage.Endpoint.Address, "probe", request, reply)
			failed[i] = err != nil
			reports[i] = progress.Report{Known: reply.GetKnown(), Running: reply.GetRunning(), Next: reply.GetNext()}
		})
	}
	group.Wait()
	return reports, slices.Index(failed, true)
}
