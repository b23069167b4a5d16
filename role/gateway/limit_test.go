package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
)

// newFleetInHalls starts one gateway in each of the halls in front of the endpoints.
func newFleetInHalls(t *testing.T, halls []string, endpoints ...*site.Endpoint) *fleet {
	return newFleetWith(t, gateway.Overload{}, halls, endpoints...)
}

// newFleetWith is newFleetInHalls with an overload control.
func newFleetWith(t *testing.T, o gateway.Overload, halls []string, endpoints ...*site.Endpoint) *fleet {
	in := func(i int) func(*gateway.Gateway) {
		return func(g *gateway.Gateway) { g.Hall, g.Overload = halls[i], o }
	}
	f := &fleet{fixture: newFixtureWith(t, in(0), endpoints...)}
	f.targets = append(f.targets, f.target)
	for i := 1; i < len(halls); i++ {
		g := f.startWith(fmt.Sprint("gateway-", i+1), f.site.StoreAddress, in(i))
		f.eventually(g.Ready)
		f.targets = append(f.targets, f.serve(g))
	}
	f.eventually(func() bool { return len(f.site.Store.Keys("grademill/gateways/")) == len(halls) })
	return f
}

// generateLoad sends perSecond requests a second to the gateways in turn until stop is called, which returns
// the number of answers by status.
func (f *fleet) generateLoad(perSecond int, request func() *http.Request) (stop func() map[int]int) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var group sync.WaitGroup
	answers := map[int]int{}
	group.Go(func() {
		due := time.NewTicker(time.Second / time.Duration(perSecond))
		defer due.Stop()
		for i := 0; ctx.Err() == nil; i++ {
			select {
			case <-ctx.Done():
				return
			case <-due.C:
			}
			r := f.roundRobin(request(), i)
			group.Go(func() {
				answer, err := http.DefaultClient.Do(r)
				if !assert.NoError(f.t, err) {
					return
				}
				_, _ = io.Copy(io.Discard, answer.Body) // only the status counts
				_ = answer.Body.Close()
				mu.Lock()
				defer mu.Unlock()
				answers[answer.StatusCode]++
			})
		}
	})
	stop = func() map[int]int {
		cancel()
		group.Wait()
		return answers
	}
	f.t.Cleanup(func() { stop() }) // if the test fails, ends the load before the gateways
	return stop
}

// roundRobin directs a request to the gateway at index, modulo the number of gateways.
func (f *fleet) roundRobin(r *http.Request, index int) *http.Request {
	r.URL.Host = f.targets[index%len(f.targets)][len("http://"):]
	return r
}

// waitForModel waits until the gateways know all layers that the endpoints of a model hold, and so choose by
// them.
func (f *fleet) waitForModel(endpoints []*site.Endpoint) {
	f.t.Helper()
	f.eventually(func() bool { return covered(endpoints, 2) })
	f.waitForLayers(endpoints...)
	f.eventually(func() bool { return f.do(f.streamRequest("/plan/1", 1)).StatusCode == http.StatusOK })
}

// requireLimitKept checks that an endpoint got requests after stating a limit, and no more than the limit
// allows.
func requireLimitKept(t *testing.T, e *site.Endpoint, limit float64) {
	t.Helper()
	require.False(t, e.LimitSentAt().IsZero(), "it has stated its limit")
	var later []time.Time
	for _, at := range e.Arrived() {
		if at.After(e.LimitSentAt().Add(site.LimitGrace)) {
			later = append(later, at)
		}
	}
	require.NotEmpty(t, later, "it still gets requests")
	require.LessOrEqual(t, site.MaxWithin(later, site.LimitSpan), site.Allowed(limit))
}

// All gateways together keep the limit that an endpoint states. Guards against gateways that ignore the
// limit: an overloaded endpoint stated 3.8 requests a second, but still got 10 to 16 a second from five
// gateways: 42 within four seconds, where 28 are allowed. The gateways did not read the header with the
// limit, and since the endpoint refused nothing, they had no other sign of its overload. In this test, an
// endpoint whose limit is ignored gets 122 requests in four seconds. Once a gateway reads the header, it
// logs "endpoint changes its limit" within 0.2 s.
func TestGatewaysKeepALimitTogether(t *testing.T) {
	const limit = 3.8
	halls := []string{"north", "north", "north", "south", "south"}
	for path, endpoints := range endpointsByPath() {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f, overloaded, _, stop := sayUnderLoad(t, path, halls, endpoints, site.Signals{Limit: limit})
			f.eventually(func() bool { return !overloaded.LimitSentAt().IsZero() })
			named := overloaded.LimitSentAt()
			f.eventually(func() bool { return time.Since(named) > site.LimitGrace+site.LimitSpan+time.Second })
			answers := stop()
			requireLimitKept(t, overloaded, limit)
			requireMostServed(t, answers)
		})
	}
}

// busiest returns the first endpoint that has got twenty requests.
func (f *fleet) busiest(endpoints []*site.Endpoint) *site.Endpoint {
	f.t.Helper()
	var most *site.Endpoint
	f.eventually(func() bool {
		for _, e := range endpoints {
			if len(e.Arrived()) >= 20 {
				most = e
			}
		}
		return most != nil
	})
	return most
}

// Most gateways of a large fleet send no requests to an overloaded endpoint. Others report its limit to
// them, and the end of the limit.
func TestLimitIsReportedByAnotherGateway(t *testing.T) {
	endpoints := []*site.Endpoint{plain("plain-0"), plain("plain-1")}
	f := newFleetInHalls(t, []string{"north", "south"}, endpoints...)
	f.targets = f.targets[:1]
	stop := f.generateLoad(50, func() *http.Request { return f.streamRequest("/freeze/1", 3) })
	overloaded := f.busiest(endpoints)
	overloaded.SetSignals(site.Signals{Limit: 3.8})
	f.waitForLog(fmt.Sprintf(`"process":"gateway-2","endpoint":%q,"limit_per_s":3.8`, overloaded.ID))
	overloaded.SetSignals(site.Signals{})
	f.waitForLog(fmt.Sprintf(`"process":"gateway-2","endpoint":%q,"limit_per_s":0`, overloaded.ID))
	stop()
	require.Contains(t, f.log.String(), `"relays":1`)
}

// If there is no other endpoint, a caller whose request cannot be sent in time is refused at once with a
// Retry-After delay, while the endpoint gets as many requests as it accepts.
func TestRequestsBeyondALimitAreRefusedAtOnce(t *testing.T) {
	const limit, burst = 4.0, 30
	only := plain("plain-0")
	w := newFixture(t, only)
	only.SetSignals(site.Signals{Limit: limit})
	require.Equal(t, http.StatusOK, w.do(w.request("POST", "/freeze/0", "x")).StatusCode)
	w.waitForLog(`"limit_per_s":4`)
	var group sync.WaitGroup
	for range burst {
		r := w.request("POST", "/freeze/1", "x")
		group.Go(func() {
			answer, err := http.DefaultClient.Do(r)
			if assert.NoError(t, err) {
				_ = answer.Body.Close()
				assert.True(t, answer.StatusCode == http.StatusOK || answer.Header.Get("Retry-After") != "", answer.Status)
			}
		})
	}
	group.Wait()
	w.eventually(func() bool { return strings.Count(w.log.String(), "request ended") > burst })
	unexplained, refused := 0, 0
	for _, line := range strings.Split(w.log.String(), "\n") {
		if strings.Contains(line, `"outcome":"not run"`) {
			refused++
			if !strings.Contains(line, `"sends":0`) || !strings.Contains(line, `"held":["plain-0 limit`) {
				unexplained++
			}
		}
	}
	require.Greater(t, refused, burst*3/4)
	require.Zero(t, unexplained, "each refusal names the endpoint, and no request was sent")
	require.LessOrEqual(t, len(only.Arrived()), burst-refused+1)
}
