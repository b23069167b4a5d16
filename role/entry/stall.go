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

// stallTimeout returns how long the flight may make no progress.
func (f *flight) stallTimeout() time.Duration {
	f.entry.mu.Lock()
	defer f.entry.mu.Unlock()
	learned := f.entry.learnedStalls(f.request.Service)
	if f.awaitsFirst() {
		return learned.first.Value()
	}
	return learned.between.Value()
}

// awaitsFirst reports whether the attempt has not produced a token yet: it may still be processing
// a long prompt.
func (f *flight) awaitsFirst() bool {
	return f.reservation == nil || !f.reservation.receiving
}

// learnedStalls returns the learned stall timeouts of a service; e.mu is held.
func (e *Entry) learnedStalls(service string) stalls {
	learned, ok := e.stalls[service]
	if !ok {
		fresh := timeout.Estimator{Min: e.MinStall, Max: e.MaxStall}
		learned = stalls{first: fresh, between: fresh}
	}
	return learned
}

// learn records the arrival of a token and the time since the last progress.
func (f *flight) learn(first bool) {
	now := time.Now()
	took := now.Sub(f.lastProgress)
	f.lastProgress = now
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
	f.reservation.receiving = true
}

// probeTimeout is how long an agent may take to answer a probe.
const probeTimeout = 250 * time.Millisecond

// confirmDelay is the time between two rounds of probes.
const confirmDelay = 50 * time.Millisecond

// stalled finds out why no token has arrived. A chain that is only slow gets more time.
func (f *flight) stalled(ctx context.Context) error {
	former, silent := f.probe(ctx)
	if silent >= 0 {
		f.mayHaveRun = true
		f.entry.suspect(f.reservation.stages[silent].Endpoint.Name, "does not answer a probe")
		return f.retry(ctx, "a stage does not answer")
	}
	time.Sleep(confirmDelay)
	latest, silent := f.probe(ctx)
	culprit, lost := progress.Lost(former, latest)
	if !lost || silent >= 0 {
		f.lastProgress = time.Now()
		return nil
	}
	f.mayHaveRun = true
	f.avoidEndpoint(f.reservation.stages[culprit].Endpoint.Name)
	return f.retry(ctx, "a step was lost")
}

// probe requests the progress of all stages. It returns their reports and the index of the first
// stage that did not answer, or -1.
func (f *flight) probe(ctx context.Context) (reports []progress.Report, silent int) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reports = make([]progress.Report, len(f.reservation.stages))
	failed := make([]bool, len(f.reservation.stages))
	var group sync.WaitGroup
	for i, stage := range f.reservation.stages {
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
