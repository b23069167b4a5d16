package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/adapter/hostclock"
	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
	"github.com/grademill/grademill/wire/gossip"
)

// A configuration that takes the key away is in force soon.
func TestRevokedKeyIsRejected(t *testing.T) {
	t.Parallel()
	w := newWorld(t, plain("a"))
	require.Equal(t, http.StatusOK, w.do(w.request("POST", "/renew/", "x")).StatusCode)
	w.configure(false)
	w.eventually(func() bool { return w.do(w.request("POST", "/renew/", "x")).StatusCode == http.StatusUnauthorized })
}

// A gateway that is out of touch with the store does not know whether a key has
// been taken away: it refuses requests with a key, in time, and serves the others.
func TestKeysAreNotServedWithoutProof(t *testing.T) {
	t.Parallel()
	e := plain("a")
	w := newWorld(t, e)
	begun := time.Now()
	w.site.Store.Break(func(*http.Request) site.Fault { return site.Fault{Silent: true} })
	var last time.Time
	w.eventually(func() bool {
		r := w.request("POST", "/renew/", "x")
		sent := time.Now()
		answer := w.do(r)
		if answer.StatusCode == http.StatusOK {
			last = sent
			return false
		}
		notRun(t, answer, r.Header.Get("X-Request-Id"), e)
		return true
	})
	require.Less(t, last.Sub(begun), w.gateway.Revocation)
	require.False(t, w.gateway.Ready())
	require.Equal(t, http.StatusOK, w.do(w.request("GET", "/open/", "")).StatusCode)
	w.site.Store.Break(nil)
	w.eventually(func() bool { return w.do(w.request("POST", "/renew/", "x")).StatusCode == http.StatusOK })
}

// A host may be suspended for seconds. The steady clock stands still meanwhile, and by it the
// proof that the configuration is current is as young as before: the clock that goes on counts.
func TestKeysAreNotServedAfterASuspension(t *testing.T) {
	t.Parallel()
	for name, suspended := range map[string]time.Duration{"suspended": 10 * time.Second, "not suspended": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := plain("a")
			var ahead atomic.Int64
			w := newWorldWith(t, func(g *gateway.Gateway) {
				g.Clock = func() time.Time { return hostclock.Now().Add(time.Duration(ahead.Load())) }
			}, e)
			w.eventually(func() bool { return w.do(w.request("POST", "/renew/", "x")).StatusCode == http.StatusOK })
			w.site.Store.Break(func(*http.Request) site.Fault { return site.Fault{Silent: true} })
			ahead.Store(int64(suspended))
			r := w.request("POST", "/renew/", "x")
			answer := w.do(r)
			if suspended == 0 {
				require.Equal(t, http.StatusOK, answer.StatusCode)
				return
			}
			notRun(t, answer, r.Header.Get("X-Request-Id"), e)
			require.False(t, w.gateway.Ready())
			require.Equal(t, http.StatusOK, w.do(w.request("GET", "/open/", "")).StatusCode, "without a key")
			w.site.Store.Break(nil)
			w.eventually(func() bool { return w.do(w.request("POST", "/renew/", "x")).StatusCode == http.StatusOK })
		})
	}
}

// Without the bound of revocation a gateway that is out of touch goes on running
// requests with a key that was taken away: the bound is what keeps the promise.
func TestRevokedKeyRunsWithoutTheBound(t *testing.T) {
	t.Parallel()
	e := plain("a")
	w := newWorld(t, e)
	unbound := w.startWith("gateway-2", w.site.StoreAddress, func(g *gateway.Gateway) { g.Revocation = 0 })
	w.eventually(unbound.Ready)
	w.site.Store.Break(func(*http.Request) site.Fault { return site.Fault{Silent: true} })
	w.configure(false)
	refused := func() bool {
		return w.do(w.request("POST", "/renew/", "x")).StatusCode == http.StatusServiceUnavailable
	}
	w.eventually(refused)
	w.target = w.serve(unbound)
	r := w.request("POST", "/renew/", "x")
	require.Equal(t, http.StatusOK, w.do(r).StatusCode)
	require.Equal(t, 1, e.Ran(r.Header.Get("X-Request-Id")))
}

// switched serves the store until it is cut, and refuses all calls meanwhile.
type switched struct {
	store *site.Store
	cut   atomic.Bool
}

func (s *switched) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.cut.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.store.ServeHTTP(w, r)
}

// startSwitched runs a second gateway, to which requests go from then on, and returns what cuts it from the
// store.
func (w *world) startSwitched() (*gateway.Gateway, *switched) {
	store := &switched{store: w.site.Store}
	server := httptest.NewServer(store)
	w.t.Cleanup(server.Close)
	second := w.startAt("gateway-2", strings.TrimPrefix(server.URL, "http://"))
	w.eventually(second.Ready)
	w.eventually(func() bool { return len(w.site.Store.Keys("grademill/gateways/")) == 2 })
	w.target = w.serve(second)
	return second, store
}

// A gateway that alone loses the store stops being ready while it can still serve,
// ends the connections of its callers, and in the end tells them to come back at
// once, since another gateway serves them. It is ready again when the store is
// back.
func TestGatewayThatAloneLosesTheStoreSendsCallersAway(t *testing.T) {
	t.Parallel()
	e := plain("a")
	w := newWorld(t, e)
	second, store := w.startSwitched()
	require.False(t, w.do(w.request("POST", "/renew/", "x")).Close)

	store.cut.Store(true)
	w.logged(`"apart":true`)
	require.False(t, second.Ready())
	require.True(t, w.gateway.Ready())
	require.Less(t, second.CallerLimits().IdleTimeout, time.Second)
	var refused reply
	served := 0
	w.eventually(func() bool {
		r := w.request("POST", "/renew/", "x")
		refused = w.do(r)
		require.True(t, refused.Close)
		if refused.StatusCode == http.StatusOK {
			served++
			return false
		}
		notRun(t, refused, r.Header.Get("X-Request-Id"), e)
		return true
	})
	require.Positive(t, served, "it serves until the proof is too old")
	wait, err := strconv.ParseFloat(refused.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Less(t, wait, 0.1)

	store.cut.Store(false)
	w.eventually(second.Ready)
	require.False(t, w.do(w.request("POST", "/renew/", "x")).Close)
}

// When all gateways lose the store, none sends its callers to the others.
func TestCallersStayWhenAllLoseTheStore(t *testing.T) {
	t.Parallel()
	w := newWorld(t, plain("a"))
	second := w.start("gateway-2")
	w.eventually(second.Ready)
	w.eventually(func() bool { return len(w.site.Store.Keys("grademill/gateways/")) == 2 })
	w.site.Store.Break(func(*http.Request) site.Fault { return site.Fault{Status: http.StatusServiceUnavailable} })
	w.eventually(func() bool { return !second.Ready() && !w.gateway.Ready() })
	require.NotContains(t, w.log.String(), `"apart":true`)
}

// A configuration that cannot be read leaves the former one in force, and a record that cannot
// names no endpoint to use, whatever stood there before; lines say so.
func TestGarbledRecordsAreNotTakenIn(t *testing.T) {
	t.Parallel()
	e, other := plain("a"), plain("b")
	w := newWorld(t, e, other)
	w.site.Store.SetText("op/config", []byte(`{"version": 99, "routes": [{"kind": "whatever"}]}`))
	w.site.Store.SetText("servers/a", []byte(`{"service": 7}`))
	w.logged("configuration not understood")
	w.logged("record not understood")
	w.logged(`"endpoint":"a","message":"endpoint gone"`)
	w.eventually(func() bool { // in force a moment after its line
		seen := len(e.Seen())
		for range 10 {
			require.Equal(t, http.StatusOK, w.do(w.request("POST", "/renew/", "x")).StatusCode)
		}
		return len(e.Seen()) == seen
	})
}

// When all gateways of a large fleet start together, the store has seconds of work with their
// reading of all its records: 286 gateways before 2,950 endpoints had read the first page, with the
// configuration, 0.5 s after their start, and all seven after 3.4 s. Until then they refused all
// ("the configuration is not known to be current"), though they knew enough to serve.
// Those of plain services still are: the few endpoints that are known would get all of them.
func TestGatewayServesByWhatItHasRead(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	for i := range 100 {
		w.site.Store.Set(fmt.Sprint("servers/later-", i), site.Record{Service: "another", Addr: "127.0.0.1:1"})
	}
	w.knows(cards...)
	w.site.Store.Break(func(r *http.Request) site.Fault {
		return site.Fault{Silent: strings.HasPrefix(r.URL.Path, "/-/kv-range") && r.URL.Query().Get("after_rev") != ""}
	})
	second := w.start("gateway-2")
	w.target = w.serve(second)
	w.eventually(func() bool { return w.do(w.plan("/plan/1", 3)).body == whole(3) })
	require.False(t, second.Ready(), "others that have read all are better")
	r := w.request("POST", "/renew/", "x")
	notRun(t, w.do(r), r.Header.Get("X-Request-Id"), cards...)
	w.site.Store.Break(nil)
	w.eventually(second.Ready)
}

// A configuration never goes back.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	t.Parallel()
	w := newWorld(t, plain("a"))
	former := w.site.Store.Value("op/config")
	w.configure(false)
	w.eventually(func() bool { return w.do(w.request("POST", "/renew/", "x")).StatusCode == http.StatusUnauthorized })
	w.site.Store.SetText("op/config", []byte(former))
	w.site.Store.Set("servers/marker", site.Record{Service: records, Addr: "127.0.0.1:1"})
	w.logged(`"endpoint":"marker"`)
	require.Equal(t, http.StatusUnauthorized, w.do(w.request("POST", "/renew/", "x")).StatusCode)
}

// A store that forgets its history is read anew, and what happened meanwhile is
// seen.
func TestForgottenHistory(t *testing.T) {
	t.Parallel()
	a, b := plain("a"), plain("b")
	w := newWorld(t, a, b)
	w.site.Store.Break(func(r *http.Request) site.Fault {
		if strings.HasPrefix(r.URL.Path, "/-/kv-watch") {
			return site.Fault{Status: http.StatusServiceUnavailable}
		}
		return site.Fault{}
	})
	w.logged("the store does not answer")
	w.site.Withdraw(a)
	w.site.Store.Compact()
	w.site.Store.Break(nil)
	w.logged("the store forgot its history")
	w.logged(`"endpoint":"a","message":"endpoint gone"`)
	before := len(a.Seen())
	require.Equal(t, http.StatusOK, w.do(w.request("POST", "/renew/", "x")).StatusCode)
	require.Len(t, a.Seen(), before)
}

// Without a configuration nothing is rejected: another gateway may know better.
func TestNothingIsRejectedWithoutAConfiguration(t *testing.T) {
	t.Parallel()
	w := newWorld(t, plain("a"))
	w.site.Store.Break(func(*http.Request) site.Fault { return site.Fault{Silent: true} })
	other := w.start("gateway-2")
	require.False(t, other.Ready())
	w.target = w.serve(other)
	answer := w.do(w.request("POST", "/nowhere/", "x"))
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.NotEmpty(t, answer.Header.Get("Retry-After"))
}

// One gateway gives orders at a time; when it ends, another goes on.
func TestAnotherGatewayTakesOverTheOrders(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	second := w.start("gateway-2")
	w.eventually(second.Ready)
	require.Equal(t, "gateway-1", w.site.Store.Value("grademill/giver"))
	w.gateway.Drain()
	w.eventually(func() bool { return w.site.Store.Value("grademill/giver") == "gateway-2" })
	more := card("card-more", "south")
	require.NoError(t, w.site.Start(more))
	w.eventually(func() bool { from, to := more.Layers(); return to > from })
	require.True(t, covered(cards, 1))
}

// What one gateway learns of a dead endpoint, another knows without asking.
func TestGatewaysTellEachOtherOfStalls(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	second := w.start("gateway-2")
	w.eventually(second.Ready)
	w.eventually(func() bool { return len(w.site.Store.Keys("grademill/gateways/")) == 2 })
	answer, _, later := w.mid(cards, 200)
	later[0].Kill()
	w.logged("endpoint holds requests up")
	w.rest(answer)
	w.target = w.serve(second)
	w.eventually(func() bool {
		r := w.plan("/plan/1", 3)
		if w.do(r).body != whole(3) {
			return false
		}
		return !strings.Contains(usesOf(t, w, r.Header.Get("X-Request-Id")), later[0].Address())
	})
}

// phased passes questions for changes on to a store, one of them after a delay, and notes when
// they come.
type phased struct {
	store *site.Store
	// delay is that of the next question, in nanoseconds.
	delay atomic.Int64
	// asked is when the last one came, in nanoseconds of Unix time.
	asked atomic.Int64
}

func (p *phased) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "-watch") {
		time.Sleep(time.Duration(p.delay.Swap(0)))
		p.asked.Store(time.Now().UnixNano())
	}
	p.store.ServeHTTP(w, r)
}

// since returns how long ago the last question came.
func (p *phased) since() time.Duration { return time.Duration(time.Now().UnixNano() - p.asked.Load()) }

// Gateways that lose the store together notice it one after the other: the question of one may
// have been sent a second before that of another. Until the other's comes back it looks as if it
// had the store, by a proof from before the loss. The first one then sent its callers away for as
// long.
func TestCallersStayWhenGatewaysLoseTheStoreOutOfStep(t *testing.T) {
	t.Parallel()
	w := newWorld(t, plain("a"))
	stores := []*phased{{store: w.site.Store}, {store: w.site.Store}}
	all := []*gateway.Gateway{w.gateway}
	for i, s := range stores {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		all = append(all, w.startAt(fmt.Sprint("gateway-", i+2), strings.TrimPrefix(server.URL, "http://")))
		w.eventually(all[i+1].Ready)
	}
	w.eventually(func() bool { return len(w.site.Store.Keys("grademill/gateways/")) == len(all) })
	w.eventually(func() bool { // until the announcements are known the questions go in step
		stores[1].delay.Store(int64(700 * time.Millisecond))
		return stores[0].since() > 800*time.Millisecond && stores[1].since() < 150*time.Millisecond
	})
	w.site.Store.Break(func(*http.Request) site.Fault { return site.Fault{Status: http.StatusServiceUnavailable} })
	w.eventually(func() bool { return !all[0].Ready() && !all[1].Ready() && !all[2].Ready() })
	require.NotContains(t, w.log.String(), `"apart":true`)
}

// A store that falls silent is known to be lost only when a question to it has waited too long,
// and each gateway finds out by the time of its own question. The one whose proof was the oldest
// found it late, by 2.5 s, saw the younger proofs of the others, which were from before the loss,
// too, and sent its callers away: "apart":true with "failing":false, "proof_age_ms":2546 and a
// "holder_proof_age_ms" below that, for as long as the proofs were apart.
func TestCallersStayWhenTheStoreFallsSilent(t *testing.T) {
	t.Parallel()
	w := newWorld(t, plain("a"))
	second := &phased{store: w.site.Store}
	server := httptest.NewServer(second)
	t.Cleanup(server.Close)
	other := w.startAt("gateway-2", strings.TrimPrefix(server.URL, "http://"))
	w.eventually(other.Ready)
	w.eventually(func() bool { return len(w.site.Store.Keys("grademill/gateways/")) == 2 })
	second.delay.Store(int64(500 * time.Millisecond)) // from that question on it asks later than the other
	w.eventually(func() bool { return second.delay.Load() == 0 })
	for range 2 {
		last := second.asked.Load()
		w.eventually(func() bool { return second.asked.Load() != last })
	}
	before := len(w.log.String()) // the delay alone may have led callers away from the second gateway
	w.site.Store.Break(func(*http.Request) site.Fault { return site.Fault{Silent: true} })
	w.eventually(func() bool { return !w.gateway.Ready() && !other.Ready() })
	require.NotContains(t, w.log.String()[before:], `"apart":true`)
}

// Digests may be under way for long, or lie unread while the process lacks processor time: so much
// younger the proofs in them seem. A proof from before the loss then seemed to be from after it,
// by more than the 30 ms that were allowed for, and the callers were sent away for 150 ms, until the
// next digest came.
func TestProofThatWasLongUnderWaySaysNothing(t *testing.T) {
	t.Parallel()
	w := newWorld(t, plain("a"))
	tell := w.teller()
	w.site.Store.Break(func(*http.Request) site.Fault { return site.Fault{Status: http.StatusServiceUnavailable} })
	proven := time.Now()
	for number := uint64(1); w.gateway.Ready(); number++ {
		const underWay = 1200 * time.Millisecond // longer than this gateway takes to find out
		age := max(time.Since(proven)-underWay, 0)
		tell(&gossip.Digest{
			Gateway: "other", Incarnation: 1, Number: number, Hall: "north", Proven: true, ProofAgeMillis: uint32(age.Milliseconds()),
		})
		time.Sleep(20 * time.Millisecond)
	}
	require.NotContains(t, w.log.String(), `"apart":true`)
}

// teller returns what sends the gateway of the world digests of others. What comes before the
// gateway listens is lost.
func (w *world) teller() func(*gossip.Digest) {
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(w.t, err)
	w.t.Cleanup(func() { _ = socket.Close() })
	to, err := net.ResolveUDPAddr("udp4", w.gateway.Address)
	require.NoError(w.t, err)
	return func(d *gossip.Digest) {
		text, err := proto.Marshal(&gossip.Packet{Digest: d})
		require.NoError(w.t, err)
		_, err = socket.WriteTo(text, to)
		require.NoError(w.t, err)
	}
}

// When many gateways lose the store together, each hears of all the others: it asks the store
// once at once for that, and not once for each, which the store would have to turn away.
func TestManyLossesHurryOneQuestion(t *testing.T) {
	t.Parallel()
	w := newWorld(t, plain("a"))
	tell := w.teller()
	const others = 60
	before := w.site.Store.Calls("/-/kv-watch")
	for i := range others {
		tell(&gossip.Digest{
			Gateway: fmt.Sprint("other-", i), Incarnation: 1, Number: 1, Hall: "north", Cut: true, Outage: uint64(i + 1),
		})
		time.Sleep(10 * time.Millisecond)
	}
	require.LessOrEqual(t, w.site.Store.Calls("/-/kv-watch")-before, 6, "one at once, and those that are due")
}
