package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// avoids reports whether none of ten requests reaches an endpoint.
func (w *fixture) avoids(e *site.Endpoint) bool {
	w.t.Helper()
	before := len(e.Seen())
	for range 10 {
		require.Equal(w.t, http.StatusOK, w.do(w.request("GET", "/open/", "")).StatusCode)
	}
	return len(e.Seen()) == before
}

// A gateway that alone had lost the store does not use an endpoint that left meanwhile, although the last
// record of the endpoint that the gateway has read does not show the departure.
func TestEndpointThatLeftDuringAPartitionIsAvoidedAfterIt(t *testing.T) {
	t.Parallel()
	a := plain("a")
	w := newFixture(t, a, plainInOtherHall("b"))
	_, store := w.startSeverable()
	w.eventually(func() bool { return !w.avoids(a) })

	store.cut.Store(true)
	w.waitForLog(`"process":"gateway-2","error"`)
	w.site.Withdraw(a)
	w.waitForLog(`"endpoint":"a","message":"endpoint gone"`)
	w.eventually(func() bool { return w.avoids(a) })
	w.waitForLog(`"apart":true`) // before that, a single call may have failed
	store.cut.Store(false)
	w.waitForLog("the store answers again")
	require.True(t, w.avoids(a))
}

// A record written before the endpoint announced its departure may arrive after the announcement. It does
// not make the endpoint take requests again.
func TestLateRecordDoesNotReopenALeavingEndpoint(t *testing.T) {
	t.Parallel()
	a := plain("a")
	w := newFixture(t, a, plainInOtherHall("b"))
	w.site.Leave(a)
	w.waitForLog(`"leaving":true`)
	w.waitForSync()
	require.True(t, w.avoids(a))
	w.site.Announce(a)
	w.waitForSync()
	require.True(t, w.avoids(a))
	w.site.Withdraw(a)
	w.waitForLog(`"endpoint":"a","message":"endpoint gone"`)
	w.site.Announce(a)
	w.waitForSync()
	require.True(t, w.avoids(a))
}

// waitForSync waits until the current state of the store is in force: the second of two changes is read
// after the first has taken effect.
func (w *fixture) waitForSync() {
	w.t.Helper()
	for range 2 {
		marker := fmt.Sprint("marker-", w.ids.Add(1))
		w.site.Store.Set("servers/"+marker, site.Record{Service: "another", Addr: "127.0.0.1:1", Zone: "north", Slots: 1, State: "ready"})
		w.waitForLog(`"endpoint":"` + marker + `"`)
	}
}

// plainInOtherHall returns an endpoint of another hall, so that one in the gateway's hall is preferred.
func plainInOtherHall(id string) *site.Endpoint {
	e := plain(id)
	e.Hall = "south"
	return e
}

// Guards against a departure that an endpoint announces in an answer staying known only to the gateway that
// got the answer.
func TestAnnouncedDepartureReachesOtherGateways(t *testing.T) {
	t.Parallel()
	a := plain("a")
	w := newFixture(t, a, plainInOtherHall("b"))
	second := w.start("gateway-2")
	w.eventually(second.Ready)
	w.eventually(func() bool { return len(w.site.Store.Keys("grademill/gateways/")) == 2 })
	a.SetSignals(site.Signals{Leaving: true})
	require.False(t, w.avoids(a))
	w.target = w.serve(second)
	before := len(a.Seen())
	w.waitForSync() // several digests later
	require.True(t, w.avoids(a))
	require.Len(t, a.Seen(), before)
}
