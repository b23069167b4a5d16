package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
)

// Guards against an endpoint's own failure answer that is discarded for a retry that is not granted, of a model.
func TestFailureAnswerOfAModelIsKeptUntilARetryIsAnswered(t *testing.T) {
	t.Parallel()
	w, _ := newModelWith(t, func(g *gateway.Gateway) { g.RetryShare, g.RetryReserve = 0, 0 })
	w.site.NextModes(model, site.Fail)
	answer := w.do(w.streamRequest("/plan/1", 5))
	require.Equal(t, http.StatusInternalServerError, answer.StatusCode, answer.body)
	require.NotEmpty(t, answer.Header.Get("X-Response-Seal"))
}

// Guards against an endpoint's own failure answer that is discarded for a retry that is not granted or gives no answer.
func TestFailureAnswerIsKeptUntilARetryIsAnswered(t *testing.T) {
	t.Parallel()
	noRetries := func(g *gateway.Gateway) { g.FirstStart, g.RetryShare, g.RetryWindow = false, 0, time.Hour }
	for _, c := range []struct {
		name   string
		change func(*gateway.Gateway)
		modes  []site.Mode
		runs   int
	}{
		{"no retry", noRetries, []site.Mode{site.Fail}, 1},
		{"the retry is refused", func(*gateway.Gateway) {}, []site.Mode{site.Fail, site.Refuse}, 1},
		{"the retry is lost", func(*gateway.Gateway) {}, []site.Mode{site.Fail, site.Lose}, 2},
		{"the answer of the retry is cut", func(*gateway.Gateway) {}, []site.Mode{site.Fail, site.Cut}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a, b := plain("a"), plain("b")
			w := newFixtureWith(t, c.change, a, b)
			w.site.NextModes(records, c.modes...)
			r := w.request("POST", "/freeze/1", "x")
			answer := w.do(r)
			require.Equal(t, http.StatusInternalServerError, answer.StatusCode, answer.body)
			require.NotEmpty(t, answer.Header.Get("X-Response-Seal"))
			require.Equal(t, site.Echo("POST", "/freeze/1", []byte("x")), answer.body)
			require.Equal(t, c.runs, a.Ran(r.Header.Get("X-Request-Id"))+b.Ran(r.Header.Get("X-Request-Id")))
		})
	}
}
