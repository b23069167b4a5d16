package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// bornCard is a card that says when it started.
func bornCard(id string) *site.Endpoint {
	c := card(id, "north")
	c.Born = 1
	return c
}

// A part that has started again under its ID answers checks, but what passed through it is
// lost: its report names another life than its record, and streams are moved by that, before
// the endpoints before it tell of a standstill.
func TestPartThatHasStartedAgainIsFoundByItsReport(t *testing.T) {
	t.Parallel()
	var cards []*site.Endpoint
	for i := range 4 {
		cards = append(cards, bornCard(fmt.Sprint("card-", i)))
		cards[i].ReportLag = patience
	}
	w := newWorld(t, cards...)
	w.eventually(func() bool { return covered(cards, 2) })
	w.knows(cards...)
	answer, r, later := w.mid(cards, 200)
	later[0].Restart()
	require.Equal(t, whole(200), w.rest(answer))
	require.Contains(t, usesOf(t, w, r.Header.Get("X-Request-Id")), "moved: ")
	layersHold(t, w)
}

// What an endpoint was ordered to hold in a former life it does not hold: the hole is closed
// although the order has not been carried out.
func TestOrdersOfAFormerLifeAreForgotten(t *testing.T) {
	t.Parallel()
	var cards []*site.Endpoint
	for i := range 2 {
		cards = append(cards, bornCard(fmt.Sprint("card-", i)))
	}
	w := newWorld(t, cards...)
	w.eventually(func() bool { return covered(cards, 1) })
	w.knows(cards...)
	next := cards[0].Next()
	cards[0].Kill()
	w.site.Stop(cards[0])
	require.NoError(t, w.site.Start(next))
	w.logged("endpoint has started again")
	w.eventually(func() bool { return covered([]*site.Endpoint{next, cards[1]}, 1) })
	w.eventually(func() bool { return w.do(w.plan("/plan/1", 3)).body == whole(3) })
	layersHold(t, w)
}

// A record of a former life that comes late changes nothing.
func TestLateRecordOfAFormerLifeIsPassedOver(t *testing.T) {
	t.Parallel()
	former := plain("a")
	former.Born = 1
	w := newWorld(t, former)
	next := former.Next()
	require.NoError(t, w.site.Start(next))
	w.eventually(func() bool {
		require.Equal(t, http.StatusOK, w.do(w.request("POST", "/freeze/1", "x")).StatusCode)
		return len(next.Seen()) > 0
	})
	w.site.Announce(former)
	w.configure(true)
	w.logged(fmt.Sprintf(`"version":%d,`, w.version)) // what was written before it is known
	seen := len(former.Seen())
	require.Equal(t, http.StatusOK, w.do(w.request("POST", "/freeze/1", "x")).StatusCode)
	require.Len(t, former.Seen(), seen)
}

// Endpoints that come back under their IDs are counted by their lives: two of them that end
// again and again under a request are more than two ends.
func TestLivesUnderOneIDAreCounted(t *testing.T) {
	t.Parallel()
	f := &flock{path: "/freeze/9", fresh: func(id string) *site.Endpoint {
		e := plain(id)
		e.Born = 1
		return e
	}, again: true}
	newFlock(t, 2, f)
	const arrivals, most = 12, 6
	for i := range arrivals {
		f.restore()
		time.Sleep(arrivalEvery)
		f.send(i, deadly)
	}
	require.LessOrEqual(t, len(f.site.Ended()), most)
	require.Contains(t, f.log.String(), `"message":"request is quarantined"`)
}

// A record that another writer spoilt names no endpoint to use; the others hold, and so does
// all else that the store tells.
func TestSpoiltRecordsNameNoEndpoint(t *testing.T) {
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
			w := newWorld(t, spoilt, sound)
			if name != "no address" && name != "another type" && name != "empty" && name != "no JSON" {
				text = fmt.Sprintf(text, spoilt.Address())
			}
			w.site.Overwrite(spoilt, text)
			w.site.Store.SetText("servers/nobody", []byte(text))
			w.configure(true)
			w.logged(fmt.Sprintf(`"version":%d,`, w.version))
			w.logged(`"endpoint":"nobody"`)
			w.eventually(func() bool { // what was read with the configuration is in force a moment later
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

// A value that cannot be read at all spoils no other: a gateway that starts then reads the
// rest.
func TestUnreadableValueSpoilsNoOther(t *testing.T) {
	t.Parallel()
	w := newWorld(t, plain("a"))
	w.site.Store.SetValue("servers/x", "%%% no base64 %%%")
	later := w.start("gateway-2")
	w.eventually(later.Ready)
	w.target = w.serve(later)
	w.eventually(func() bool { return w.do(w.request("POST", "/freeze/1", "x")).StatusCode == http.StatusOK })
}

// A record of a service that no configuration names hides no endpoint that has the same address:
// what is learned by the address is learned of the endpoint that is used.
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
	w.logged(`"endpoint":"ghost-11"`)
	w.configure(true)
	w.logged(fmt.Sprintf(`"version":%d,`, w.version))
	for w.do(w.plan("/plan/1", 3)); len(first.Seen()) == 0; {
		w.do(w.plan("/plan/1", 3))
	}
	first.Stay(site.Refuse)
	seen := len(first.Seen())
	const requests = 40
	for range requests { // within the time for which one that refused is passed over
		require.Equal(t, whole(1), w.do(w.plan("/plan/1", 1)).body)
	}
	require.Less(t, len(first.Seen())-seen, requests/4)
}
