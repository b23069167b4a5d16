package entry

import (
	"context"
	"sync"
	"time"

	"github.com/grademill/grademill/timeout"
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

// stalled finds out why no token has come. A chain that is merely slow gets
// more time.
func (f *flight) stalled(ctx context.Context) error {
	replies := f.probe(ctx)
	for i, reply := range replies {
		if reply == nil {
			f.ran = true
			f.entry.suspect(f.seat.stages[i].Endpoint.Name, "does not answer a probe")
			return f.again(ctx, "a stage does not answer")
		}
	}
	if culprit, ok := lostBefore(replies); ok {
		f.ran = true
		f.shun(f.seat.stages[culprit].Endpoint.Name)
		return f.again(ctx, "a step was lost")
	}
	f.moved = time.Now()
	return nil
}

// probe asks all stages how far they are; nil stands for no answer.
func (f *flight) probe(ctx context.Context) []*wire.ProbeReply {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	replies := make([]*wire.ProbeReply, len(f.seat.stages))
	var group sync.WaitGroup
	for i, stage := range f.seat.stages {
		group.Go(func() {
			reply := new(wire.ProbeReply)
			request := &wire.Probe{Request: f.id[:], Attempt: f.assembly.Attempt}
			if err := f.entry.client.Call(ctx, stage.Endpoint.Address, "probe", request, reply); err == nil {
				replies[i] = reply
			}
		})
	}
	group.Wait()
	return replies
}

// lostBefore returns the stage that a step did not reach, or the last stage when
// its token was lost. It reports false when a stage is still at work.
func lostBefore(replies []*wire.ProbeReply) (int, bool) {
	for _, r := range replies {
		if r.GetRunning() {
			return 0, false
		}
	}
	for i, r := range replies {
		if !r.GetKnown() || i > 0 && r.GetNext() < replies[i-1].GetNext() {
			return i, true
		}
	}
	return len(replies) - 1, true
}
