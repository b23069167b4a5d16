package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/standin/site"
)

// Guards against a repeatable request whose endpoint, silent for a second, is given up for another one that gives it no
// answer.
func TestSilentEndpointAnswersAfterAnotherOneFails(t *testing.T) {
	t.Parallel()
	for name, mode := range map[string]site.Mode{
		"refuses": site.Refuse, "closes the connection": site.Lose, "breaks off": site.Cut, "fails": site.Fail, "is silent too": site.Hang,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent, other := plain("silent"), plainInOtherHall("other")
			w := newFixture(t, silent, other)
			other.SetMode(mode)
			silent.Pause(time.Second + usualLimits.objective)
			r := w.request("POST", "/freeze/1", "x")
			answer := w.do(r)
			require.Equal(t, http.StatusOK, answer.StatusCode, answer.body)
			require.Equal(t, "seal.silent", answer.Header.Get("X-Response-Seal"))
			require.Len(t, silent.Seen(), 1)
			require.Len(t, other.Seen(), 1)
			w.eventually(func() bool { return w.gateway.Running() == 0 })
			require.Zero(t, w.gateway.RetryBudget(records).Pending)
		})
	}
}

// Guards against a request that goes to more endpoints at once than its route allows, or that one of them goes on with
// after its caller has left.
func TestSilentEndpointsHaveNoMoreThanTheAttempts(t *testing.T) {
	t.Parallel()
	endpoints := []*site.Endpoint{plain("a"), plain("b"), plain("c")}
	w := newFixture(t, endpoints...)
	for _, e := range endpoints {
		e.SetMode(site.Hang)
	}
	r := w.request("POST", "/freeze/1", "x")
	r.Header.Set("X-Deadline-Ms", "3000")
	require.Equal(t, http.StatusGatewayTimeout, w.do(r).StatusCode)
	require.Equal(t, 2, sends(endpoints, r.Header.Get("X-Request-Id")))
	w.eventually(func() bool { return disconnects(endpoints) == 2 })

	r = w.request("POST", "/freeze/1", "x")
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	go func() {
		if answer, err := http.DefaultClient.Do(r.WithContext(ctx)); err == nil {
			_ = answer.Body.Close()
		}
	}()
	w.eventually(func() bool { return sends(endpoints, r.Header.Get("X-Request-Id")) == 2 })
	leave()
	w.eventually(func() bool { return disconnects(endpoints) == 4 })
	require.Contains(t, endLine(t, w, r.Header.Get("X-Request-Id")), `"outcome":"caller left"`)
}

// Guards against a request under which endpoints have ended that goes to a second one while the first is silent.
func TestSuspectDoesNotRunAtTwoEndpointsAtOnce(t *testing.T) {
	t.Parallel()
	endpoints := []*site.Endpoint{plain("a"), plain("b"), plain("c")}
	w := newFixture(t, endpoints...)
	request := fingerprint.Of(fingerprint.Request{Method: "POST", Host: host, Target: "/freeze/9", Team: "desk", Body: []byte("suspected")})
	for i := range 2 {
		w.gateway.ReportEnd(fmt.Sprint("another-", i), request)
	}
	for _, e := range endpoints {
		e.SetMode(site.Hang)
	}
	r := w.request("POST", "/freeze/9", "suspected")
	r.Header.Set("X-Deadline-Ms", "3000")
	w.do(r)
	require.Equal(t, 1, sends(endpoints, r.Header.Get("X-Request-Id")))
}
