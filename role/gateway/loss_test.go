package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/adapter/probe"
	"github.com/grademill/grademill/port/runner"
	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
	"github.com/grademill/grademill/wire/gossip"
)

// A part that has died is found by asking it, before a report of the endpoints
// before it tells of it: those lag, and a caller bears only a short pause.
func TestDeadPartIsFoundBeforeReportsTellOfIt(t *testing.T) {
	t.Parallel()
	var cards []*site.Endpoint
	for i := range 4 {
		cards = append(cards, card(fmt.Sprint("card-", i), "north"))
		cards[i].ReportLag = patience
	}
	w := newWorld(t, cards...)
	w.eventually(func() bool { return covered(cards, 2) })
	w.knows(cards...)
	answer, r, later := w.mid(cards, 200)
	later[0].Kill()
	require.Equal(t, whole(200), w.rest(answer))
	require.Contains(t, usesOf(t, w, r.Header.Get("X-Request-Id")), "moved: ")
	layersHold(t, w)
}

// What another gateway says of an endpoint that it cannot reach is checked: that
// gateway may be the one that is cut off.
func TestWordOfADownEndpointIsChecked(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	text, err := proto.Marshal(&gossip.Packet{Digest: &gossip.Digest{
		Gateway: "gateway-2", Incarnation: 1, Number: 1, Uses: []*gossip.Use{{Endpoint: "card-0", Down: 1}},
	}})
	require.NoError(t, err)
	socket, err := net.Dial("udp4", w.gateway.Address)
	require.NoError(t, err)
	defer socket.Close() //nolint:errcheck // a test's socket
	cards[0].Kill()
	w.eventually(func() bool {
		_, err := socket.Write(text)
		return err == nil && strings.Contains(w.log.String(), `"endpoint":"card-0","address":"`+cards[0].Address()+`","error"`)
	})
	require.NotContains(t, w.log.String(), `"endpoint":"card-1","address":"`+cards[1].Address()+`","error"`)
}

// lose tells the gateway that an endpoint gives another one no answer.
func (w *world) lose(from, endpoint string) {
	text, err := proto.Marshal(&gossip.Packet{Loss: &gossip.Loss{Gateway: from, Endpoint: endpoint}})
	require.NoError(w.t, err)
	socket, err := net.Dial("udp4", w.gateway.Address)
	require.NoError(w.t, err)
	defer socket.Close() //nolint:errcheck // a test's socket
	_, err = socket.Write(text)
	require.NoError(w.t, err)
}

// By the word of two other gateways an endpoint gets nothing new; by that of one alone it
// does, since that one may be cut off.
func TestWordOfTwoGatewaysIsBelieved(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	answer, _, later := w.mid(cards, 20)
	w.rest(answer)
	part := later[0]
	for range 5 {
		w.lose("gateway-2", part.ID)
	}
	believed := `"endpoint":"` + part.ID + `","address":"` + part.Address() + `","witnesses":2`
	served := func() bool {
		r := w.plan("/plan/1", 1)
		require.Equal(t, http.StatusOK, w.do(r).StatusCode)
		return strings.Contains(usesOf(t, w, r.Header.Get("X-Request-Id")), part.Address()+"[")
	}
	w.eventually(served)
	require.NotContains(t, w.log.String(), believed)
	w.eventually(func() bool { // datagrams may be lost
		w.lose("gateway-2", part.ID)
		w.lose("gateway-3", part.ID)
		return strings.Contains(w.log.String(), believed)
	})
	w.eventually(func() bool { // it is used again only once it has answered a check of the gateway's own
		w.lose("gateway-2", part.ID)
		w.lose("gateway-3", part.ID)
		used := served()
		contradicted := strings.Contains(w.log.String(), "endpoint answers, against the word of others")
		require.True(t, !used || contradicted)
		return used
	})
}

// An endpoint that others cannot reach is used by a gateway that can: its own check
// contradicts them.
func TestOwnCheckContradictsOthers(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	answer, _, later := w.mid(cards, 20)
	w.rest(answer)
	part := later[0]
	believed, used := false, 0
	w.eventually(func() bool {
		w.lose("gateway-2", part.ID)
		w.lose("gateway-3", part.ID)
		r := w.plan("/plan/1", 1)
		require.Equal(t, http.StatusOK, w.do(r).StatusCode)
		believed = believed || strings.Contains(w.log.String(), "by the word of others")
		if believed && strings.Contains(usesOf(t, w, r.Header.Get("X-Request-Id")), part.Address()+"[") {
			used++
		}
		return used >= 5
	})
}

// An endpoint that answers again is used again.
func TestRevivedEndpointIsUsedAgain(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	answer, _, later := w.mid(cards, 200)
	later[0].Kill()
	w.rest(answer)
	w.logged("endpoint does not answer")
	later[0].Revive()
	w.logged("endpoint answers again")
}

// Where nothing else holds the layers, an endpoint that seemed to be down is tried:
// this gateway may have been too slow to hear it.
func TestDoubtfulEndpointIsBetterThanNone(t *testing.T) {
	t.Parallel()
	cards := []*site.Endpoint{card("card-0", "north"), card("card-1", "north")}
	w := newWorld(t, cards...)
	w.eventually(func() bool { return covered(cards, 1) })
	w.knows(cards...)
	answer, _, later := w.mid(cards, 400)
	later[0].Kill()
	w.logged("endpoint does not answer")
	later[0].Revive()
	require.Equal(t, whole(3), w.do(w.plan("/plan/1", 3)).body)
	answer.Body.Close() //nolint:errcheck // the stream may have broken
}

// The layers of an endpoint that has died are given to others before its record
// lapses.
func TestLayersOfADeadEndpointAreReplacedAtOnce(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	answer, _, later := w.mid(cards, 200)
	var left []*site.Endpoint
	for _, c := range cards {
		if c != later[0] {
			left = append(left, c)
		}
	}
	for _, c := range left {
		if from, to := c.Layers(); overlaps(later[0], from, to) {
			c.Kill() // nobody else holds those layers then
			left = slices.DeleteFunc(left, func(e *site.Endpoint) bool { return e == c })
			break
		}
	}
	later[0].Kill()
	defer answer.Body.Close() //nolint:errcheck // the stream may have broken
	w.eventually(func() bool { return w.do(w.plan("/plan/1", 3)).StatusCode == http.StatusOK && covered(left, 1) })
	require.NotContains(t, w.log.String(), "endpoint gone")
}

// overlaps reports whether an endpoint holds one of the layers from first to end.
func overlaps(e *site.Endpoint, first, end int) bool {
	from, to := e.Layers()
	return from < end && first < to
}

// An endpoint that has started anew behind its old record is not chosen by that record
// again and again: its own word on its layers counts.
func TestEndpointsOwnWordOnItsLayersCounts(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	answer, _, later := w.mid(cards, 20)
	w.rest(answer)
	later[0].Restart()
	refused := func() int {
		return strings.Count(w.log.String(), `"blamed":"`+later[0].Address()+`"`)
	}
	w.eventually(func() bool {
		w.do(w.plan("/plan/1", 1))
		return refused() > 0
	})
	for begun := time.Now(); time.Since(begun) < 1500*time.Millisecond; {
		require.Equal(t, http.StatusOK, w.do(w.plan("/plan/1", 1)).StatusCode)
	}
	require.LessOrEqual(t, refused(), 2)
}

// A first endpoint that takes requests and ends their connections, while it passes its
// checks, is passed over after a few: all requests went on to it, and the retries of all
// were used up.
func TestFirstEndpointThatDropsRequestsIsPassedOver(t *testing.T) {
	t.Parallel()
	cards := []*site.Endpoint{
		card("north-0", "north"), card("north-1", "north"), card("south-0", "south"), card("south-1", "south"),
	}
	w := newWorld(t, cards...)
	w.eventually(func() bool { return covered(cards, 2) })
	w.knows(cards...)
	var first *site.Endpoint
	for _, c := range cards[:2] {
		if from, _ := c.Layers(); from == 0 {
			first = c
		}
	}
	require.NotNil(t, first)
	first.Stay(site.Drop)
	const requests = 40
	for range requests {
		require.Equal(t, whole(3), w.do(w.plan("/plan/1", 3)).body)
	}
	require.Less(t, len(first.Seen()), requests/2, "three in a row, and one at the end of each pause")
}

// A process that is held up cannot tell whether an endpoint is silent. It checks again when it
// is not held up any more, also when nothing passes through the endpoint then: a stream that
// stood still had been broken off after 3.7 s, all its checks had fallen into the busy time, and
// the dead endpoint was used by the next ones.
func TestEndpointIsCheckedAgainAfterAHeldUpCheck(t *testing.T) {
	t.Parallel()
	w, heldUp := dieWhileHeldUp(t)
	heldUp.Store(false)
	w.logged("endpoint does not answer")
}

// A dead endpoint stayed in use where the process was held up for longer than it went on checking.
func TestEndpointIsInUseAfterALongHeldUpSpell(t *testing.T) {
	t.Parallel()
	w, heldUp := dieWhileHeldUp(t)
	time.Sleep(6 * time.Second)
	heldUp.Store(false)
	w.logged("endpoint does not answer")
}

// dieWhileHeldUp has an endpoint die under a stream while all checks are held up, until the stream has
// broken off.
func dieWhileHeldUp(t *testing.T) (*world, *atomic.Bool) {
	heldUp := new(atomic.Bool)
	cards := []*site.Endpoint{card("card-0", "north"), card("card-1", "north")}
	w := newWorldWith(t, func(g *gateway.Gateway) {
		g.Silence = func(answered <-chan struct{}) error {
			if heldUp.Load() {
				return probe.ErrHeldUp
			}
			return probe.Silence(answered)
		}
	}, cards...)
	w.eventually(func() bool { return covered(cards, 1) })
	w.knows(cards...)
	answer, r, later := w.mid(cards, 400)
	heldUp.Store(true)
	later[0].Kill()
	_, err := io.ReadAll(answer.Body)
	require.Error(t, err, "nothing else holds the layers")
	usesOf(t, w, r.Header.Get("X-Request-Id")) // it has ended
	require.NotContains(t, w.log.String(), "endpoint does not answer")
	return w, heldUp
}

// unheard is the control of endpoints whose answers this process has no time to hear.
type unheard struct {
	runner.Control
	on    atomic.Bool
	asked atomic.Int64
}

func (u *unheard) Report(ctx context.Context, address string) (runner.Report, error) {
	if !u.on.Load() {
		return u.Control.Report(ctx, address)
	}
	u.asked.Add(1)
	<-ctx.Done()
	return runner.Report{}, context.Cause(ctx)
}

// A process that is held up asks an endpoint again only while nothing comes through it: in a
// burst past capacity each late event brought five seconds of checks, which held the process up
// further, and the one of them that was judged by chance broke streams off that went on.
func TestEndpointThatGivesEventsIsNotCheckedAgain(t *testing.T) {
	t.Parallel()
	var u *unheard
	var cards []*site.Endpoint
	for i := range 2 {
		c := card(fmt.Sprint("card-", i), "north")
		c.EventEvery = 300 * time.Millisecond
		cards = append(cards, c)
	}
	w := newWorldWith(t, func(g *gateway.Gateway) {
		u = &unheard{Control: g.Runners}
		g.Runners = u
		g.Silence = func(answered <-chan struct{}) error {
			if u.on.Load() {
				return probe.ErrHeldUp
			}
			return probe.Silence(answered)
		}
	}, cards...)
	w.eventually(func() bool { return covered(cards, 1) })
	w.knows(cards...)
	u.on.Store(true)
	const events = 12
	require.Equal(t, whole(events), w.do(w.plan("/plan/1", events)).body)
	// 48 and 49 without any further checks, with those of the leader of orders; 68 with a check
	// every 0.25 s for each late event.
	require.Less(t, u.asked.Load(), int64(58))
}

// While the only endpoint that held the first layers was gone, each request was sent to it four times within
// milliseconds, since nothing else was left: 306 connections refused in 1.2 s, which used up the retries of all,
// so that streams were broken off with "the retry budget is used up" before others had loaded its layers.
func TestNothingIsSentToWhatRefusesConnections(t *testing.T) {
	w, cards := newModelOf(t, 2, 1)
	for _, c := range cards {
		if from, _ := c.Layers(); from == 0 {
			c.Kill()
			w.site.Stop(c)
		}
	}
	ask := func() *http.Request {
		r := w.plan("/plan/1", 3)
		r.Header.Set("X-Deadline-Ms", "1000")
		return r
	}
	w.eventually(func() bool { // a check that was begun before may have passed
		w.do(ask())
		return strings.Contains(w.log.String(), `"ended":true`)
	})
	r := ask()
	id := r.Header.Get("X-Request-Id")
	notRun(t, w.do(r), id, cards...)
	w.logged(`"request":"` + id + `","route"`)
	for _, line := range strings.Split(w.log.String(), "\n") {
		if strings.Contains(line, `"request":"`+id+`"`) && strings.Contains(line, "request ended") {
			require.Contains(t, line, `"sends":0`)
		}
	}
}
