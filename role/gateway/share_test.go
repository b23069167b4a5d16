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

// counted serves the store, and counts questions for changes by who asks.
type counted struct {
	next  http.Handler
	calls atomic.Int64
}

func (c *counted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/kv-watch" {
		c.calls.Add(1)
	}
	c.next.ServeHTTP(w, r)
}

// crowd starts more gateways than a small fleet has, each with its own way to the store.
func crowd(t *testing.T, w *world) ([]*gateway.Gateway, []*counted) {
	var gateways []*gateway.Gateway
	var ways []*counted
	for i := range overlay.FlatSize + 2 {
		way := &counted{next: w.site.Store}
		server := httptest.NewServer(way)
		t.Cleanup(server.Close)
		gateways = append(gateways, w.startAt(fmt.Sprint("crowd-", i), server.Listener.Addr().String()))
		ways = append(ways, way)
	}
	return gateways, ways
}

// askers returns how many of the ways to the store are used in a while.
func askers(ways []*counted) int {
	before := make([]int64, len(ways))
	for i, way := range ways {
		before[i] = way.calls.Load()
	}
	time.Sleep(2500 * time.Millisecond) // two questions
	n := 0
	for i, way := range ways {
		if way.calls.Load() > before[i] {
			n++
		}
	}
	return n
}

// In a large fleet two gateways of a hall ask the store, and the others ask these: all
// stay ready, learn of changes, and refuse a key that was taken away.
func TestFewGatewaysAskTheStore(t *testing.T) {
	t.Parallel()
	w := newWorld(t, plain("a"))
	gateways, ways := crowd(t, w)
	for _, g := range gateways {
		w.eventually(g.Ready)
	}
	w.eventually(func() bool { return askers(ways) <= 2 })
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

// A gateway stays announced while the store answers nobody, for longer than a lease of the store lasts
// without renewal, and announces itself no second time after it.
func TestAnnouncementOutlastsAnOutage(t *testing.T) {
	t.Parallel()
	w := newWorld(t, plain("a"))
	announced := func() []string { return w.site.Store.Keys("grademill/gateways/") }
	w.eventually(func() bool { return len(announced()) == 1 })
	w.site.Store.Break(func(*http.Request) site.Fault { return site.Fault{Status: http.StatusServiceUnavailable} })
	w.eventually(func() bool { return !w.gateway.Ready() })
	time.Sleep(7 * time.Second)
	require.Len(t, announced(), 1)
	w.site.Store.Break(nil)
	w.eventually(w.gateway.Ready)
	time.Sleep(3 * time.Second) // more than the time between two looks
	require.Len(t, announced(), 1)
	require.NotContains(t, w.log.String(), "this gateway is not announced")
}

// A gateway that joins a large fleet asks those that ask the store for its hall what has changed, from its
// first question on, though it has heard of none of them yet.
func TestGatewayThatJoinsALargeFleetAsksOthers(t *testing.T) {
	t.Parallel()
	w := newWorld(t, plain("a"))
	gateways, ways := crowd(t, w)
	for _, g := range gateways {
		w.eventually(g.Ready)
	}
	w.eventually(func() bool { return askers(ways) <= 2 })
	view := overlay.Overlay{}
	for _, g := range append(gateways, w.gateway) {
		view.Others = append(view.Others, overlay.Member{Name: g.Name, Hall: g.Hall, Heard: true})
	}
	for i := 0; ; i++ {
		view.Self = overlay.Member{Name: fmt.Sprint("newcomer-", i), Hall: w.gateway.Hall}
		if _, standby := view.Standbys(); !standby && len(view.Seats()) > 0 {
			break
		}
	}
	for i := range 60 { // more than a page holds
		w.site.Store.SetText(fmt.Sprint("other/", i), nil)
	}
	w.site.Store.Age()
	w.site.Store.SetText("other/last", nil) // what the stale pages show is old
	way := &counted{next: w.site.Store}
	server := httptest.NewServer(way)
	t.Cleanup(server.Close)
	newcomer := w.startAt(view.Self.Name, server.Listener.Addr().String())
	w.eventually(newcomer.Ready)
	require.Zero(t, askers([]*counted{way}))
	require.Zero(t, way.calls.Load())
}
