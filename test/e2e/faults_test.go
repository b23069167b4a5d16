package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/platform"
)

const (
	requests = 24
	tokens   = 40
)

func TestStageKilledMidAnswer(t *testing.T) {
	w := replicatedChain(t)
	l := run(requests, tokens, w.entries...)
	w.awaitSteps(200)
	w.agents[2].kill()
	l.whole(t)
	w.checkOnce(t)
}

func TestTwoStagesKilledAtOnce(t *testing.T) {
	w := replicatedChain(t)
	l := run(requests, tokens, w.entries...)
	w.awaitSteps(200)
	w.agents[0].kill()
	w.agents[5].kill()
	l.whole(t)
	w.checkOnce(t)
}

func TestStageFrozenThenWoken(t *testing.T) {
	w := replicatedChain(t)
	l := run(requests, tokens, w.entries...)
	w.awaitSteps(200)
	w.agents[3].signal(syscall.SIGSTOP)
	l.whole(t)
	w.agents[3].signal(syscall.SIGCONT)
	again := run(requests, tokens, w.entries...)
	again.whole(t)
	w.checkOnce(t)
}

func TestEngineKilledMidAnswer(t *testing.T) {
	w := replicatedChain(t)
	l := run(requests, tokens, w.entries...)
	w.awaitSteps(200)
	w.engines[4].kill()
	l.whole(t)
	w.engines = append(w.engines[:4:4], w.engines[5])
	w.checkOnce(t)
}

func TestEntryKilledMidAnswer(t *testing.T) {
	w := replicatedChain(t)
	l := run(requests, tokens, w.entries[0])
	w.awaitSteps(200)
	w.entries[0].kill()
	l.group.Wait()
	for i, a := range l.answers {
		// A response that was cut off must not look complete, and its tokens must be
		// those of its own request.
		want := expected(l.prompts[i], tokens)
		if a.whole {
			require.Equal(t, want, a.tokens)
		}
		require.LessOrEqual(t, len(a.tokens), len(want))
		require.Equal(t, want[:len(a.tokens)], append([]uint32{}, a.tokens...)) // none are a nil slice
	}
	run(requests, tokens, w.entries[1]).whole(t)
	w.checkOnce(t)
}

func TestAgentStoppedUnderLoad(t *testing.T) {
	w := replicatedChain(t)
	l := run(requests, tokens, w.entries...)
	w.awaitSteps(200)
	w.agents[2].stop()
	ran := len(w.engineRecord(w.engines[2]))
	l.whole(t)
	for _, a := range l.answers {
		require.Equal(t, 1, a.attempts, "a planned stop must not interrupt a request")
	}
	run(requests, tokens, w.entries...).whole(t)
	require.Len(t, w.engineRecord(w.engines[2]), ran, "an endpoint that has left must get no new requests")
	w.checkOnce(t)
}

func TestEntryStoppedUnderLoad(t *testing.T) {
	w := replicatedChain(t)
	l := run(requests, tokens, w.entries[0])
	w.awaitSteps(200)
	w.awaitStarted(requests)
	w.entries[0].stop()
	l.whole(t)
	for _, a := range l.answers {
		require.Equal(t, 1, a.attempts)
	}
	w.checkOnce(t)
}

func TestEntryAndAgentStoppedTogether(t *testing.T) {
	w := replicatedChain(t)
	l := run(requests, tokens, w.entries...)
	w.awaitSteps(200)
	w.agents[1].signal(syscall.SIGTERM)
	w.entries[1].signal(syscall.SIGTERM)
	l.whole(t)
	<-w.agents[1].done
	<-w.entries[1].done
	w.checkOnce(t)
}

func TestStopDuringChainRebuild(t *testing.T) {
	w := replicatedChain(t)
	l := run(requests, tokens, w.entries...)
	w.awaitSteps(200)
	w.agents[2].kill()
	w.agents[0].signal(syscall.SIGTERM)
	l.whole(t)
	<-w.agents[0].done
	w.checkOnce(t)
}

func TestListedAsLeavingGetsNoNewWork(t *testing.T) {
	w := replicatedChain(t)
	run(requests, tokens, w.entries...).whole(t)
	w.list(w.agents[4])
	for _, e := range w.entries {
		w.eventually(func() bool {
			for _, ep := range w.status(e).Endpoints {
				if ep.Name == w.agents[4].name {
					return ep.Leaving
				}
			}
			return false
		}, "%s marks the endpoint as leaving", e.name)
	}
	ran := len(w.engineRecord(w.engines[4]))
	run(requests, tokens, w.entries...).whole(t)
	require.Len(t, w.engineRecord(w.engines[4]), ran)
}

func TestPlatformDownDoesNotStopRequests(t *testing.T) {
	w := replicatedChain(t)
	w.setFault(platform.Fault{Down: true})
	run(requests, tokens, w.entries...).whole(t)
	// A process that starts during the outage learns the configuration and the endpoints from peers.
	w.addEntryDuringOutage("entry-3")
	w.ready(w.entries[2], 6)
	run(requests, tokens, w.entries[2]).whole(t)
	w.setFault(platform.Fault{})
	w.put(w.entries[0], "teams", "late", `{"key_sha256":[]}`)
	revision := w.status(w.entries[0]).Revisions["entry-1"]
	for _, e := range w.entries {
		w.eventually(func() bool { return w.status(e).Revisions[e.name] >= revision }, "%s reaches the current revision", e.name)
	}
}

// renewals are calls with the same keys sent through several entries at once, one
// call for each key and entry.
type renewals struct {
	group sync.WaitGroup
	mu    sync.Mutex
	// outcomes are the outcomes of each key in order of arrival.
	outcomes map[string][]string
}

func renew(keys int, entries ...*process) *renewals {
	r := &renewals{outcomes: make(map[string][]string)}
	for i := range keys {
		key := fmt.Sprintf("renewal-%d", i)
		for _, e := range entries {
			r.group.Go(func() {
				a := call(e, key, key)
				r.mu.Lock()
				defer r.mu.Unlock()
				outcome := a.outcome
				if a.err != nil {
					outcome = "cut"
				}
				r.outcomes[key] = append(r.outcomes[key], outcome)
			})
		}
	}
	return r
}

// checkAtMostOnce checks that no key ran twice, that a key reported as done ran, and
// that a key reported as not run to all its callers did not run.
func (w *world) checkAtMostOnce(t *testing.T, r *renewals) {
	t.Helper()
	r.group.Wait()
	ran := make(map[string]int)
	for _, run := range w.serviceRecord() {
		ran[run.Body]++
	}
	for key, n := range ran {
		require.LessOrEqual(t, n, 1, key)
	}
	for key, outcomes := range r.outcomes {
		done, notRun := 0, 0
		for _, end := range outcomes {
			switch end {
			case "done":
				done++
			case "not_run":
				notRun++
			}
		}
		if done > 0 {
			require.Equal(t, 1, ran[key], "%s: %v", key, outcomes)
		}
		if notRun == len(outcomes) {
			require.Zero(t, ran[key], "%s: %v", key, outcomes)
		}
	}
}

// plainServices starts two entries and two endpoints of the plain service.
func plainServices(t *testing.T) *world {
	w := newWorld(t)
	w.addEntries("entry-1", "entry-2")
	w.plain("records-1", "rose-hill", "-took", "20ms")
	w.plain("records-2", "curepipe", "-took", "20ms")
	w.list()
	w.configure(2)
	return w
}

func (w *world) awaitCalls(n int) {
	w.eventually(func() bool { return len(w.serviceRecord()) >= n }, "%d calls have run", n)
}

func TestSameKeyAtBothEntriesRunsOnce(t *testing.T) {
	w := plainServices(t)
	r := renew(20, w.entries...)
	w.checkAtMostOnce(t, r)
	for key, outcomes := range r.outcomes {
		require.Equal(t, []string{"done", "done"}, outcomes, key)
	}
}

func TestSameKeyForAnotherRequestIsRefused(t *testing.T) {
	w := plainServices(t)
	require.Equal(t, http.StatusOK, call(w.entries[0], "k", "one").status)
	a := call(w.entries[1], "k", "two")
	require.Equal(t, http.StatusUnprocessableEntity, a.status, a.body)
	require.Len(t, w.serviceRecord(), 1)
}

func TestEntryKilledWhileRenewing(t *testing.T) {
	w := plainServices(t)
	r := renew(40, w.entries[0])
	w.awaitCalls(5)
	w.entries[0].kill()
	r.group.Wait()
	again := renew(40, w.entries[1])
	w.checkAtMostOnce(t, again)
}

func TestAgentKilledWhileRenewing(t *testing.T) {
	w := plainServices(t)
	r := renew(40, w.entries...)
	w.awaitCalls(5)
	w.agents[0].kill()
	w.checkAtMostOnce(t, r)
	w.restart(w.agents[0])
	again := renew(40, w.entries...)
	w.checkAtMostOnce(t, again)
}

func TestAgentFrozenWhileRenewing(t *testing.T) {
	w := plainServices(t)
	r := renew(40, w.entries...)
	w.awaitCalls(5)
	w.agents[1].signal(syscall.SIGSTOP)
	r.group.Wait()
	w.agents[1].signal(syscall.SIGCONT)
	again := renew(40, w.entries...)
	w.checkAtMostOnce(t, again)
}

func TestLostAnswersWhileRenewing(t *testing.T) {
	w := plainServices(t)
	w.setFault(platform.Fault{LoseAnswers: true})
	r := renew(20, w.entries...)
	w.checkAtMostOnce(t, r)
	w.setFault(platform.Fault{})
	again := renew(20, w.entries...)
	w.checkAtMostOnce(t, again)
}

func TestOutageWhileRenewing(t *testing.T) {
	w := plainServices(t)
	r := renew(40, w.entries...)
	w.awaitCalls(5)
	w.setFault(platform.Fault{Down: true})
	w.checkAtMostOnce(t, r)
	a := call(w.entries[0], "during the outage", "x")
	require.Equal(t, "not_run", a.outcome, a.body)
	require.Equal(t, http.StatusOK, call(w.entries[0], "", "a call without a key goes on").status)
	w.setFault(platform.Fault{})
	again := renew(40, w.entries...)
	w.checkAtMostOnce(t, again)
	for key, outcomes := range again.outcomes {
		require.Equal(t, []string{"done", "done"}, outcomes, key)
	}
}
