package gateway_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// A request that ended endpoints was tried apart, for its third end, at the last endpoint that held the first
// layers: one a hall had them, and two halls had lost theirs to the same request. No chain began anywhere for
// 0.7 s then, 87 requests were refused and 124 streams broken off.
func TestSuspectIsTriedAtAnEndpointThatCanBeSpared(t *testing.T) {
	halls := []string{"north", "south", "west"}
	var endpoints []*site.Endpoint
	for _, hall := range halls {
		endpoints = append(endpoints, card("first-"+hall, hall), card("second-"+hall, hall))
	}
	f := newCrowd(t, halls, endpoints...)
	f.eventually(func() bool { return covered(endpoints, len(halls)) })
	f.knows(endpoints...)
	f.site.Doom(deadly)
	stop := f.press(20, func() *http.Request { return f.plan("/plan/1", 3) })
	bare := 0
	for arrival := range 12 {
		r := f.aim(f.request("POST", "/plan/9", deadly), arrival)
		r.Header.Set("X-Token-Usage", "10,3")
		r.Header.Set("X-Deadline-Ms", "300")
		f.do(r)
		live := slices.DeleteFunc(slices.Clone(endpoints), func(e *site.Endpoint) bool { return slices.Contains(f.site.Ended(), e) })
		if !covered(live, 1) {
			bare++
		}
		time.Sleep(arrivalEvery)
	}
	answers := stop()
	t.Logf("%d ended, %d looks without a chain, %v", len(f.site.Ended()), bare, answers)
	require.NotEmpty(t, f.site.Ended())
	require.Zero(t, bare, "there is always an endpoint at which chains begin")
}
