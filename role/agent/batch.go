package agent

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/grademill/grademill/decide/fence"
	"github.com/grademill/grademill/wire"
)

// work is one step in the queue of the engine.
type work struct {
	session  *session
	id       fence.Step
	step     *wire.Step
	priority int32
	queuedAt time.Time
}

// signal wakes the goroutine that runs batches.
func (a *Agent) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// runBatches runs one batch after another. Steps that arrive while a batch runs go into the next
// one.
func (a *Agent) runBatches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		for batch := a.nextBatch(); len(batch) > 0; batch = a.nextBatch() {
			a.runBatch(ctx, batch)
		}
	}
}

// defaultBatch is the batch size for engines that do not report theirs.
const defaultBatch = 32

// batch returns the maximum number of steps in a batch; a.mu is held.
func (a *Agent) batch() int {
	return cmp.Or(a.status.MaxBatch, defaultBatch)
}

// nextBatch removes the next steps from the queue, higher priorities first, and drops queued steps
// that have been cancelled.
func (a *Agent) nextBatch() []work {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.Unfenced {
		a.queue = slices.DeleteFunc(a.queue, work.cancelled)
	}
	slices.SortStableFunc(a.queue, func(x, y work) int { return cmp.Compare(y.priority, x.priority) })
	n := min(len(a.queue), a.batch())
	batch := slices.Clone(a.queue[:n])
	a.queue = slices.Delete(a.queue, 0, n)
	return batch
}

// cancelled reports whether the attempt of the step has been cancelled or replaced.
func (w work) cancelled() bool {
	return w.session.open == nil || w.session.fence.Attempt != w.id.Attempt
}

// shortOutputsError reports that an engine answered fewer steps than it was given.
type shortOutputsError struct {
	given, answered int
}

// Error returns a message with both numbers.
func (e *shortOutputsError) Error() string {
	return fmt.Sprintf("engine answered %d of %d steps", e.answered, e.given)
}

// runBatch runs one batch and completes its steps.
func (a *Agent) runBatch(ctx context.Context, batch []work) {
	m := &wire.EngineBatch{Releases: a.takeReleases()}
	for _, w := range batch {
		m.Steps = append(m.Steps, &wire.EngineStep{
			Request: w.step.GetRequest(), Attempt: w.id.Attempt, Position: w.id.Position, Count: w.id.Count,
			Payload: w.step.GetPayload(), Model: a.model(), Priority: w.priority,
		})
	}
	start := time.Now()
	outputs, err := a.Engine.Run(ctx, m)
	a.learn(start, batch)
	if answered := len(outputs.GetOutputs()); err == nil && answered < len(batch) {
		err = &shortOutputsError{len(batch), answered}
	}
	for i, w := range batch {
		if err != nil {
			a.complete(w, nil, err)
			continue
		}
		a.complete(w, outputs.GetOutputs()[i], nil)
	}
}

func (a *Agent) takeReleases() []*wire.Cancel {
	a.mu.Lock()
	defer a.mu.Unlock()
	releases := a.releases
	a.releases = nil
	return releases
}

func (a *Agent) model() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.status.Service
}

// stepWeight is the weight of a new sample in the moving average of step times.
const stepWeight = 0.1

// learn updates the step time and the session limit after a batch that began at start and has just
// ended.
func (a *Agent) learn(start time.Time, batch []work) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.learnStep(now.Sub(start))
	var took time.Duration
	for _, w := range batch {
		took += now.Sub(w.queuedAt)
	}
	took /= time.Duration(len(batch))
	target := time.Duration(a.WaitFactor * float64(a.stepTime))
	a.learned = a.learned.WithStep(took, target, a.active)
}

// learnStep adds a step time, without the wait in the queue, to the moving average; a.mu is held.
func (a *Agent) learnStep(took time.Duration) {
	if a.stepTime == 0 {
		a.stepTime = took
	}
	a.stepTime += time.Duration(stepWeight * float64(took-a.stepTime))
}
