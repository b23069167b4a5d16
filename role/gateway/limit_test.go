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

// newCrowd starts so many gateways before endpoints, each in a hall, by the number of the gateway.
func newCrowd(t *testing.T, halls []string, endpoints ...*site.Endpoint) *flock {
	in := func(i int) func(*gateway.Gateway) {
		return func(g *gateway.Gateway) { g.Hall = halls[i] }
	}
	f := &flock{world: newWorldWith(t, in(0), endpoints...)}
	f.targets = append(f.targets, f.target)
	for i := 1; i < len(halls); i++ {
		g := f.startWith(fmt.Sprint("gateway-", i+1), f.site.StoreAddress, in(i))
		f.eventually(g.Ready)
		f.targets = append(f.targets, f.serve(g))
	}
	f.eventually(func() bool { return len(f.site.Store.Keys("grademill/gateways/")) == len(halls) })
	return f
}

// press sends a request to each gateway in turn, so many times a second, until stop is called, which
// returns how many were answered by their status.
func (f *flock) press(perSecond int, request func() *http.Request) (stop func() map[int]int) {
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
			r := f.aim(request(), i)
			group.Go(func() {
				answer, err := http.DefaultClient.Do(r)
				if !assert.NoError(f.t, err) {
					return
				}
				_, _ = io.Copy(io.Discard, answer.Body) // a broken answer shows in its status
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
	f.t.Cleanup(func() { stop() }) // before the gateways end, when the test fails
	return stop
}

// aim has a request go to one of the gateways in turn.
func (f *flock) aim(r *http.Request, turn int) *http.Request {
	r.URL.Host = f.targets[turn%len(f.targets)][len("http://"):]
	return r
}

// settled waits until all that the endpoints of a model hold is in force at the gateways, so that these
// choose by it from then on.
func (f *flock) settled(endpoints []*site.Endpoint) {
	f.t.Helper()
	f.eventually(func() bool { return covered(endpoints, 2) })
	f.knows(endpoints...)
	f.eventually(func() bool { return f.do(f.plan("/plan/1", 1)).StatusCode == http.StatusOK })
}

// limited checks that an endpoint that named a limit got no more than it allows, and something.
func limited(t *testing.T, e *site.Endpoint, limit float64) {
	t.Helper()
	require.False(t, e.NamedAt().IsZero(), "it has named its limit")
	var later []time.Time
	for _, at := range e.Arrived() {
		if at.After(e.NamedAt().Add(site.LimitHeard)) {
			later = append(later, at)
		}
	}
	require.NotEmpty(t, later, "it gets a part of what it takes")
	require.LessOrEqual(t, site.MostWithin(later, site.LimitSpan), site.Allowed(limit))
}

// An endpoint that was in need named a limit of 3.8 requests a second, and went on to get 10 to 16 a
// second from five gateways, 42 within four seconds where 28 are allowed. No gateway read what endpoints
// say of themselves: the endpoint got as much after its word as before it, and turned nothing away, so
// that nothing else told of its need. With the header read, each gateway's log said "endpoint changes its
// limit" within 0.2 s, at 122 requests in four seconds.
func TestLimitOfAnEndpointIsKeptByAllTogether(t *testing.T) {
	const limit = 3.8
	halls := []string{"north", "north", "north", "south", "south"}
	for path, endpoints := range spoken() {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f, inNeed, _, stop := speak(t, path, halls, endpoints, site.Says{Limit: limit})
			f.eventually(func() bool { return !inNeed.NamedAt().IsZero() })
			named := inNeed.NamedAt()
			f.eventually(func() bool { return time.Since(named) > site.LimitHeard+site.LimitSpan+time.Second })
			answers := stop()
			limited(t, inNeed, limit)
			servedAll(t, answers)
		})
	}
}

// busiest returns the endpoint that first got twenty requests.
func (f *flock) busiest(endpoints []*site.Endpoint) *site.Endpoint {
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

// Most gateways of a large fleet send an endpoint nothing while it is in need, and others tell them of the
// limit and of its end.
func TestLimitIsHeardOfFromAnotherGateway(t *testing.T) {
	endpoints := []*site.Endpoint{plain("plain-0"), plain("plain-1")}
	f := newCrowd(t, []string{"north", "south"}, endpoints...)
	f.targets = f.targets[:1]
	stop := f.press(50, func() *http.Request { return f.plan("/freeze/1", 3) })
	inNeed := f.busiest(endpoints)
	inNeed.Say(site.Says{Limit: 3.8})
	f.logged(fmt.Sprintf(`"process":"gateway-2","endpoint":%q,"limit_per_s":3.8`, inNeed.ID))
	inNeed.Say(site.Says{})
	f.logged(fmt.Sprintf(`"process":"gateway-2","endpoint":%q,"limit_per_s":0`, inNeed.ID))
	stop()
	require.Contains(t, f.log.String(), `"relays":1`)
}

// Where no other endpoint is there, a caller whose turn cannot come in time is told so at once, and when to
// come back, while the endpoint gets what it takes.
func TestWhatALimitHoldsOffIsRefusedAtOnce(t *testing.T) {
	const limit, burst = 4.0, 30
	only := plain("plain-0")
	w := newWorld(t, only)
	only.Say(site.Says{Limit: limit})
	require.Equal(t, http.StatusOK, w.do(w.request("POST", "/freeze/0", "x")).StatusCode)
	w.logged(`"limit_per_s":4`)
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
	require.Zero(t, unexplained, "each refusal names the endpoint, and nothing was sent")
	require.LessOrEqual(t, len(only.Arrived()), burst-refused+1)
}
