package e2e_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/platform"
)

// result is the response to a configuration change.
type result struct {
	status   int
	Outcome  string `json:"outcome"`
	Revision uint64 `json:"revision"`
	WriteID  string `json:"write_id"`
	body     string
}

// race makes operators change one policy concurrently through all entries, in n rounds of one
// change each. It calls during, if not nil, in every round while the changes are in progress.
func (w *world) race(operators, n int, during func(round int)) []result {
	var mu sync.Mutex
	var all []result
	for round := range n {
		var group sync.WaitGroup
		for o := range operators {
			group.Go(func() {
				body := fmt.Sprintf(`{"match":"true","order":%d}`, round*operators+o)
				status, text := w.tryPut(w.entries[o%len(w.entries)], "policies", "rush-hour", body)
				r := result{status: status, body: body}
				_ = json.Unmarshal([]byte(text), &r)
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
			})
		}
		if during != nil {
			during(round)
		}
		group.Wait()
	}
	return all
}

// watchRevisions records the revision in force at each entry until the returned
// function is called, which checks that no revision went back.
func (w *world) watchRevisions() (check func(t *testing.T)) {
	stop := make(chan struct{})
	var group sync.WaitGroup
	seen := make([][]uint64, len(w.entries))
	for i, e := range w.entries {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				if r := w.status(e).Revisions[e.name]; r > 0 {
					seen[i] = append(seen[i], r)
				}
			}
		})
	}
	return func(t *testing.T) {
		close(stop)
		group.Wait()
		for i, revisions := range seen {
			for j := 1; j < len(revisions); j++ {
				require.GreaterOrEqual(t, revisions[j], revisions[j-1], w.entries[i].name)
			}
		}
	}
}

// checkAccepted checks that each accepted change has a revision of its own, and
// that the last one comes into force at every entry.
func (w *world) checkAccepted(t *testing.T, results []result) {
	t.Helper()
	last := result{}
	revisions := make(map[uint64]bool)
	for _, r := range results {
		if r.status == http.StatusAccepted || r.Outcome == "not_known" {
			r = w.settle(r)
		}
		if r.Outcome != "accepted" {
			continue
		}
		require.False(t, revisions[r.Revision], "two accepted changes have revision %d", r.Revision)
		revisions[r.Revision] = true
		if r.Revision > last.Revision {
			last = r
		}
	}
	require.Positive(t, last.Revision)
	for _, e := range w.entries {
		w.eventually(func() bool {
			a := raw(t, http.MethodGet, e.admin+"/admin/v1/policies/rush-hour", operatorKey, "")
			var got, want map[string]any
			_ = json.Unmarshal([]byte(a.body), &got)
			_ = json.Unmarshal([]byte(last.body), &want)
			return a.status == http.StatusOK && fmt.Sprint(got) == fmt.Sprint(want)
		}, "the last accepted change is in force at %s", e.name)
	}
}

// settle asks an entry for the outcome of a change whose outcome was unknown.
func (w *world) settle(r result) result {
	a := raw(w.t, http.MethodGet, w.entries[0].admin+"/admin/v1/writes/"+r.WriteID, operatorKey, "")
	settled := result{body: r.body}
	require.NoError(w.t, json.Unmarshal([]byte(a.body), &settled))
	return settled
}

func TestOperatorsRace(t *testing.T) {
	w := chainOfThree(t)
	check := w.watchRevisions()
	results := w.race(6, 10, nil)
	w.checkAccepted(t, results)
	check(t)
	for _, r := range results {
		require.Equal(t, "accepted", r.Outcome)
	}
}

func TestOperatorsRaceWithLostAnswersAndOutages(t *testing.T) {
	w := chainOfThree(t)
	check := w.watchRevisions()
	results := w.race(4, 6, func(round int) {
		switch round % 3 {
		case 0:
			w.setFault(platform.Fault{LoseAnswers: true})
		case 1:
			w.setFault(platform.Fault{Down: true})
			time.Sleep(50 * time.Millisecond)
			w.setFault(platform.Fault{})
		}
	})
	w.setFault(platform.Fault{})
	w.checkAccepted(t, results)
	check(t)
}

func TestWatcherPausedThroughManyRevisions(t *testing.T) {
	w := chainOfThree(t)
	check := w.watchRevisions()
	w.entries[1].signal(syscall.SIGSTOP)
	var results []result
	for i := range 300 { // more changes than the head of the log holds
		body := fmt.Sprintf(`{"match":"true","order":%d}`, i)
		status, text := w.tryPut(w.entries[0], "policies", "rush-hour", body)
		r := result{status: status, body: body}
		require.NoError(t, json.Unmarshal([]byte(text), &r))
		results = append(results, r)
	}
	w.entries[1].signal(syscall.SIGCONT)
	w.checkAccepted(t, results)
	check(t)
}

func TestOnlyOneConditionalChangeWins(t *testing.T) {
	w := chainOfThree(t)
	w.put(w.entries[0], "policies", "rush-hour", `{"match":"true"}`)
	a := raw(t, http.MethodGet, w.entries[0].admin+"/admin/v1/policies/rush-hour", operatorKey, "")
	require.Equal(t, http.StatusOK, a.status)
	revision := w.status(w.entries[0]).Revisions["entry-1"]
	var mu sync.Mutex
	statuses := make(map[int]int)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			request, err := http.NewRequest(http.MethodPut, w.entries[i%2].admin+"/admin/v1/policies/rush-hour",
				strings.NewReader(`{"match":"false"}`))
			if err != nil {
				return
			}
			request.Header.Set("Authorization", "Bearer "+operatorKey)
			request.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(revision)))
			answer, err := http.DefaultClient.Do(request)
			if err != nil {
				return
			}
			_ = answer.Body.Close()
			mu.Lock()
			statuses[answer.StatusCode]++
			mu.Unlock()
		})
	}
	group.Wait()
	require.Equal(t, map[int]int{http.StatusOK: 1, http.StatusPreconditionFailed: 7}, statuses)
}

func TestBadChangesAreRefused(t *testing.T) {
	w := chainOfThree(t)
	cases := map[string]struct {
		kind, name, body, detail string
		status                   int
	}{
		"policy that does not compile": {"policies", "p", `{"match":"team =="}`, "policies/p: match:1:8", http.StatusUnprocessableEntity},
		"policy of the wrong type":     {"policies", "p", `{"match":"true","priority":"'high'"}`, "gives string, int is needed", http.StatusUnprocessableEntity},
		"unknown member":               {"teams", "t", `{"wait":1}`, "unknown field", http.StatusUnprocessableEntity},
		"wrong kind of service":        {"services", "s", `{"kind":"queue"}`, "kind", http.StatusUnprocessableEntity},
		"no such kind":                 {"hosts", "h", `{}`, "no objects of kind", http.StatusNotFound},
		"bad name":                     {"teams", "Bad%20Name", `{}`, "name", http.StatusUnprocessableEntity},
		"malformed":                    {"teams", "t", `{"weight":`, "teams/t", http.StatusUnprocessableEntity},
		"wrong type":                   {"teams", "t", `{"weight":"much"}`, "weight", http.StatusUnprocessableEntity},
	}
	before := w.status(w.entries[0]).Revisions["entry-1"]
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			status, text := w.tryPut(w.entries[0], c.kind, c.name, c.body)
			require.Equal(t, c.status, status, text)
			require.Contains(t, text, c.detail)
			require.Contains(t, text, `"refused"`)
		})
	}
	require.Equal(t, before, w.status(w.entries[0]).Revisions["entry-1"], "a refused change must not create a revision")
}
