package gateway_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
)

// Guards against a plan that does not reach the search for a chain. Two callers keep the slots of the
// gateway's hall in use, and there is always one free for the next request: without the plan, none goes
// to the other hall.
func TestHallSplitDirectsRequests(t *testing.T) {
	t.Parallel()
	var cards []*site.Endpoint
	for _, id := range []string{"n1", "n2", "n3", "n4", "s1", "s2", "s3", "s4"} {
		c := card(id, map[byte]string{'n': "north", 's': "south"}[id[0]])
		c.Slots = 1
		cards = append(cards, c)
	}
	north, south := cards[:4], cards[4:]
	split := func(g *gateway.Gateway) { g.Overload.HallSplit = true }
	w := newFixtureWith(t, split, cards...)
	// Without reports of others a gateway assumes that it is cut off, and leaves its division as it is.
	require.Eventually(t, w.startWith("gateway-2", w.site.StoreAddress, split).Ready, testTimeout, 2*time.Millisecond)
	w.eventually(func() bool { return covered(north, 2) && covered(south, 2) })
	w.waitForLayers(cards...)
	var stopped atomic.Bool
	var callers sync.WaitGroup
	for range 2 {
		callers.Go(func() {
			for !stopped.Load() {
				assert.Equal(t, http.StatusOK, w.do(w.streamRequest("/plan/1", 30)).StatusCode)
			}
		})
	}
	t.Cleanup(func() {
		stopped.Store(true)
		callers.Wait()
	})
	count := func(cards []*site.Endpoint) (n int) {
		for _, c := range cards {
			n += len(c.Seen())
		}
		return n
	}
	w.eventually(func() bool { return count(south) >= 5 })
	w.waitForLog(`"message":"hall split"`)
	require.Greater(t, count(north), count(south))
}
