package callertimeout_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/callertimeout"
)

// If all callers use the route's full timeout, a caller with less time left is a returning one.
func TestFullTimeouts(t *testing.T) {
	var l callertimeout.Estimate
	require.True(t, l.IsReturning(0.9), "no data on callers with shorter timeouts")
	for range 200 {
		l = l.WithShare(1)
	}
	require.False(t, l.IsReturning(1))
	require.True(t, l.IsReturning(0.97))
}

// If callers start with 0.85 to 1 of the route's timeout, few new ones may be misjudged, and
// returning callers with a long delay must be recognized.
func TestVaryingTimeouts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	first := func() float64 { return 0.85 + 0.15*random.Float64() }
	var l callertimeout.Estimate
	for range 64 {
		l = l.WithShare(first())
	}
	misjudged := 0
	for range 1000 {
		if l.IsReturning(first()) {
			misjudged++
		}
	}
	require.Less(t, misjudged, 30)
	require.True(t, l.IsReturning(0.8))
}

// A few callers that retry after a fault must not move the estimate, and the estimate must follow a
// change in the callers' timeouts.
func TestFollowsChangesAndIgnoresOutliers(t *testing.T) {
	var l callertimeout.Estimate
	for i := range 64 {
		share := 1.0
		if i%32 == 7 {
			share = 0.5
		}
		l = l.WithShare(share)
	}
	require.InDelta(t, 1, l.Min(), 1e-6)
	for range 64 {
		l = l.WithShare(0.7)
	}
	require.InDelta(t, 0.7, l.Min(), 1e-6)
	require.False(t, l.IsReturning(0.7))
}
