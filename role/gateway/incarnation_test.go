package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// cardWithBirth returns a card whose record holds its start time.
func cardWithBirth(id string) *site.Endpoint {
	c := card(id, "north")
	c.Started = 1
	return c
}

// A part of a chain that has restarted under the same ID answers checks, but has lost the streams that
// passed through it. Its report names another incarnation than its record, so the streams are moved before
// the endpoints ahead of it report a stall.
func TestRestartedPartIsFoundByItsReport(t *testing.T) {
	t.Parallel()
	var cards []*site.Endpoint
	for i := range 4 {
		cards = append(cards, cardWithBirth(fmt.Sprint("card-", i)))
		cards[i].ReportLag = testTimeout
	}
	w := newFixture(t, cards...)
	w.eventually(func() bool { return covered(cards, 2) })
	w.waitForLayers(cards...)
	answer, r, later := w.startStream(cards, 200)
	later[0].Restart()
	require.Equal(t, fullBody(200), w.readRest(answer))
	require.Contains(t, endLine(t, w, r.Header.Get("X-Request-Id")), "moved: ")
	requireLayersInOrder(t, w)
}

// Orders of a previous incarnation say nothing about the layers of the present one: uncovered layers are
// assigned again although the order has not been carried out.
func TestOrdersOfAPreviousIncarnationAreForgotten(t *testing.T) {
	t.Parallel()
	var cards []*site.Endpoint
	for i := range 2 {
		cards = append(cards, cardWithBirth(fmt.Sprint("card-", i)))
	}
	w := newFixture(t, cards...)
	w.eventually(func() bool { return covered(cards, 1) })
	w.waitForLayers(cards...)
	next := cards[0].NextIncarnation()
	cards[0].Silence()
	w.site.Stop(cards[0])
	require.NoError(t, w.site.Start(next))
	w.waitForLog("endpoint has started again")
	w.eventually(func() bool { return covered([]*site.Endpoint{next, cards[1]}, 1) })
	w.eventually(func() bool { return w.do(w.streamRequest("/plan/1", 3)).body == fullBody(3) })
	requireLayersInOrder(t, w)
}

// A late record of a previous incarnation is ignored.
func TestLateRecordOfAPreviousIncarnationIsIgnored(t *testing.T) {
	t.Parallel()
	former := plain("a")
	former.Started = 1
	w := newFixture(t, former)
	next := former.NextIncarnation()
	require.NoError(t, w.site.Start(next))
	w.eventually(func() bool {
		require.Equal(t, http.StatusOK, w.do(w.request("POST", "/freeze/1", "x")).StatusCode)
		return len(next.Seen()) > 0
	})
	w.site.Announce(former)
	w.configure(true)
	w.waitForLog(fmt.Sprintf(`"version":%d,`, w.version)) // everything written before is known
	seen := len(former.Seen())
	require.Equal(t, http.StatusOK, w.do(w.request("POST", "/freeze/1", "x")).StatusCode)
	require.Len(t, former.Seen(), seen)
}

// Endpoints that return under their IDs are counted by incarnation: if two endpoints end several times each
// under a request, each time counts as an end.
func TestIncarnationsUnderOneIDAreCounted(t *testing.T) {
	t.Parallel()
	f := &fleet{path: "/freeze/9", newEndpoint: func(id string) *site.Endpoint {
		e := plain(id)
		e.Started = 1
		return e
	}, reuseIDs: true}
	newFleet(t, 2, f)
	const arrivals, most = 12, 6
	for i := range arrivals {
		f.replaceEnded()
		time.Sleep(arrivalInterval)
		f.send(i, poison)
	}
	require.LessOrEqual(t, len(f.site.Crashed()), most)
	require.Contains(t, f.log.String(), `"message":"request is quarantined"`)
}

// A record that another writer has corrupted makes its endpoint unusable, but affects no other record or
// other data in the store.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"no JSON":         "\x00\xff{",
		"empty":           "",
		"missing count":   `{"service":"records","addr":%q,"zone":"north","slots":64,"state":"ready","version":"v1","cold_left_ms":0}`,
		"another type":    `{"service":"records","addr":7,"zone":"north","slots":64,"state":"ready","version":"v1","cold_left_ms":0,"seq":1}`,
		"no address":      `{"service":"records","zone":"north","slots":64,"state":"ready","version":"v1","cold_left_ms":0,"seq":1}`,
		"unknown state":   `{"service":"records","addr":%q,"zone":"north","slots":64,"state":"gone fishing","version":"v1","cold_left_ms":0,"seq":1}`,
		"unknown service": `{"service":"elsewhere","addr":%q,"zone":"north","slots":64,"state":"ready","version":"v1","cold_left_ms":0,"seq":1}`,
		"fraction":        `{"service":"records","addr":%q,"zone":"north","slots":64,"state":"ready","born":1.5,"version":"v1","cold_left_ms":0,"seq":1}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			spoilt, sound := plain("a"), plain("b")
			w := newFixture(t, spoilt, sound)
			if name != "no address" && name != "another type" && name != "empty" && name != "no JSON" {
				text = fmt.Sprintf(text, spoilt.Address())
			}
			w.site.Overwrite(spoilt, text)
			w.site.Store.SetText("servers/nobody", []byte(text))
			w.configure(true)
			w.waitForLog(fmt.Sprintf(`"version":%d,`, w.version))
			w.waitForLog(`"endpoint":"nobody"`)
			w.eventually(func() bool { // records read with the configuration take effect shortly after it
				seen := len(spoilt.Seen())
				for range 10 {
					require.Equal(t, http.StatusOK, w.do(w.request("POST", "/freeze/1", "x")).StatusCode)
				}
				return len(spoilt.Seen()) == seen
			})
			w.site.Announce(spoilt)
			w.site.Stop(sound)
			w.eventually(func() bool { return w.do(w.request("POST", "/freeze/1", "x")).StatusCode == http.StatusOK })
		})
	}
}

// A value that cannot be decoded at all does not affect others: a gateway that starts then reads them.
func TestUndecodableValueDoesNotAffectOthers(t *testing.T) {
	t.Parallel()
	w := newFixture(t, plain("a"))
	w.site.Store.SetValue("servers/x", "%%% no base64 %%%")
	later := w.start("gateway-2")
	w.eventually(later.Ready)
	w.target = w.serve(later)
	w.eventually(func() bool { return w.do(w.request("POST", "/freeze/1", "x")).StatusCode == http.StatusOK })
}

// A record of a service that no configuration names does not hide an endpoint with the same address: what
// the gateway learns by address applies to the endpoint in use.
func TestRecordOfAnUnknownServiceHidesNoEndpoint(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	var first *site.Endpoint
	for _, c := range cards {
		if from, _ := c.Layers(); from == 0 {
			first = c
		}
	}
	for i := range 12 {
		ghost := &site.Endpoint{ID: fmt.Sprint("ghost-", i), Service: "elsewhere", Hall: "north", Public: first.Address()}
		w.site.Announce(ghost)
	}
	w.waitForLog(`"endpoint":"ghost-11"`)
	w.configure(true)
	w.waitForLog(fmt.Sprintf(`"version":%d,`, w.version))
	for w.do(w.streamRequest("/plan/1", 3)); len(first.Seen()) == 0; {
		w.do(w.streamRequest("/plan/1", 3))
	}
	first.SetMode(site.Refuse)
	seen := len(first.Seen())
	const requests = 40
	for range requests { // within the time for which an endpoint is avoided after a refusal
		require.Equal(t, fullBody(1), w.do(w.streamRequest("/plan/1", 1)).body)
	}
	require.Less(t, len(first.Seen())-seen, requests/4)
}
