package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// spoken are the fleets before which endpoints speak: four cards, and two plain endpoints.
func spoken() map[string][]*site.Endpoint {
	return map[string][]*site.Endpoint{
		"/plan/1":   {card("card-0", "north"), card("card-1", "north"), card("card-2", "south"), card("card-3", "south")},
		"/freeze/1": {plain("plain-0"), plain("plain-1")},
	}
}

// speak has the busiest endpoint before a gateway in each of some halls say something, under 50 requests a
// second, and returns it with when it did so, and what ends the requests.
func speak(t *testing.T, path string, halls []string, endpoints []*site.Endpoint, says site.Says) (
	*flock, *site.Endpoint, time.Time, func() map[int]int,
) {
	f := newCrowd(t, halls, endpoints...)
	if path == "/plan/1" {
		f.settled(endpoints)
	}
	stop := f.press(50, func() *http.Request { return f.plan(path, 3) })
	e := f.busiest(endpoints)
	e.Say(says)
	return f, e, time.Now(), stop
}

// servedAll checks that nearly all requests were served.
func servedAll(t *testing.T, answers map[int]int) {
	t.Helper()
	total := 0
	for _, n := range answers {
		total += n
	}
	require.Greater(t, answers[http.StatusOK], total*9/10, "the others have room: %v", answers)
}

// Two first endpoints turned all requests away for nine seconds and asked each time for a rest of three. Each
// of five gateways went on to send them a request every 0.25 to 0.5 s, eight within one rest where two are
// allowed: a refusal took an endpoint out of choice for 0.2 s, whatever it said, and a plain endpoint
// was sent to as a last resort even then. "chain refused the request" came in pairs for each request, 2 ms
// apart, while the third endpoint served it; with the header read, "endpoint asks for rest" stood beside each.
func TestEndpointThatAsksForRestGetsIt(t *testing.T) {
	const rest = 2 * time.Second
	for path, endpoints := range spoken() {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f, e, _, stop := speak(t, path, []string{"north"}, endpoints, site.Says{Rest: rest})
			before := len(e.Arrived())
			f.eventually(func() bool { return len(e.Arrived()) > before })
			asked := e.Arrived()[before]
			f.eventually(func() bool { return time.Since(asked) > 2*rest+time.Second })
			away := e.Arrived()[before:]
			e.Say(site.Says{})
			f.eventually(func() bool { return len(e.Arrived()) > before+len(away)+5 }) // it is used again
			answers := stop()
			require.LessOrEqual(t, site.MostWithinRest(away, rest), site.RestSlack, "of %d", len(away))
			servedAll(t, answers)
		})
	}
}

// An endpoint that leaves says so in its answers, and a gateway may hear of that seconds before the record in
// the store does, or without it. It went on to be sent requests until its record said so: nothing read that word.
func TestEndpointThatSaysThatItLeavesGetsNothingNew(t *testing.T) {
	for path, endpoints := range spoken() {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f, e, said, stop := speak(t, path, []string{"north"}, endpoints, site.Says{Leaving: true})
			f.eventually(func() bool { return time.Since(said) > site.LeavingHeard+2*time.Second })
			servedAll(t, stop())
			last := e.Arrived()[len(e.Arrived())-1]
			require.Less(t, last.Sub(said), site.LeavingHeard)
		})
	}
}
