package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/retryafter"
	"github.com/grademill/grademill/role/admission"
)

// Guards against callers that retry at once going before new requests, as returning callers do,
// while the admission by the fleet's load is switched off.
func TestEarlyCallersAreNewOnesWithoutFleetLoad(t *testing.T) {
	for _, c := range []struct {
		name      string
		fleetLoad func(string, retryafter.Load) retryafter.Load
		early     bool
	}{
		{"switched off", nil, false},
		{"switched on", func(_ string, l retryafter.Load) retryafter.Load { return l }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			line := admission.Queue[struct{}]{FleetLoad: c.fleetLoad}
			r := admission.Request{Service: "assistant", RouteTimeout: routeTimeout, CallerTimeout: routeTimeout, Start: time.Unix(1000, 0)}
			for range 30 {
				line.Arrive(r)
			}
			r.CallerTimeout -= 50 * time.Millisecond
			returned, early := line.Arrive(r)
			require.Equal(t, c.early, returned)
			require.Equal(t, c.early, early)
		})
	}
}
