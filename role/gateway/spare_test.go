package gateway_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// A suspect is not tried at the only endpoint left that holds the first layers. Without this, where each
// hall had one such endpoint and two halls had lost theirs to the same request, the request was isolated at
// the third: for 0.7 s no chain could begin anywhere, 87 requests were refused and 124 streams were broken
// off.
func TestSuspectIsIsolatedAtASpareEndpoint(t *testing.T) {
	halls := []string{"north", "south", "west"}
	var endpoints []*site.Endpoint
	for _, hall := range halls {
		endpoints = append(endpoints, card("first-"+hall, hall), card("second-"+hall, hall))
	}
	f := newFleetInHalls(t, halls, endpoints...)
	f.eventually(func() bool { return covered(endpoints, len(halls)) })
	f.waitForLayers(endpoints...)
	f.site.CrashOn(poison)
	stop := f.generateLoad(20, func() *http.Request { return f.streamRequest("/plan/1", 3) })
	uncovered := 0
	for arrival := range 12 {
		r := f.roundRobin(f.request("POST", "/plan/9", poison), arrival)
		r.Header.Set("X-Token-Usage", "10,3")
		r.Header.Set("X-Deadline-Ms", "300")
		f.do(r)
		live := slices.DeleteFunc(slices.Clone(endpoints), func(e *site.Endpoint) bool { return slices.Contains(f.site.Crashed(), e) })
		if !covered(live, 1) {
			uncovered++
		}
		time.Sleep(arrivalInterval)
	}
	answers := stop()
	t.Logf("%d ended, %d checks without a chain, %v", len(f.site.Crashed()), uncovered, answers)
	require.NotEmpty(t, f.site.Crashed())
	require.Zero(t, uncovered, "an endpoint with the first layers is always left")
}
