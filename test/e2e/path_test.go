package e2e_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/standin/engine"
)

// chainOfThree starts two entries, three engines that hold a third of the model each,
// and one plain service.
func chainOfThree(t *testing.T) *world {
	w := newWorld(t)
	w.addEntries("entry-1", "entry-2")
	w.engine("engine-1", "rose-hill", 0, 4)
	w.engine("engine-2", "quatre-bornes", 4, 8)
	w.engine("engine-3", "curepipe", 8, 12)
	w.plain("records-1", "rose-hill")
	w.list()
	w.configure(4)
	return w
}

func TestRequestsRunOverChain(t *testing.T) {
	w := chainOfThree(t)
	for _, e := range w.entries {
		a := complete(e, "plan my workout", 12)
		require.NoError(t, a.err)
		require.True(t, a.whole, "%+v", a)
		require.Equal(t, expected("plan my workout", 12), a.tokens)
		c := call(e, "", `{"member":7}`)
		require.Equal(t, http.StatusOK, c.status, c.body)
	}
	require.Len(t, w.serviceRecord(), 2)
	checkRuns(t, w, 2, len("plan my workout"), 12)
}

// checkRuns checks that each of n requests ran each stage's layers once for each
// position, in order, in its first and only attempt.
func checkRuns(t *testing.T, w *world, n, prompt, tokens int) {
	covered := make(map[string]map[layer.Range]uint32)
	for _, e := range w.engines {
		for _, run := range w.engineRecord(e) {
			require.Equal(t, uint32(1), run.Attempt)
			next(t, covered, run)
		}
	}
	require.Len(t, covered, n)
	for request, ranges := range covered {
		require.Len(t, ranges, 3, request)
		for _, end := range ranges {
			require.Equal(t, uint32(prompt+tokens-1), end, request)
		}
	}
}

// next checks that a run continues where the previous run of the same stage ended.
func next(t *testing.T, covered map[string]map[layer.Range]uint32, run engine.Run) {
	if covered[run.Request] == nil {
		covered[run.Request] = make(map[layer.Range]uint32)
	}
	require.Equal(t, covered[run.Request][run.Layers], run.Position, "%+v", run)
	covered[run.Request][run.Layers] = run.Position + run.Count
}

func TestRefusals(t *testing.T) {
	w := chainOfThree(t)
	e := w.entries[0]
	request := func(method, path, key, body string) answer {
		return raw(t, method, e.http+path, key, body)
	}
	cases := map[string]struct {
		path, key, body string
		status          int
	}{
		"wrong key":                            {"/v1/completions", "nobody", `{"model":"assistant","prompt":"x"}`, http.StatusUnauthorized},
		"malformed body":                       {"/v1/completions", callerKey, `{"model":`, http.StatusBadRequest},
		"no such model":                        {"/v1/completions", callerKey, `{"model":"other","prompt":"x"}`, http.StatusNotFound},
		"empty prompt":                         {"/v1/completions", callerKey, `{"model":"assistant","prompt":""}`, http.StatusBadRequest},
		"too many tokens":                      {"/v1/completions", callerKey, `{"model":"assistant","prompt":"x","max_tokens":1000000}`, http.StatusBadRequest},
		"no such service":                      {"/v1/services/other/x", callerKey, `{}`, http.StatusNotFound},
		"model called as a plain service":      {"/v1/services/assistant/x", callerKey, `{}`, http.StatusNotFound},
		"plain service called as a model":      {"/v1/completions", callerKey, `{"model":"records","prompt":"x"}`, http.StatusNotFound},
		"operator key instead of a caller key": {"/v1/completions", operatorKey, `{"model":"assistant","prompt":"x"}`, http.StatusUnauthorized},
		"negative position":                    {"/v1/completions", callerKey, `{"model":"assistant","prompt":[-1]}`, http.StatusBadRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := request(http.MethodPost, c.path, c.key, c.body)
			require.Equal(t, c.status, a.status, a.body)
			require.Equal(t, "not_run", a.outcome)
		})
	}
	for _, e := range w.engines {
		require.Empty(t, w.engineRecord(e))
	}
	require.Empty(t, w.serviceRecord())
}
