package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
)

// countingStore serves the store and counts the watch calls of one gateway.
type countingStore struct {
	next  http.Handler
	calls atomic.Int64
}

func (c *countingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/kv-watch" {
		c.calls.Add(1)
	}
	c.next.ServeHTTP(w, r)
}

// startLargeFleet starts more gateways than a small fleet has, each with its own handler to reach the store.
func startLargeFleet(t *testing.T, w *fixture) ([]*gateway.Gateway, []*countingStore) {
	var gateways []*gateway.Gateway
	var stores []*countingStore
	for i := range overlay.FlatSize + 2 {
		store := &countingStore{next: w.site.Store}
		server := httptest.NewServer(store)
		t.Cleanup(server.Close)
		gateways = append(gateways, w.startAt(fmt.Sprint("crowd-", i), server.Listener.Addr().String()))
		stores = append(stores, store)
	}
	return gateways, stores
}

// countQueriers returns how many of the gateways query the store within 2.5 s.
func countQueriers(stores []*countingStore) int {
	before := make([]int64, len(stores))
	for i, store := range stores {
		before[i] = store.calls.Load()
	}
	time.Sleep(2500 * time.Millisecond) // two watch calls
	n := 0
	for i, store := range stores {
		if store.calls.Load() > before[i] {
			n++
		}
	}
	return n
}

// In a large fleet two gateways of a hall query the store, and the others query these two: all stay ready,
// learn of changes, and reject a revoked key.
func TestFewGatewaysQueryTheStore(t *testing.T) {
	t.Parallel()
	w := newFixture(t, plain("a"))
	gateways, stores := startLargeFleet(t, w)
	for _, g := range gateways {
		w.eventually(g.Ready)
	}
	w.eventually(func() bool { return countQueriers(stores) <= 2 })
	var targets []string
	for _, g := range gateways {
		targets = append(targets, w.serve(g))
	}
	all := func(status int) func() bool {
		return func() bool {
			for _, target := range targets {
				w.target = target
				if w.do(w.request("POST", "/renew/", "x")).StatusCode != status {
					return false
				}
			}
			return true
		}
	}
	w.eventually(all(http.StatusOK))
	w.configure(false)
	w.eventually(all(http.StatusUnauthorized))
	for _, g := range gateways {
		require.True(t, g.Ready())
	}
}

// A gateway stays announced while the store answers nobody, even for longer than an unrenewed lease lasts,
// and does not announce itself again afterwards.
func TestAnnouncementOutlastsAnOutage(t *testing.T) {
	t.Parallel()
	w := newFixture(t, plain("a"))
	announced := func() []string { return w.site.Store.Keys("grademill/gateways/") }
	w.eventually(func() bool { return len(announced()) == 1 })
	w.site.Store.SetFaults(func(*http.Request) site.Fault { return site.Fault{Status: http.StatusServiceUnavailable} })
	w.eventually(func() bool { return !w.gateway.Ready() })
	time.Sleep(7 * time.Second)
	require.Len(t, announced(), 1)
	w.site.Store.SetFaults(nil)
	w.eventually(w.gateway.Ready)
	time.Sleep(3 * time.Second) // longer than the interval between two checks
	require.Len(t, announced(), 1)
	require.NotContains(t, w.log.String(), "this gateway is not announced")
}

// A gateway that joins a large fleet queries the gateways that query the store for its hall. It does so from
// its first watch call, although it has not yet heard from any of them.
func TestGatewayThatJoinsALargeFleetQueriesPeers(t *testing.T) {
	t.Parallel()
	w := newFixture(t, plain("a"))
	gateways, stores := startLargeFleet(t, w)
	for _, g := range gateways {
		w.eventually(g.Ready)
	}
	w.eventually(func() bool { return countQueriers(stores) <= 2 })
	view := overlay.Overlay{}
	for _, g := range append(gateways, w.gateway) {
		view.Others = append(view.Others, overlay.Member{Name: g.Name, Hall: g.Hall, HeardDirectly: true})
	}
	for i := 0; ; i++ {
		view.Self = overlay.Member{Name: fmt.Sprint("newcomer-", i), Hall: w.gateway.Hall}
		if _, standby := view.StandbyStoreReaders(); !standby && len(view.StoreReaders()) > 0 {
			break
		}
	}
	for i := range 60 { // more than a page holds
		w.site.Store.SetText(fmt.Sprint("other/", i), nil)
	}
	w.site.Store.FreezeStaleReads()
	w.site.Store.SetText("other/last", nil) // the stale pages do not show this key
	store := &countingStore{next: w.site.Store}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	newcomer := w.startAt(view.Self.Name, server.Listener.Addr().String())
	w.eventually(newcomer.Ready)
	require.Zero(t, countQueriers([]*countingStore{store}))
	require.Zero(t, store.calls.Load())
}
