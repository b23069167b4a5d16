package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// statusWith returns the status of the answer to a request with a key, or without one if it is empty.
func (w *fixture) statusWith(path, apiKey string) int {
	w.t.Helper()
	r := w.request("POST", path, "x")
	r.Header.Del("Authorization")
	if apiKey != "" {
		r.Header.Set("Authorization", "Token "+apiKey)
	}
	return w.do(r).StatusCode
}

// inForce waits until the latest version of the configuration is in force.
func (w *fixture) inForce() {
	w.t.Helper()
	w.waitForLog(fmt.Sprintf(`"version":%d,"revision"`, w.version))
}

// Guards against a configuration whose last key was taken away being taken for one without teams: requests with any key
// and with none were served.
func TestNobodyIsServedOnceTheLastKeyIsTakenAway(t *testing.T) {
	t.Parallel()
	e := plain("a")
	w := newFixture(t, e)
	require.Equal(t, http.StatusOK, w.statusWith("/renew/1", key))
	w.configureTeams(map[string]any{"tenants": []any{map[string]any{"name": "desk", "api_keys": []string{}}}})
	w.inForce()
	w.waitForLog(`"level":"warn","process":"gateway-1","version":6,"revision":`)
	w.waitForLog(`"keys":0,"keys_required":true,"message":"configuration is in force"`)
	before := len(e.Seen())
	for _, k := range []string{key, "another-key", "never-configured", ""} {
		require.Equal(t, http.StatusUnauthorized, w.statusWith("/renew/1", k), "key %q", k)
	}
	require.Len(t, e.Seen(), before)
	require.Equal(t, http.StatusOK, w.statusWith("/open/1", ""), "the route is public")
}
