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
	"github.com/grademill/grademill/decide/grace"
	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
	"github.com/grademill/grademill/wire/gossip"
)

// A configuration that removes a key takes effect soon.
func TestRevokedKeyIsRejected(t *testing.T) {
	t.Parallel()
	w := newFixture(t, plain("a"))
	require.Equal(t, http.StatusOK, w.do(w.request("POST", "/renew/", "x")).StatusCode)
	w.configure(false)
	w.eventually(func() bool { return w.do(w.request("POST", "/renew/", "x")).StatusCode == http.StatusUnauthorized })
}

// A gateway without contact to the store does not know whether a key has been revoked: within the revocation
// time it stops serving requests with a key, and goes on serving the others.
func TestKeysAreRefusedWithoutFreshnessProof(t *testing.T) {
	t.Parallel()
	e := plain("a")
	w := newFixture(t, e)
	begun := time.Now()
	w.site.Store.SetFaults(func(*http.Request) site.Fault { return site.Fault{Silent: true} })
	var last time.Time
	w.eventually(func() bool {
		r := w.request("POST", "/renew/", "x")
		sent := time.Now()
		answer := w.do(r)
		if answer.StatusCode == http.StatusOK {
			last = sent
			return false
		}
		requireNotRun(t, answer, r.Header.Get("X-Request-Id"), e)
		return true
	})
	require.Less(t, last.Sub(begun), w.gateway.Revocation)
	require.False(t, w.gateway.Ready())
	require.Equal(t, http.StatusOK, w.do(w.request("GET", "/open/", "")).StatusCode)
	w.site.Store.SetFaults(nil)
	w.eventually(func() bool { return w.do(w.request("POST", "/renew/", "x")).StatusCode == http.StatusOK })
}

// A host may be suspended for seconds. The monotonic clock stops meanwhile, and by it the freshness proof of
// the configuration would be as young as before: the clock that includes suspension must count.
func TestKeysAreRefusedAfterSuspension(t *testing.T) {
	t.Parallel()
	for name, suspended := range map[string]time.Duration{"suspended": 10 * time.Second, "not suspended": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := plain("a")
			var ahead atomic.Int64
			w := newFixtureWith(t, func(g *gateway.Gateway) {
				g.Clock = func() time.Time { return hostclock.Now().Add(time.Duration(ahead.Load())) }
			}, e)
			w.eventually(func() bool { return w.do(w.request("POST", "/renew/", "x")).StatusCode == http.StatusOK })
			w.site.Store.SetFaults(func(*http.Request) site.Fault { return site.Fault{Silent: true} })
			ahead.Store(int64(suspended))
			r := w.request("POST", "/renew/", "x")
			answer := w.do(r)
			if suspended == 0 {
				require.Equal(t, http.StatusOK, answer.StatusCode)
				return
			}
			requireNotRun(t, answer, r.Header.Get("X-Request-Id"), e)
			require.False(t, w.gateway.Ready())
			require.Equal(t, http.StatusOK, w.do(w.request("GET", "/open/", "")).StatusCode, "without a key")
			w.site.Store.SetFaults(nil)
			w.eventually(func() bool { return w.do(w.request("POST", "/renew/", "x")).StatusCode == http.StatusOK })
		})
	}
}

// Without the revocation bound, a gateway that has lost the store keeps serving requests with a revoked key.
// The tests above pass only because of the bound.
func TestRevokedKeyIsServedWithoutRevocationBound(t *testing.T) {
	t.Parallel()
	e := plain("a")
	w := newFixture(t, e)
	unbound := w.startWith("gateway-2", w.site.StoreAddress, func(g *gateway.Gateway) { g.Revocation = 0 })
	w.eventually(unbound.Ready)
	w.site.Store.SetFaults(func(*http.Request) site.Fault { return site.Fault{Silent: true} })
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

// severableStore serves the store, and refuses all calls while it is cut.
type severableStore struct {
	store *site.Store
	cut   atomic.Bool
}

func (s *severableStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.cut.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.store.ServeHTTP(w, r)
}

// startSeverable runs a second gateway, which receives the requests from then on, and returns it with a
// handler that can cut it from the store.
func (w *fixture) startSeverable() (*gateway.Gateway, *severableStore) {
	store := &severableStore{store: w.site.Store}
	server := httptest.NewServer(store)
	w.t.Cleanup(server.Close)
	second := w.startAt("gateway-2", strings.TrimPrefix(server.URL, "http://"))
	w.eventually(second.Ready)
	w.eventually(func() bool { return len(w.site.Store.Keys("grademill/gateways/")) == 2 })
	w.target = w.serve(second)
	return second, store
}

// A gateway that alone loses the store stops being ready while it can still serve, and closes its callers'
// connections. Once its freshness proof is too old it tells callers to retry at once, since another gateway
// serves them. It is ready again when the store is back.
func TestGatewayThatAloneLosesTheStoreSendsCallersAway(t *testing.T) {
	t.Parallel()
	e := plain("a")
	w := newFixture(t, e)
	second, store := w.startSeverable()
	require.False(t, w.do(w.request("POST", "/renew/", "x")).Close)

	store.cut.Store(true)
	w.waitForLog(`"apart":true`)
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
		requireNotRun(t, refused, r.Header.Get("X-Request-Id"), e)
		return true
	})
	require.Positive(t, served, "it serves until its freshness proof is too old")
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
	w := newFixture(t, plain("a"))
	second := w.start("gateway-2")
	w.eventually(second.Ready)
	w.eventually(func() bool { return len(w.site.Store.Keys("grademill/gateways/")) == 2 })
	w.site.Store.SetFaults(func(*http.Request) site.Fault { return site.Fault{Status: http.StatusServiceUnavailable} })
	w.eventually(func() bool { return !second.Ready() && !w.gateway.Ready() })
	require.NotContains(t, w.log.String(), `"apart":true`)
}

// A configuration that cannot be decoded leaves the previous one in force. An endpoint whose record cannot
// be decoded gets no requests, whatever its previous record said. Both are logged.
func TestMalformedRecordsAreIgnored(t *testing.T) {
	t.Parallel()
	e, other := plain("a"), plain("b")
	w := newFixture(t, e, other)
	w.site.Store.SetText("op/config", []byte(`{"version": 99, "routes": [{"kind": "whatever"}]}`))
	w.site.Store.SetText("servers/a", []byte(`{"service": 7}`))
	w.waitForLog("configuration not understood")
	w.waitForLog("record not understood")
	w.waitForLog(`"endpoint":"a","message":"endpoint gone"`)
	w.eventually(func() bool { // takes effect shortly after it is logged
		seen := len(e.Seen())
		for range 10 {
			require.Equal(t, http.StatusOK, w.do(w.request("POST", "/renew/", "x")).StatusCode)
		}
		return len(e.Seen()) == seen
	})
}

// When all gateways of a large fleet start together, the store is busy for seconds while they read all
// records: 286 gateways with 2,950 endpoints had read the first page, with the configuration, after 0.5 s,
// and all seven pages after 3.4 s. Until then they refused every request ("the configuration is not known to
// be current") although they knew enough to serve. Requests for plain services are still refused until all
// is read: the few known endpoints would get all of them.
func TestGatewayServesFromPartialRead(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	for i := range 100 {
		w.site.Store.Set(fmt.Sprint("servers/later-", i), site.Record{Service: "another", Addr: "127.0.0.1:1"})
	}
	w.waitForLayers(cards...)
	w.site.Store.SetFaults(func(r *http.Request) site.Fault {
		return site.Fault{Silent: strings.HasPrefix(r.URL.Path, "/-/kv-range") && r.URL.Query().Get("after_rev") != ""}
	})
	second := w.start("gateway-2")
	w.target = w.serve(second)
	w.eventually(func() bool { return w.do(w.streamRequest("/plan/1", 3)).body == fullBody(3) })
	require.False(t, second.Ready(), "gateways that have read everything are preferred")
	r := w.request("POST", "/renew/", "x")
	requireNotRun(t, w.do(r), r.Header.Get("X-Request-Id"), cards...)
	w.site.Store.SetFaults(nil)
	w.eventually(second.Ready)
}

// Guards against an answer that holds a part of the missed changes being taken for proof of the newest configuration: keys
// that had been taken away were accepted after a gateway had been cut off.
func TestKeysTakenAwayDuringACutAreRefused(t *testing.T) {
	t.Parallel()
	e := plain("a")
	w := newFixture(t, e)
	w.site.Store.SetFaults(func(*http.Request) site.Fault { return site.Fault{Status: http.StatusServiceUnavailable} })
	w.eventually(func() bool { // its proof is too old
		return w.do(w.request("POST", "/renew/1", "x")).StatusCode == http.StatusServiceUnavailable
	})
	w.configure(true)
	for i := range 300 {
		w.site.Store.Set(fmt.Sprint("a/", i), "x")
	}
	w.configure(false)
	seen := len(e.Seen())
	w.site.Store.SetFaults(func(*http.Request) site.Fault { return site.Fault{Delay: 50 * time.Millisecond} })
	w.eventually(func() bool {
		status := w.do(w.request("POST", "/renew/1", "x")).StatusCode
		require.NotEqual(t, http.StatusOK, status)
		return status == http.StatusUnauthorized
	})
	require.Len(t, e.Seen(), seen)
}

// Guards against a first page without the configuration that proves one known from a stale page: keys that had been taken
// away were accepted.
func TestFirstPageDoesNotProveAStaleConfiguration(t *testing.T) {
	t.Parallel()
	w, _ := newModel(t)
	w.site.Store.FreezeStaleReads()
	w.configure(false)
	for i := range 60 { // they come before the configuration, and fill the first page
		w.site.Store.Set(fmt.Sprint("a/", i), "x")
	}
	w.site.Store.SetFaults(func(r *http.Request) site.Fault {
		return site.Fault{Silent: strings.HasPrefix(r.URL.Path, "/-/kv-range") && r.URL.Query().Get("after_rev") != ""}
	})
	second := w.start("gateway-2")
	w.target = w.serve(second)
	for begun := time.Now(); time.Since(begun) < 1500*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		require.Equal(t, http.StatusServiceUnavailable, w.do(w.streamRequest("/plan/1", 3)).StatusCode)
	}
	w.site.Store.SetFaults(nil)
	w.eventually(func() bool { return w.do(w.streamRequest("/plan/1", 3)).StatusCode == http.StatusUnauthorized })
}

// An older configuration never replaces a newer one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	t.Parallel()
	w := newFixture(t, plain("a"))
	former := w.site.Store.Value("op/config")
	w.configure(false)
	w.eventually(func() bool { return w.do(w.request("POST", "/renew/", "x")).StatusCode == http.StatusUnauthorized })
	w.site.Store.SetText("op/config", []byte(former))
	w.site.Store.Set("servers/marker", site.Record{Service: records, Addr: "127.0.0.1:1"})
	w.waitForLog(`"endpoint":"marker"`)
	require.Equal(t, http.StatusUnauthorized, w.do(w.request("POST", "/renew/", "x")).StatusCode)
}

// When the store has compacted its history, the gateway reads it again and sees what changed meanwhile.
func TestCompactedStoreIsReadAgain(t *testing.T) {
	t.Parallel()
	a, b := plain("a"), plain("b")
	w := newFixture(t, a, b)
	w.site.Store.SetFaults(func(r *http.Request) site.Fault {
		if strings.HasPrefix(r.URL.Path, "/-/kv-watch") {
			return site.Fault{Status: http.StatusServiceUnavailable}
		}
		return site.Fault{}
	})
	w.waitForLog("the store does not answer")
	w.site.Withdraw(a)
	w.site.Store.Compact()
	w.site.Store.SetFaults(nil)
	w.waitForLog("the store forgot its history")
	w.waitForLog(`"endpoint":"a","message":"endpoint gone"`)
	before := len(a.Seen())
	require.Equal(t, http.StatusOK, w.do(w.request("POST", "/renew/", "x")).StatusCode)
	require.Len(t, a.Seen(), before)
}

// A gateway without a configuration rejects nothing as unknown: another gateway may know the route.
func TestNothingIsRejectedWithoutAConfiguration(t *testing.T) {
	t.Parallel()
	w := newFixture(t, plain("a"))
	w.site.Store.SetFaults(func(*http.Request) site.Fault { return site.Fault{Silent: true} })
	other := w.start("gateway-2")
	require.False(t, other.Ready())
	w.target = w.serve(other)
	answer := w.do(w.request("POST", "/nowhere/", "x"))
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.NotEmpty(t, answer.Header.Get("Retry-After"))
}

// One gateway at a time is the leader, which orders endpoints to load layers. When it gives up the right,
// another takes over.
func TestAnotherGatewayTakesOverAsLeader(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	second := w.start("gateway-2")
	w.eventually(second.Ready)
	require.Equal(t, "gateway-1", w.site.Store.Value("grademill/giver"))
	w.gateway.Drain(grace.Stop{})
	w.eventually(func() bool { return w.site.Store.Value("grademill/giver") == "gateway-2" })
	more := card("card-more", "south")
	require.NoError(t, w.site.Start(more))
	w.eventually(func() bool { from, to := more.Layers(); return to > from })
	require.True(t, covered(cards, 1))
}

// A gateway knows of a dead endpoint from another gateway's report, without checking it.
func TestGatewaysReportStallsToEachOther(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	second := w.start("gateway-2")
	w.eventually(second.Ready)
	w.eventually(func() bool { return len(w.site.Store.Keys("grademill/gateways/")) == 2 })
	answer, _, later := w.startStream(cards, 200)
	later[0].Silence()
	w.waitForLog("endpoint holds requests up")
	w.readRest(answer)
	w.target = w.serve(second)
	w.eventually(func() bool {
		r := w.streamRequest("/plan/1", 3)
		if w.do(r).body != fullBody(3) {
			return false
		}
		return !strings.Contains(endLine(t, w, r.Header.Get("X-Request-Id")), later[0].Address())
	})
}

// delayingStore forwards calls to a store. It delays the next watch call, and records when the last one was
// forwarded.
type delayingStore struct {
	store *site.Store
	// delay is that of the next watch call, in nanoseconds.
	delay atomic.Int64
	// queriedAt is when the last one was forwarded, in nanoseconds of Unix time.
	queriedAt atomic.Int64
}

func (p *delayingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "-watch") {
		time.Sleep(time.Duration(p.delay.Swap(0)))
		p.queriedAt.Store(time.Now().UnixNano())
	}
	p.store.ServeHTTP(w, r)
}

// sinceQuery returns the time since the last watch call.
func (p *delayingStore) sinceQuery() time.Duration {
	return time.Duration(time.Now().UnixNano() - p.queriedAt.Load())
}

// Gateways that lose the store together notice it one after the other: the watch call of one may have been
// sent a second before that of another. Until the call of the other returns, the other still reports a
// freshness proof, which is from before the loss, and so seems to have the store. Guards against the first
// gateway sending its callers away until then.
func TestCallersStayWhenGatewaysLoseTheStoreOutOfStep(t *testing.T) {
	t.Parallel()
	w := newFixture(t, plain("a"))
	stores := []*delayingStore{{store: w.site.Store}, {store: w.site.Store}}
	all := []*gateway.Gateway{w.gateway}
	for i, s := range stores {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		all = append(all, w.startAt(fmt.Sprint("gateway-", i+2), strings.TrimPrefix(server.URL, "http://")))
		w.eventually(all[i+1].Ready)
	}
	w.eventually(func() bool { return len(w.site.Store.Keys("grademill/gateways/")) == len(all) })
	w.eventually(func() bool { // until the announcements are known, the watch calls stay in step
		stores[1].delay.Store(int64(700 * time.Millisecond))
		return stores[0].sinceQuery() > 800*time.Millisecond && stores[1].sinceQuery() < 150*time.Millisecond
	})
	w.site.Store.SetFaults(func(*http.Request) site.Fault { return site.Fault{Status: http.StatusServiceUnavailable} })
	w.eventually(func() bool { return !all[0].Ready() && !all[1].Ready() && !all[2].Ready() })
	require.NotContains(t, w.log.String(), `"apart":true`)
}

// A store that stops answering is known to be lost only when a call to it has timed out, and each gateway
// finds out with its own call. The younger proofs of other gateways are no sign that they have the store,
// since they may be from before the loss too. Without this, the gateway with the oldest proof, which found
// out after 2.5 s, sent its callers away for as long as its proof was older than the others' ("apart":true
// with "failing":false, "proof_age_ms":2546 and a smaller "holder_proof_age_ms").
func TestCallersStayWhenTheStoreFallsSilent(t *testing.T) {
	t.Parallel()
	w := newFixture(t, plain("a"))
	second := &delayingStore{store: w.site.Store}
	server := httptest.NewServer(second)
	t.Cleanup(server.Close)
	other := w.startAt("gateway-2", strings.TrimPrefix(server.URL, "http://"))
	w.eventually(other.Ready)
	w.eventually(func() bool { return len(w.site.Store.Keys("grademill/gateways/")) == 2 })
	second.delay.Store(int64(500 * time.Millisecond)) // from that call on, its calls are later than the other's
	w.eventually(func() bool { return second.delay.Load() == 0 })
	for range 2 {
		last := second.queriedAt.Load()
		w.eventually(func() bool { return second.queriedAt.Load() != last })
	}
	before := len(w.log.String()) // the delay alone may have made the second gateway send callers away
	w.site.Store.SetFaults(func(*http.Request) site.Fault { return site.Fault{Silent: true} })
	w.eventually(func() bool { return !w.gateway.Ready() && !other.Ready() })
	require.NotContains(t, w.log.String()[before:], `"apart":true`)
}

// Digests may be delayed on their way, or stay unread while the process is starved of processor time: the
// proofs in them then seem younger by as much. With a tolerance of 30 ms, a proof from before the loss
// seemed to be from after it, and callers were sent away for 150 ms, until the next digest arrived.
func TestDelayedProofIsNoEvidence(t *testing.T) {
	t.Parallel()
	w := newFixture(t, plain("a"))
	send := w.digestSender()
	w.site.Store.SetFaults(func(*http.Request) site.Fault { return site.Fault{Status: http.StatusServiceUnavailable} })
	proven := time.Now()
	for number := uint64(1); w.gateway.Ready(); number++ {
		const underWay = 1200 * time.Millisecond // longer than the gateway takes to detect the loss
		age := max(time.Since(proven)-underWay, 0)
		send(&gossip.Digest{
			Gateway: "other", Incarnation: 1, Number: number, Hall: "north", Proven: true, ProofAgeMillis: uint32(age.Milliseconds()),
		})
		time.Sleep(20 * time.Millisecond)
	}
	require.NotContains(t, w.log.String(), `"apart":true`)
}

// digestSender returns a function that sends digests of other gateways to the gateway of the fixture.
// Digests are lost until that gateway listens.
func (w *fixture) digestSender() func(*gossip.Digest) {
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

// When many gateways lose the store together, each hears of all the others. It sends the store one
// additional query for that, not one for each, which the store would have to refuse.
func TestManyOutagesCauseOneQuery(t *testing.T) {
	t.Parallel()
	w := newFixture(t, plain("a"))
	send := w.digestSender()
	const others = 60
	before := w.site.Store.Calls("/-/kv-watch")
	for i := range others {
		send(&gossip.Digest{
			Gateway: fmt.Sprint("other-", i), Incarnation: 1, Number: 1, Hall: "north", Cut: true, Outage: uint64(i + 1),
		})
		time.Sleep(10 * time.Millisecond)
	}
	require.LessOrEqual(t, w.site.Store.Calls("/-/kv-watch")-before, 6, "one additional query, and those that are due")
}
