package gateway_test

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/ingress"
	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
)

// slow is how far apart the events of a slow endpoint come: more than the wait after
// which a stream is looked after, less than its caller bears.
const slow = 400 * time.Millisecond

// newSlowModel starts a world with one chain of slow endpoints.
func newSlowModel(t *testing.T, change func(*gateway.Gateway)) (*world, []*site.Endpoint) {
	cards := []*site.Endpoint{card("card-0", "north"), card("card-1", "north")}
	for _, c := range cards {
		c.EventEvery = slow
	}
	w := newWorldWith(t, change, cards...)
	w.eventually(func() bool { return covered(cards, 1) })
	w.knows(cards...)
	return w, cards
}

// A stream whose events are late is not given up because its first endpoint has lost
// another request: the endpoint answers, and another try would only add to the load.
func TestOneLostRequestDoesNotEndOthers(t *testing.T) {
	t.Parallel()
	w, _ := newSlowModel(t, func(*gateway.Gateway) {})
	r := w.plan("/plan/1", 8)
	answer, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	done := make(chan string, 1)
	go func() {
		defer answer.Body.Close()          //nolint:errcheck // read to its end
		text, _ := io.ReadAll(answer.Body) // a stream that breaks is not whole
		done <- string(text)
	}()
	for range 3 { // each is broken off after its first event
		w.site.Next(model, site.Cut)
		w.do(w.plan("/once/1", 4))
	}
	require.Equal(t, whole(8), <-done)
	line := usesOf(t, w, r.Header.Get("X-Request-Id"))
	require.Contains(t, line, `"sends":1,`)
}

// Where the retry budget is used up, or no other chain is there, a stream is not given
// up when a part of its chain is lost: the part may come back.
func TestStreamWaitsWhereNoOtherTryCanFollow(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*gateway.Gateway){
		"no budget":      func(g *gateway.Gateway) { g.RetryShare, g.RetryReserve = 0, 0 },
		"no other chain": func(*gateway.Gateway) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var cards []*site.Endpoint
			for i := range 2 {
				cards = append(cards, card(fmt.Sprint("card-", i), "north"))
				cards[i].ReportLag = patience
			}
			w := newWorldWith(t, change, cards...)
			w.eventually(func() bool { return covered(cards, 1) })
			w.knows(cards...)
			answer, r, later := w.mid(cards, 200)
			later[0].Kill()
			w.logged("whether a try is left for another")
			later[0].Revive()
			require.Equal(t, whole(200), w.rest(answer))
			require.Contains(t, usesOf(t, w, r.Header.Get("X-Request-Id")), `"sends":1,`)
		})
	}
}

// A send that never arrived is no retry when the request is sent again.
func TestSendThatDidNotArriveIsNotChargedToTheBudget(t *testing.T) {
	t.Parallel()
	gone := plain("plain-1")
	gone.Public = freePort(t) // nothing listens there
	far := plain("plain-2")
	far.Hall = "south" // so that the other one is tried first
	w := newWorldWith(t, func(g *gateway.Gateway) { g.RetryShare, g.RetryReserve = 0, 0 }, gone, far)
	w.logged(`"endpoint":"plain-2"`)
	w.logged(`"endpoint":"plain-1"`)
	for range 8 {
		require.Equal(t, http.StatusOK, w.do(w.request("POST", "/freeze/1", "x")).StatusCode)
	}
	require.Contains(t, w.log.String(), `"sends":2,`)
}

// An order does not wait for streams that are lost already: their first endpoint has
// ended, and the endpoints after it hold room for them in vain.
func TestOrderDoesNotWaitForLostStreams(t *testing.T) {
	t.Parallel()
	var cards []*site.Endpoint
	for i := range 4 {
		cards = append(cards, card(fmt.Sprint("card-", i), "north"))
	}
	w := newWorldWith(t, func(g *gateway.Gateway) { g.RetryShare, g.RetryReserve = 0, 0 }, cards...)
	w.eventually(func() bool { return covered(cards, 2) })
	w.knows(cards...)
	used := make(map[*site.Endpoint]bool)
	for len(used) < len(cards) { // until each of them works for a stream
		answer, _, later := w.mid(cards, 4000)
		defer answer.Body.Close() //nolint:errcheck // the stream is lost
		for _, c := range later {
			used[c] = true
		}
		for _, c := range cards {
			if c.Running() > 0 {
				used[c] = true
			}
		}
	}
	for _, c := range cards {
		if from, _ := c.Layers(); from == 0 {
			c.Kill()
		}
	}
	order := regexp.MustCompile(`"held":"\[[1-9].*"cut":(true|false),"result":"taken"`)
	w.eventually(func() bool { return order.MatchString(w.log.String()) })
	require.Equal(t, "true", order.FindStringSubmatch(w.log.String())[1])
}

// An endpoint that has ended does not count as one of those that a request may be sent
// to: a stream that loses its first endpoint twice goes on at a third one.
func TestEndedEndpointsAreNoTries(t *testing.T) {
	t.Parallel()
	var cards []*site.Endpoint
	for i := range 6 {
		cards = append(cards, card(fmt.Sprint("card-", i), "north"))
	}
	w := newWorld(t, cards...)
	w.eventually(func() bool { return covered(cards, 3) })
	w.knows(cards...)
	answer, r, _ := w.mid(cards, 400) // the route allows two endpoints
	id := r.Header.Get("X-Request-Id")
	var killed []*site.Endpoint
	for range 2 {
		var at *site.Endpoint
		w.eventually(func() bool {
			for _, c := range cards {
				if c.Running() > 0 && !slices.Contains(killed, c) {
					at = c
				}
			}
			return at != nil
		})
		w.site.Stop(at)
		killed = append(killed, at)
	}
	require.Equal(t, whole(400), w.rest(answer))
	require.Contains(t, usesOf(t, w, id), `"sends":3,`)
}

// An endpoint that is only silent does count: this gateway may be too slow to hear it, and
// the request may go on there.
func TestSilentEndpointsAreTries(t *testing.T) {
	t.Parallel()
	var cards []*site.Endpoint
	for i := range 6 {
		cards = append(cards, card(fmt.Sprint("card-", i), "north"))
	}
	w := newWorld(t, cards...)
	w.eventually(func() bool { return covered(cards, 3) })
	w.knows(cards...)
	answer, r, _ := w.mid(cards, 400) // the route allows two endpoints
	defer answer.Body.Close()         //nolint:errcheck // the stream is lost
	var killed []*site.Endpoint
	for range 2 {
		var at *site.Endpoint
		w.eventually(func() bool {
			for _, c := range cards {
				if c.Running() > 0 && !slices.Contains(killed, c) {
					at = c
				}
			}
			return at != nil
		})
		at.Kill()
		killed = append(killed, at)
	}
	w.logged(`"address":"` + killed[1].Address() + `","error"`)
	time.Sleep(500 * time.Millisecond) // some further looks
	seen := 0
	for _, c := range cards {
		for _, one := range c.Seen() {
			if one.Header.Get("X-Request-Id") == r.Header.Get("X-Request-Id") {
				seen++
			}
		}
	}
	require.Equal(t, 2, seen)
}

// A request may lie unread in a process that has no time, until its caller has left. It is sent to
// no endpoint then, also when the process has not yet read that the connection was closed: it was
// sent on up to 0.8 s after the caller had closed it.
func TestRequestWhoseCallerLeftUnreadIsNotSent(t *testing.T) {
	t.Parallel()
	e := plain("a")
	w := newWorld(t, e)
	served := make(chan struct{})
	late := func(rw http.ResponseWriter, r *http.Request) {
		defer close(served)
		w.eventually(func() bool { return ingress.Left(r.Context()) })
		w.gateway.ServeHTTP(rw, r.WithContext(context.WithoutCancel(r.Context()))) // as if it had not been read
	}
	server := &ingress.Server{
		Address: freePort(t), Handler: http.HandlerFunc(late), ErrorLog: stdlog.New(io.Discard, "", 0),
		Limits: func() ingress.Limits { return ingress.Limits{} },
	}
	require.NoError(t, server.Listen(make(chan error, 1)))
	t.Cleanup(server.Stop)
	c, err := net.Dial("tcp", server.Address)
	require.NoError(t, err)
	w.target = "http://" + server.Address
	require.NoError(t, w.request("POST", "/renew/1", "x").Write(c))
	require.NoError(t, c.Close())
	<-served
	w.logged(`"outcome":"caller left"`)
	require.Empty(t, e.Seen())
}
