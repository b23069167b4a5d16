package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

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
