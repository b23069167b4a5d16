package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
)

// barrier stops the first goroutine that passes it until it is released.
type barrier struct {
	once              sync.Once
	reached, released chan struct{}
}

func newBarrier() *barrier {
	return &barrier{reached: make(chan struct{}), released: make(chan struct{})}
}

func (b *barrier) pass() {
	b.once.Do(func() {
		close(b.reached)
		<-b.released
	})
}

// stopAtRetry is a Meter with a barrier after a retry was taken for another attempt beside one that goes on.
type stopAtRetry struct {
	gateway.Meter
	*barrier
}

// Retry implements gateway.Meter.
func (s stopAtRetry) Retry(cause string) {
	s.Meter.Retry(cause)
	if cause == "left" {
		s.pass()
	}
}

// stopAtAbandon is a log hook with a barrier where another attempt is about to be made.
type stopAtAbandon struct{ *barrier }

// Run implements zerolog.Hook.
func (s stopAtAbandon) Run(_ *zerolog.Event, _ zerolog.Level, message string) {
	if message == "whether a try is left for another" {
		s.pass()
	}
}

// newModelWith starts a fixture like newModel after applying change to its gateway.
func newModelWith(t *testing.T, change func(*gateway.Gateway)) (*fixture, []*site.Endpoint) {
	var cards []*site.Endpoint
	for i := range 4 {
		cards = append(cards, card(fmt.Sprint("card-", i), "north"))
	}
	w := newFixtureWith(t, change, cards...)
	w.eventually(func() bool { return covered(cards, 2) })
	w.waitForLayers(cards...)
	w.eventually(func() bool { return w.do(w.streamRequest("/plan/1", 1)).StatusCode == http.StatusOK })
	return w, cards
}

// disconnects returns the number of requests whose caller left while they ran.
func disconnects(cards []*site.Endpoint) int {
	n := 0
	for _, c := range cards {
		n += c.Disconnects()
	}
	return n
}

// oneRetry is the reserve of which a gateway that knows no other one may use a single retry: it
// assumes a fleet of five.
const oneRetry = 6

// A retry that was taken from the budget for a further attempt is given back if the caller leaves
// before that attempt is sent. The budget has one retry here: a stream that breaks later is cut
// unless it was given back.
func TestRetryThatIsNotSentIsGivenBack(t *testing.T) {
	t.Parallel()
	for name, install := range map[string]func(*gateway.Gateway, *barrier){
		"the attempt has ended":         func(g *gateway.Gateway, b *barrier) { g.Meter = stopAtRetry{g.Meter, b} },
		"the reserved chain is dropped": func(g *gateway.Gateway, b *barrier) { g.Log = g.Log.Hook(stopAtAbandon{b}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBarrier()
			release := sync.OnceFunc(func() { close(b.released) })
			w, cards := newModelWith(t, func(g *gateway.Gateway) {
				g.RetryShare, g.RetryReserve, g.RetryWindow = 0, oneRetry, time.Hour
				install(g, b)
			})
			t.Cleanup(release) // also if the test fails, so that the gateway can end
			w.site.NextModes(model, site.Hang)
			answer, r, _ := w.startStream(cards, 8)
			await(t, b.reached)
			require.NoError(t, answer.Body.Close())
			w.eventually(func() bool { return disconnects(cards) > 0 }) // the gateway has noticed that the caller has left
			release()
			endLine(t, w, r.Header.Get("X-Request-Id"))
			w.site.NextModes(model, site.Cut)
			later := w.do(w.streamRequest("/plan/1", 8))
			require.False(t, later.cut, "the retry was not given back")
			require.Equal(t, fullBody(8), later.body)
		})
	}
}

// slowLimit is a limit in requests per second of which a gateway that knows no other one gets a
// fifth, so that tests have time for several steps between two requests. limitWait is longer than
// the time between them.
const (
	slowLimit = 1
	limitWait = 6 * time.Second
)

// A place in the limit of an endpoint is given back if the reservation for which it was taken is
// dropped, here because the retry budget is used up. Otherwise a stream that waits would use up the
// limit of an endpoint to which it sends nothing.
func TestPlaceOfADroppedReservationIsGivenBack(t *testing.T) {
	t.Parallel()
	w, cards := newModelWith(t, func(g *gateway.Gateway) { g.RetryShare, g.RetryReserve = 0, 0 })
	var entries []*site.Endpoint
	for _, c := range cards {
		if from, _ := c.Layers(); from == 0 {
			c.SetSignals(site.Signals{Limit: slowLimit})
			entries = append(entries, c)
		}
	}
	require.Len(t, entries, 2)
	for range entries {
		require.Equal(t, http.StatusOK, w.do(w.streamRequest("/plan/1", 1)).StatusCode)
	}
	for _, c := range entries {
		w.waitForLog(fmt.Sprintf(`"endpoint":%q,"limit_per_s":%v`, c.ID, slowLimit))
	}
	time.Sleep(limitWait) // until each entry accepts one request
	w.site.NextModes(model, site.Hang)
	answer, _, _ := w.startStream(cards, 8) // uses the limit of one entry
	defer answer.Body.Close()               //nolint:errcheck // the stream does not end
	w.waitForLog(`"shortage":"the retry budget is used up"`)
	require.Equal(t, http.StatusOK, w.do(w.streamRequest("/plan/1", 1)).StatusCode, "the other entry accepts a request")
}

// The same holds for a plain service.
func TestPlaceOfARefusedRetryIsGivenBack(t *testing.T) {
	t.Parallel()
	w, limited, failing := newLimitedPlain(t, func(g *gateway.Gateway) { g.RetryShare, g.RetryReserve = 0, 0 })
	w.site.NextModes(records, site.Lose)
	refused := w.do(w.request("POST", "/freeze/1", "x"))
	require.Equal(t, http.StatusBadGateway, refused.StatusCode)
	require.Contains(t, refused.body, "the retry budget is used up")
	w.site.Withdraw(failing)
	var r *http.Request
	w.eventually(func() bool { // until the gateway knows that the other endpoint has gone
		r = w.request("POST", "/freeze/1", "x")
		w.do(r)
		return failing.Ran(r.Header.Get("X-Request-Id")) == 0
	})
	require.Equal(t, 1, limited.Ran(r.Header.Get("X-Request-Id")), "the limited endpoint accepts a request")
}

// Guards against a place and a retry that are lost when the caller leaves while its request goes to another endpoint:
// both are there only once, and a later request needs them.
func TestPlaceTakenForACallerThatLeftIsGivenBack(t *testing.T) {
	t.Parallel()
	b := newBarrier()
	release := sync.OnceFunc(func() { close(b.released) })
	w, limited, hanging := newLimitedPlain(t, func(g *gateway.Gateway) {
		g.RetryShare, g.RetryReserve, g.RetryWindow = 0, oneRetry, time.Hour
		g.Meter = stopAtRetry{g.Meter, b}
	})
	t.Cleanup(release) // also if the test fails, so that the gateway can end
	w.site.NextModes(records, site.Hang)
	c := w.dialIngress(w.gateway)
	r := w.request("POST", "/freeze/1", "x")
	require.NoError(t, r.Write(c))
	await(t, b.reached)
	require.NoError(t, c.Close())
	w.eventually(func() bool { return hanging.Disconnects() == 1 })
	release()
	require.Contains(t, endLine(t, w, r.Header.Get("X-Request-Id")), `"outcome":"caller left"`)
	w.site.NextModes(records, site.Lose)
	later := w.request("POST", "/freeze/1", "x")
	require.Equal(t, http.StatusOK, w.do(later).StatusCode)
	require.Equal(t, 1, limited.Ran(later.Header.Get("X-Request-Id")), "the limited endpoint accepts a request")
}

// newLimitedPlain starts a fixture like newFixtureWith with two plain endpoints: one whose limit has room for one request,
// and one without a limit that is preferred.
func newLimitedPlain(t *testing.T, change func(*gateway.Gateway)) (w *fixture, limited, preferred *site.Endpoint) {
	limited, preferred = plain("plain-limited"), plain("plain-preferred")
	limited.Hall = "south"
	w = newFixtureWith(t, change, limited)
	limited.SetSignals(site.Signals{Limit: slowLimit})
	w.eventually(func() bool { return w.do(w.request("POST", "/freeze/1", "x")).StatusCode == http.StatusOK })
	w.waitForLog(fmt.Sprintf(`"endpoint":%q,"limit_per_s":%v`, limited.ID, slowLimit))
	require.NoError(t, w.site.Start(preferred))
	w.eventually(func() bool {
		r := w.request("POST", "/freeze/1", "x")
		w.do(r)
		return preferred.Ran(r.Header.Get("X-Request-Id")) > 0
	})
	time.Sleep(limitWait) // until the limited endpoint accepts one request
	return w, limited, preferred
}
