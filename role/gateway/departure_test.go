package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// avoids reports whether none of some requests reaches an endpoint.
func (w *world) avoids(e *site.Endpoint) bool {
	w.t.Helper()
	before := len(e.Seen())
	for range 10 {
		require.Equal(w.t, http.StatusOK, w.do(w.request("GET", "/open/", "")).StatusCode)
	}
	return len(e.Seen()) == before
}

// A gateway went on using the last record it had seen of an endpoint that left while it alone was cut off.
func TestEndpointThatLeftDuringAPartitionIsUsedAfterIt(t *testing.T) {
	t.Parallel()
	a := plain("a")
	w := newWorld(t, a, far("b"))
	_, store := w.startSwitched()
	w.eventually(func() bool { return !w.avoids(a) })

	store.cut.Store(true)
	w.logged(`"process":"gateway-2","error"`)
	w.site.Withdraw(a)
	w.logged(`"endpoint":"a","message":"endpoint gone"`)
	w.eventually(func() bool { return w.avoids(a) })
	w.logged(`"apart":true`) // until then it might be one call that has failed
	store.cut.Store(false)
	w.logged("the store answers again")
	require.True(t, w.avoids(a))
}

// A record that was written before the endpoint said that it leaves may arrive after it.
func TestLateRecordReopensALeavingEndpoint(t *testing.T) {
	t.Parallel()
	a := plain("a")
	w := newWorld(t, a, far("b"))
	w.site.Leave(a)
	w.logged(`"leaving":true`)
	w.synced()
	require.True(t, w.avoids(a))
	w.site.Announce(a)
	w.synced()
	require.True(t, w.avoids(a))
	w.site.Withdraw(a)
	w.logged(`"endpoint":"a","message":"endpoint gone"`)
	w.site.Announce(a)
	w.synced()
	require.True(t, w.avoids(a))
}

// synced waits until what the store holds now is in force: the second of two changes is read after the first is.
func (w *world) synced() {
	w.t.Helper()
	for range 2 {
		marker := fmt.Sprint("marker-", w.ids.Add(1))
		w.site.Store.Set("servers/"+marker, site.Record{Service: "another", Addr: "127.0.0.1:1", Zone: "north", Slots: 1, State: "ready"})
		w.logged(`"endpoint":"` + marker + `"`)
	}
}

// far returns an endpoint of another hall, so that one of the gateway's own is preferred.
func far(id string) *site.Endpoint {
	e := plain(id)
	e.Hall = "south"
	return e
}

// The word of an endpoint that it leaves was known to the gateway alone that had got it.
func TestOwnWordOfALeavingEndpointIsKnownToOneGateway(t *testing.T) {
	t.Parallel()
	a := plain("a")
	w := newWorld(t, a, far("b"))
	second := w.start("gateway-2")
	w.eventually(second.Ready)
	w.eventually(func() bool { return len(w.site.Store.Keys("grademill/gateways/")) == 2 })
	a.Say(site.Says{Leaving: true})
	require.False(t, w.avoids(a))
	w.target = w.serve(second)
	before := len(a.Seen())
	w.synced() // several digests later
	require.True(t, w.avoids(a))
	require.Len(t, a.Seen(), before)
}
