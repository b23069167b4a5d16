package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
)

// servedAt sends requests at a rate for a while, each on a new connection to one of the given gateways in turn, and
// returns the share that is served.
func (f *fleet) servedAt(targets []string, perSecond int, duration time.Duration, request func() *http.Request) float64 {
	f.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var group sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	due := time.NewTicker(time.Second / time.Duration(perSecond))
	defer due.Stop()
	for over := time.Now().Add(duration); time.Now().Before(over); sent++ {
		r := request()
		r.URL.Host = targets[sent%len(targets)][len("http://"):]
		group.Go(func() {
			answer, err := client.Do(r)
			if !assert.NoError(f.t, err) {
				return
			}
			_, err = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			if answer.StatusCode == http.StatusOK && err == nil {
				served++
			}
		})
		<-due.C
	}
	group.Wait()
	return float64(served) / float64(sent)
}

// For some seconds most new connections may lead to one gateway. It serves nearly as many of its requests as all gateways
// did before, at two thirds of what the endpoints can run: the others leave it what they do not use.
func TestMostNewConnectionsAtOneGateway(t *testing.T) {
	t.Parallel()
	for name, overload := range map[string]gateway.Overload{
		"without overload control": {}, "with overload control": {RoomShares: true, FleetAdmission: true, HallSplit: true, Policy: fleetAdmission.Policy},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var cards []*site.Endpoint
			for i := range 6 {
				cards = append(cards, card(fmt.Sprint("endpoint-", i), "north"))
				cards[i].Slots, cards[i].EventInterval = 8, 20*time.Millisecond
			}
			f := newFleetWith(t, overload, []string{"north", "north", "north", "north"}, cards...)
			f.waitForModel(cards)
			f.waitForLayers(cards...)
			first := 0
			for _, c := range cards {
				if from, to := c.Layers(); from == 0 && to > 0 {
					first++
				}
			}
			const events, perStream = 30, 0.6 // seconds
			perSecond := int(float64(first*8) / perStream * 2 / 3)
			request := func() *http.Request { return f.streamRequest("/plan/1", events) }
			before := f.servedAt(f.targets, perSecond, 4*time.Second, request)
			f.servedAt(f.targets[:1], perSecond, contactTime, request)
			after := f.servedAt(f.targets[:1], perSecond, 4*time.Second, request)
			t.Logf("%d first endpoints, %d requests a second: %.3f served before, %.3f after", first, perSecond, before, after)
			require.Greater(t, before, 0.9)
			require.GreaterOrEqual(t, after, 0.75*before)
			requireLayersInOrder(t, f.fixture)
		})
	}
}
