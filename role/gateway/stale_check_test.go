package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/chain"
	"github.com/grademill/grademill/port/runner"
	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
)

// slowReroute is a Control whose next order to move a request, once it is on, has a barrier and fails.
type slowReroute struct {
	runner.Control
	*barrier
	on *atomic.Bool
}

// Reroute implements runner.Control.
func (s slowReroute) Reroute(ctx context.Context, request string, to chain.Chain) error {
	if !s.on.Swap(false) {
		return s.Control.Reroute(ctx, request, to)
	}
	s.pass()
	return errors.New("no answer")
}

// Guards against a successor that the check of an attempt that has ended tries for the next attempt: it replaced that one
// without ending it, or used up the attempts of the route, and the stream stalled until its time limit.
func TestCheckOfEndedAttemptTriesNoSuccessor(t *testing.T) {
	t.Parallel()
	for name, stall := range map[string]func(w *fixture, second func() *site.Endpoint){
		"the next attempt stalls after an event": func(w *fixture, second func() *site.Endpoint) {
			w.site.NextModes(model, site.Hang)
			second()
		},
		"the next attempt stalls before an event": func(_ *fixture, second func() *site.Endpoint) { second().Silence() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, on := newBarrier(), new(atomic.Bool)
			release := sync.OnceFunc(func() { close(b.released) })
			cards := make([]*site.Endpoint, 6)
			for i := range cards {
				cards[i] = card(fmt.Sprint("card-", i), "north")
				cards[i].EventInterval = 20 * time.Millisecond
			}
			w := newFixtureWith(t, func(g *gateway.Gateway) { g.Runners = slowReroute{g.Runners, b, on} }, cards...)
			t.Cleanup(release) // also if the test fails, so that the gateway can end
			w.eventually(func() bool { return covered(cards, 3) })
			w.waitForLayers(cards...)
			const events = 100
			answer, r, later := w.startStream(cards, events)
			id := r.Header.Get("X-Request-Id")
			var first *site.Endpoint
			for _, c := range cards {
				if c.Ran(id) > 0 {
					first = c
				}
			}
			on.Store(true)
			later[0].Silence()
			await(t, b.reached) // the check of the first attempt
			stall(w, func() (second *site.Endpoint) {
				w.site.Stop(first)
				w.eventually(func() bool {
					for _, c := range cards {
						if c != first && c.Ran(id) > 0 {
							second = c
						}
					}
					return second != nil
				})
				return second
			})
			release()
			require.Equal(t, fullBody(events), w.readRest(answer))
			requireLayersInOrder(t, w)
		})
	}
}
