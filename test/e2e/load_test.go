package e2e_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/engine"
)

// replicatedChain starts two entries and two engines for each third of the model.
// The engines are slow enough for faults to occur in the middle of answers.
func replicatedChain(t *testing.T) *world {
	w := newWorld(t)
	w.addEntries("entry-1", "entry-2")
	halls := []string{"rose-hill", "quatre-bornes", "curepipe"}
	for i, hall := range halls {
		for _, copyName := range []string{"a", "b"} {
			w.engine(fmt.Sprintf("engine-%d%s", i+1, copyName), hall, 4*i, 4*i+4, "-base", "4ms")
		}
	}
	w.list()
	w.configure(6)
	return w
}

// load is a set of concurrent completions.
type load struct {
	prompts []string
	answers []answer
	tokens  int
	ended   atomic.Int64 // number of responses that have ended
	group   sync.WaitGroup
}

// run starts n concurrent completions, spread over the entries.
func run(n, tokens int, entries ...*process) *load {
	l := &load{tokens: tokens, answers: make([]answer, n)}
	for i := range n {
		prompt := fmt.Sprintf("request %d: when may I freeze my membership?", i)
		l.prompts = append(l.prompts, prompt)
		l.group.Go(func() {
			l.answers[i] = complete(entries[i%len(entries)], prompt, tokens)
			l.ended.Add(1)
		})
	}
	return l
}

// whole waits for all responses and checks that every caller received the complete answer to its
// own request.
func (l *load) whole(t *testing.T) {
	t.Helper()
	l.group.Wait()
	for i, a := range l.answers {
		require.NoError(t, a.err)
		require.True(t, a.whole, "%s: %+v", l.prompts[i], a)
		require.Equal(t, expected(l.prompts[i], l.tokens), a.tokens, l.prompts[i])
	}
}

// awaitSteps waits until the engines have run the given number of steps in total.
func (w *world) awaitSteps(steps int) {
	w.eventually(func() bool {
		n := 0
		for _, e := range w.engines {
			n += len(w.engineRecord(e))
		}
		return n >= steps
	}, "%d steps have run", steps)
}

// awaitStarted waits until the given number of requests have started to run. An entry that is stopped
// rightly refuses a request that it has not read yet.
func (w *world) awaitStarted(requests int) {
	w.eventually(func() bool {
		seen := make(map[string]bool)
		for _, e := range w.engines {
			for _, r := range w.engineRecord(e) {
				seen[r.Request] = true
			}
		}
		return len(seen) >= requests
	}, "%d requests have started", requests)
}

// attempt identifies one attempt of a request at one engine.
type attempt struct {
	request string
	number  uint32
	engine  int
}

// checkOnce checks that within each attempt every stage ran each position once
// and in order, and that an engine ran nothing of a lower attempt of a request
// after a higher one.
func (w *world) checkOnce(t *testing.T) {
	t.Helper()
	next := make(map[attempt]uint32)
	for i, e := range w.engines {
		latest := make(map[string]uint32)
		for _, r := range w.engineRecord(e) {
			checkNext(t, next, attempt{r.Request, r.Attempt, i}, r)
			require.GreaterOrEqual(t, r.Attempt, latest[r.Request], "%+v", r)
			latest[r.Request] = r.Attempt
		}
	}
}

func checkNext(t *testing.T, next map[attempt]uint32, key attempt, r engine.Run) {
	require.Equal(t, next[key], r.Position, "%+v", r)
	next[key] = r.Position + r.Count
}
