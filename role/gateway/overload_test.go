package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/decide/shedding"
	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
	"github.com/grademill/grademill/wire/gossip"
)

// crowd is a demand for the model at the other gateways of 1000 times their capacity.
var crowd = &gossip.ServiceLoad{
	Service: model, AdmittedMillis: 10_000, RefusedMillis: 9_990_000, Waiting: 1000, CapacityMillis: 10_000, Estimates: 1,
	Classes: []*gossip.ClassLoad{{Priority: 1, OfferedMillis: 10_000_000}},
}

// overloadedModel starts a fixture with an overload control and four cards that hold each layer twice.
func overloadedModel(t *testing.T, o gateway.Overload) (*fixture, []*site.Endpoint) {
	var cards []*site.Endpoint
	for i := range 4 {
		cards = append(cards, card(fmt.Sprint("card-", i), "north"))
		cards[i].EventInterval = 20 * time.Millisecond
	}
	w := newFixtureWith(t, func(g *gateway.Gateway) { g.Overload = o }, cards...)
	w.eventually(func() bool { return covered(cards, 2) })
	w.waitForLayers(cards...)
	w.eventually(func() bool { return w.do(w.streamRequest("/plan/1", 1)).StatusCode == http.StatusOK })
	return w, cards
}

// reportCrowd sends the gateway load reports on behalf of 400 gateways of another hall until the test ends.
// It returns once several have been sent.
func (w *fixture) reportCrowd() {
	const enough = 40
	var sent atomic.Int64
	socket, err := net.Dial("udp4", w.gateway.Address)
	require.NoError(w.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		due := time.NewTicker(20 * time.Millisecond)
		defer due.Stop()
		for number := uint64(1); ctx.Err() == nil; number++ {
			text, err := proto.Marshal(&gossip.Packet{Digest: &gossip.Digest{
				Gateway: "gateway-2", Hall: "south", Incarnation: 1, Number: number, Members: 400, EveryMillis: 300,
				Loads: []*gossip.ServiceLoad{crowd},
			}})
			if assert.NoError(w.t, err) {
				_, err = socket.Write(text)
				assert.NoError(w.t, err)
				sent.Add(1)
			}
			select {
			case <-ctx.Done():
			case <-due.C:
			}
		}
	}()
	w.t.Cleanup(func() {
		cancel()
		<-done
		_ = socket.Close()
	})
	w.eventually(func() bool { return sent.Load() >= enough })
}

// fleetAdmission is the overload control with the default shares.
var fleetAdmission = gateway.Overload{
	FleetAdmission: true,
	Policy:         shedding.Policy{MinShare: shedding.DefaultMinShare, ReturnShare: shedding.DefaultReturnShare},
}

// Load: other gateways report 1000 times the capacity. Guards against requests that wait although the fleet
// has no room for their class, against refusals without a delay or a reason in the log, and against
// requests that run although they were refused.
func TestRequestsAreShedByTheDemandOfTheFleet(t *testing.T) {
	t.Parallel()
	w, cards := overloadedModel(t, fleetAdmission)
	w.reportCrowd()
	w.waitForLog(`"message":"shedding level"`)
	refused := 0
	for range 40 {
		r := w.streamRequest("/plan/1", 2)
		answer := w.do(r)
		if answer.StatusCode == http.StatusOK {
			continue
		}
		refused++
		id := r.Header.Get("X-Request-Id")
		requireNotRun(t, answer, id, cards...)
		line := endLine(t, w, id)
		require.Contains(t, line, `"reason":"the fleet has no room for this class"`)
		require.Contains(t, line, `"outcome":"not run"`)
		require.Contains(t, line, `"sends":0`)
		require.Contains(t, line, `"waited_ms":0,`, "it is refused at once")
		require.Contains(t, line, `"come_back_ms"`)
	}
	require.GreaterOrEqual(t, refused, 30)
	require.Contains(t, w.log.String(), `"service":"assistant","open":false`)
	for range 20 { // a stream that another gateway began, and that its caller resumes here
		r := w.streamRequest("/plan/1", 6)
		r.Header.Set("Last-Event-Id", "3")
		answer := w.do(r)
		require.Equal(t, http.StatusOK, answer.StatusCode)
		require.Equal(t, fullBody(6)[len(fullBody(3)):], answer.body)
	}
}

// Guards against shedding and shares of room that act without their settings.
func TestNothingIsShedWithoutOverloadControl(t *testing.T) {
	t.Parallel()
	w, _ := overloadedModel(t, gateway.Overload{})
	w.reportCrowd()
	for range 60 {
		require.Equal(t, http.StatusOK, w.do(w.streamRequest("/plan/1", 2)).StatusCode)
	}
	require.Empty(t, w.gateway.Digest(time.Now(), nil, nil).GetLoads())
	require.NotContains(t, w.log.String(), "shedding level")
}

// Load: other gateways report 1000 times the capacity, so that this gateway has nearly no share of the free
// room. Guards against a stream that breaks off because its gateway has used up its share: a request that
// was sent already is not held up by it.
func TestSentRequestIsNotHeldUpByAUsedUpShare(t *testing.T) {
	t.Parallel()
	w, cards := overloadedModel(t, gateway.Overload{RoomShares: true})
	const events = 300
	answer, r, _ := w.startStream(cards, events)
	w.reportCrowd()
	w.eventually(func() bool { // what ended requests free may be used again, so these go on
		other, err := http.DefaultClient.Do(w.streamRequest("/once/1", 10*events))
		require.NoError(t, err)
		t.Cleanup(func() { _ = other.Body.Close() })
		return other.StatusCode == http.StatusServiceUnavailable
	})
	require.Contains(t, w.log.String(), `"reason":"no chain has room"`)
	for _, c := range cards {
		if c.Ran(r.Header.Get("X-Request-Id")) > 0 {
			c.Silence()
		}
	}
	require.Equal(t, fullBody(events), w.readRest(answer))
	require.Contains(t, endLine(t, w, r.Header.Get("X-Request-Id")), `"outcome":"served"`)
}

// Load: the only gateway fills all slots of the first endpoints at once. Guards against requests that wait for
// the next rounds of its shares although no other gateway can take the room.
func TestTheOnlyGatewayIsNotHeldUpByItsShares(t *testing.T) {
	t.Parallel()
	var cards []*site.Endpoint
	for i := range 4 {
		cards = append(cards, card(fmt.Sprint("card-", i), "north"))
		cards[i].Slots, cards[i].EventInterval = 3, 20*time.Millisecond
	}
	w := newFixtureWith(t, func(g *gateway.Gateway) { g.Overload = gateway.Overload{RoomShares: true} }, cards...)
	w.eventually(func() bool { return covered(cards, 2) })
	w.waitForLayers(cards...)
	w.eventually(func() bool { return w.do(w.streamRequest("/plan/1", 1)).StatusCode == http.StatusOK })
	var ids []string
	for range 5 { // of six slots: the first request may still hold one
		r := w.streamRequest("/plan/1", 60)
		answer, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		t.Cleanup(func() { _ = answer.Body.Close() })
		require.Equal(t, http.StatusOK, answer.StatusCode)
		ids = append(ids, r.Header.Get("X-Request-Id"))
	}
	for _, id := range ids {
		require.NotContains(t, endLine(t, w, id), `"crowded"`, "each search finds a chain")
	}
}
