package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/broken"
	"github.com/grademill/grademill/standin/site"
)

// wrongBody is the body of a broken answer.
const wrongBody = "wrong"

// Guards against an answer with a malformed head that reaches its caller: with a status that is none, or with a body whose
// frame was in a line that was passed over.
func TestAnswerWithMalformedHeadIsAFailedAttempt(t *testing.T) {
	t.Parallel()
	w := newFixture(t, plain("endpoint-1"), plain("endpoint-2"))
	for name, answer := range broken.Heads(site.RawFields, wrongBody) {
		t.Run(name, func(t *testing.T) { requireFailedAttempt(t, w, answer) })
	}
	w.waitForLog(`"error":"malformed head, line 1: status 600","message":"answer is broken"`)
}

// Guards against an answer that stops anywhere in its head and reaches its caller framed as whole.
func TestAnswerCutInItsHeadIsAFailedAttempt(t *testing.T) {
	t.Parallel()
	w := newFixtureWith(t, func(g *gateway.Gateway) { g.RetryReserve = 1000 }, plain("endpoint-1"), plain("endpoint-2"))
	for _, answer := range broken.Cuts("HTTP/1.1 200 OK\r\n" + site.RawFields + "Content-Length: 0\r\n\r\n") {
		requireFailedAttempt(t, w, answer)
	}
}

// requireFailedAttempt checks that a request whose first attempt gets an answer is repeated if it may be, and otherwise
// fails.
func requireFailedAttempt(t *testing.T, w *fixture, answer broken.Answer) {
	t.Helper()
	w.site.NextRaw(records, answer)
	got := w.do(w.request("POST", "/freeze/1", "a record"))
	require.Equal(t, http.StatusOK, got.StatusCode, "%q", answer)
	require.Equal(t, site.Echo("POST", "/freeze/1", []byte("a record")), got.body, "%q", answer)
	w.site.NextRaw(records, answer)
	got = w.do(w.request("POST", "/renew/1", "a record"))
	require.Equal(t, http.StatusBadGateway, got.StatusCode, "%q: %s", answer, got.body)
	require.Empty(t, got.Header.Get("X-Response-Seal"), "%q", answer)
}

// The same holds for streams, which must not look complete.
func TestStreamWithMalformedHeadIsAFailedAttempt(t *testing.T) {
	t.Parallel()
	w, _ := newModel(t)
	answers := broken.Heads(site.RawFields, site.Event(1))
	for i, cut := range broken.Cuts("HTTP/1.1 200 OK\r\n" + site.RawFields + "\r\n") {
		if i%10 == 0 {
			answers[string(cut)] = cut
		}
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			w.site.NextRaw(model, answer)
			got := w.do(w.streamRequest("/plan/1", 20))
			require.Equal(t, http.StatusOK, got.StatusCode)
			require.False(t, got.cut)
			require.Equal(t, fullBody(20), got.body)
			w.site.NextRaw(model, answer)
			got = w.do(w.streamRequest("/once/1", 20))
			require.NotEqual(t, http.StatusOK, got.StatusCode, got.body)
		})
	}
}

// uploadSize is the size in bytes of a request that waits for the endpoint to read.
const uploadSize = 3 << 20

// newUploads starts a fixture that accepts requests of uploadSize.
func newUploads(t *testing.T) *fixture {
	w := newFixture(t, plain("endpoint-1"), plain("endpoint-2"))
	w.configureTeams(map[string]any{
		"tenants": []any{map[string]any{"name": "desk", "api_keys": []string{key}}},
		"limits": map[string]any{
			"max_body_bytes": uploadSize, "max_header_bytes": 16384, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	w.inForce()
	return w
}

// Guards against a part of an answer that reaches its caller as whole: the reset of the connection was reported to the
// goroutine that wrote the request, and the one that read the answer saw an end of the connection.
func TestAnswerResetDuringItsUploadIsAFailedAttempt(t *testing.T) {
	t.Parallel()
	w := newUploads(t)
	upload := strings.Repeat("x", uploadSize)
	for range 20 {
		w.site.NextEarly(records, site.EarlyReset)
		got := w.do(w.request("POST", "/freeze/1", upload))
		require.Equal(t, http.StatusOK, got.StatusCode)
		require.True(t, got.body == site.Echo("POST", "/freeze/1", []byte(upload)), "%.100s", got.body)
		w.site.NextEarly(records, site.EarlyReset)
		got = w.do(w.request("POST", "/renew/1", upload))
		require.Equal(t, http.StatusBadGateway, got.StatusCode, got.body)
		require.Empty(t, got.Header.Get("X-Response-Seal"))
	}
}

// An answer that comes before the end of its request is whole if the endpoint reads on.
func TestAnswerBeforeTheEndOfItsUploadIsWhole(t *testing.T) {
	t.Parallel()
	w := newUploads(t)
	for range 20 {
		w.site.NextEarly(records, site.EarlyWhole)
		got := w.do(w.request("POST", "/renew/1", strings.Repeat("x", uploadSize)))
		require.Equal(t, http.StatusOK, got.StatusCode)
		require.Equal(t, site.EarlyAnswer, got.body)
	}
}
