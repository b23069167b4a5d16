package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/standin/site"
)

// dropServices puts a configuration in force that has none of the routes and services of the others.
func (w *fixture) dropServices() {
	w.t.Helper()
	w.configureTeams(map[string]any{
		"tenants": []any{map[string]any{"name": "desk", "api_keys": []string{key}}},
		"routes": []any{map[string]any{
			"name": "r-lists", "host": host, "path_prefix": "/lists/", "kind": "idempotent", "service": "lists",
			"timeout_ms": 20000, "slo_ms": 500, "attempts": 2, "prio": 1,
		}},
		"services": []any{map[string]any{"name": "lists", "max_conns": 100}},
	})
	w.inForce()
	w.eventually(func() bool { return w.do(w.request("POST", "/freeze/1", "x")).StatusCode == http.StatusNotFound })
}

// Guards against an answer that is lost because the configuration no longer has the service of its request.
func TestAnswerIsDeliveredAfterItsServiceHasGone(t *testing.T) {
	t.Parallel()
	a := plain("a")
	w := newFixture(t, a)
	for _, path := range []string{"/freeze/1", "/renew/1"} {
		w.configure(true)
		w.eventually(func() bool { return w.do(w.request("POST", "/freeze/1", "x")).StatusCode == http.StatusOK })
		a.Pause(2 * time.Second)
		r, answer := w.request("POST", path, "x"), make(chan reply, 1)
		go func() { answer <- doWith(t, http.DefaultClient, r) }()
		seen := len(a.Seen())
		w.eventually(func() bool { return len(a.Seen()) > seen })
		w.dropServices()
		got := <-answer
		require.Equal(t, http.StatusOK, got.StatusCode, got.body)
		require.Equal(t, 1, a.Ran(r.Header.Get("X-Request-Id")))
	}
}

// Guards against a stream that is broken off because the configuration no longer has its service.
func TestStreamIsCompleteAfterItsServiceHasGone(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	const events = 600
	answer, r, _ := w.startStream(cards, events)
	w.dropServices()
	rest, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, fullBody(events), site.Event(1)+string(rest))
	require.Contains(t, endLine(t, w, r.Header.Get("X-Request-Id")), `"sends":1`)
}

// Guards against a stream that is broken off since its chain broke after the configuration had lost its service: the
// endpoints were no longer known.
func TestStreamIsResumedAfterItsServiceHasGone(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	const events = 600
	answer, r, _ := w.startStream(cards, events)
	w.dropServices()
	for _, c := range cards {
		if c.Ran(r.Header.Get("X-Request-Id")) > 0 {
			w.site.Stop(c)
		}
	}
	rest, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, fullBody(events), site.Event(1)+string(rest))
}

// newIsolated starts a fixture with two plain endpoints, at one of which a request under which two others have ended is
// tried in isolation. leave has its caller leave.
func newIsolated(t *testing.T) (w *fixture, endpoints []*site.Endpoint, leave func()) {
	endpoints = []*site.Endpoint{plain("a"), plain("b")}
	w = newFixture(t, endpoints...)
	for _, e := range endpoints {
		e.SetMode(site.Hang)
	}
	r := w.request("POST", "/freeze/9", "suspected")
	request := fingerprint.Of(fingerprint.Request{Method: "POST", Host: host, Target: "/freeze/9", Team: "desk", Body: []byte("suspected")})
	for i := range 2 {
		w.gateway.ReportEnd(fmt.Sprint("another-", i), request)
	}
	ctx, leave := context.WithCancel(context.Background())
	t.Cleanup(leave)
	go func() {
		if answer, err := http.DefaultClient.Do(r.WithContext(ctx)); err == nil {
			_ = answer.Body.Close()
		}
	}()
	w.eventually(func() bool { return len(endpoints[0].Seen())+len(endpoints[1].Seen()) == 1 })
	return w, endpoints, leave
}

// Guards against a request that is quarantined because the configuration no longer has its service: the endpoint of its
// isolated attempt was taken to have ended.
func TestEndpointOfAServiceThatHasGoneHasNotEnded(t *testing.T) {
	t.Parallel()
	w, _, leave := newIsolated(t)
	w.dropServices()
	leave()
	w.waitForLog(`"message":"outcome of an isolated attempt"`)
	require.NotContains(t, w.log.String(), `"message":"request is quarantined"`)
	require.Contains(t, w.log.String(), `"outcome":"unknown"`)
}
