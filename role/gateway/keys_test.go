package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/platform"
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

// Guards against proofs that a configuration is the newest one while a newer one is known that cannot be read: a key that
// it takes away was accepted for as long as it stood.
func TestUnreadableConfigurationIsNotPassedOver(t *testing.T) {
	t.Parallel()
	e := plain("a")
	w := newFixture(t, e)
	require.Equal(t, http.StatusOK, w.statusWith("/renew/1", key))
	w.site.Store.SetText(platform.ConfigKey, []byte(`{"version":5,"routes":[{"name":"r","kind":"of another release"}],"tenants":[]}`))
	w.waitForLog("configuration not understood")
	w.eventually(func() bool { return w.statusWith("/renew/1", key) == http.StatusServiceUnavailable })
	require.False(t, w.gateway.Ready())
	require.Equal(t, http.StatusOK, w.statusWith("/open/1", ""), "without a key")
	w.configure(true)
	w.eventually(func() bool { return w.statusWith("/renew/1", key) == http.StatusOK })
}

// Guards against an empty key that admits requests without one, and against a key of several teams that admits its holder
// as any of them: each of a series of drawn configurations, in which keys come and go, is compared with a model.
func TestOnlyHoldersOfKeysAreServed(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newFixture(t, plain("a"))
			r := rand.New(rand.NewPCG(seed, 1))
			for range 8 {
				teams, admitted := drawTeams(r)
				w.configureTeams(teams)
				w.inForce()
				for _, k := range append(drawnKeys, "never-configured", "") {
					want := http.StatusUnauthorized
					if admitted(k) {
						want = http.StatusOK
					}
					require.Equal(t, want, w.statusWith("/renew/1", k), "key %q of %v", k, teams)
				}
			}
		})
	}
}

// drawnKeys are the keys that drawTeams hands out.
var drawnKeys = []string{"k1", "k2", "k3"}

// drawTeams returns the fields of a configuration for teams, and which keys it admits. A key of several teams admits
// nobody, and where the configuration has the field, nor does a request without a key.
func drawTeams(r *rand.Rand) (fields map[string]any, admitted func(key string) bool) {
	switch r.IntN(6) {
	case 0:
		return nil, func(string) bool { return true }
	case 1:
		return map[string]any{"tenants": nil}, func(string) bool { return false }
	}
	holders := make(map[string]int)
	teams := []any{}
	for i := range r.IntN(4) {
		keys := []string{}
		for _, k := range append(drawnKeys, "") {
			if r.IntN(4) == 0 {
				keys = append(keys, k, k)
				holders[k]++
			}
		}
		teams = append(teams, map[string]any{"name": fmt.Sprint("team-", i), "api_keys": keys})
	}
	return map[string]any{"tenants": teams}, func(k string) bool { return k != "" && holders[k] == 1 }
}
