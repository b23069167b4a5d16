package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// endpointsByPath returns two sets of endpoints by the path that they serve: four cards, and two plain
// endpoints.
func endpointsByPath() map[string][]*site.Endpoint {
	return map[string][]*site.Endpoint{
		"/plan/1":   {card("card-0", "north"), card("card-1", "north"), card("card-2", "south"), card("card-3", "south")},
		"/freeze/1": {plain("plain-0"), plain("plain-1")},
	}
}

// sayUnderLoad starts a gateway in each of the halls and sends them 50 requests a second. It has the busiest
// endpoint announce something, and returns that endpoint, the time of the announcement, and a function that
// stops the requests.
func sayUnderLoad(t *testing.T, path string, halls []string, endpoints []*site.Endpoint, says site.Signals) (
	*fleet, *site.Endpoint, time.Time, func() map[int]int,
) {
	f := newFleetInHalls(t, halls, endpoints...)
	if path == "/plan/1" {
		f.waitForModel(endpoints)
	}
	stop := f.generateLoad(50, func() *http.Request { return f.streamRequest(path, 3) })
	e := f.busiest(endpoints)
	e.SetSignals(says)
	return f, e, time.Now(), stop
}

// requireMostServed checks that more than nine in ten requests were served.
func requireMostServed(t *testing.T, answers map[int]int) {
	t.Helper()
	total := 0
	for _, n := range answers {
		total += n
	}
	require.Greater(t, answers[http.StatusOK], total*9/10, "the other endpoints have room: %v", answers)
}

// An endpoint that refuses requests with a Retry-After delay gets at most site.RetryAfterSlack requests
// until the delay has passed. Guards against gateways that ignore the delay: two first endpoints refused all
// requests for nine seconds, each time with a Retry-After of three seconds. Each of five gateways still sent
// them a request every 0.25 to 0.5 s, eight within one backoff period where two are allowed: a refusal
// excluded an endpoint for 0.2 s, whatever it asked for, and a plain endpoint was used as a last resort even
// then. Each request logged "chain refused the request" twice, 2 ms apart, before the third endpoint served
// it. A gateway that reads the header logs "endpoint asks for rest" at each refusal.
func TestBackoffPeriodIsObserved(t *testing.T) {
	const backoff = 2 * time.Second
	for path, endpoints := range endpointsByPath() {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f, e, _, stop := sayUnderLoad(t, path, []string{"north"}, endpoints, site.Signals{RetryAfter: backoff})
			before := len(e.Arrived())
			f.eventually(func() bool { return len(e.Arrived()) > before })
			asked := e.Arrived()[before]
			f.eventually(func() bool { return time.Since(asked) > 2*backoff+time.Second })
			arrivals := e.Arrived()[before:]
			e.SetSignals(site.Signals{})
			f.eventually(func() bool { return len(e.Arrived()) > before+len(arrivals)+5 }) // it is used again
			answers := stop()
			require.LessOrEqual(t, site.MaxWithinBackoff(arrivals, backoff), site.RetryAfterSlack, "of %d", len(arrivals))
			requireMostServed(t, answers)
		})
	}
}

// An endpoint that is leaving says so in its answers, and a gateway may see that seconds before the record
// in the store shows it, or without such a record. Guards against sending it requests until then, because
// the gateway ignores the header.
func TestEndpointThatAnnouncesItsDepartureGetsNothingNew(t *testing.T) {
	for path, endpoints := range endpointsByPath() {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f, e, said, stop := sayUnderLoad(t, path, []string{"north"}, endpoints, site.Signals{Leaving: true})
			f.eventually(func() bool { return time.Since(said) > site.LeavingGrace+2*time.Second })
			requireMostServed(t, stop())
			last := e.Arrived()[len(e.Arrived())-1]
			require.Less(t, last.Sub(said), site.LeavingGrace)
		})
	}
}
