package liveness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/liveness"
)

const ms = time.Millisecond

// Guards against signs of life that count for too long, so that a loss is found late, or for too
// short, so that live endpoints are checked all the time.
func TestSignsOfLifeExpire(t *testing.T) {
	for name, c := range map[string]struct {
		counts func(time.Duration) bool
		last   time.Duration
	}{
		"event shows life":                 {liveness.Alive, 50*ms - 1},
		"event shows work":                 {liveness.Working, 400*ms - 1},
		"own check":                        {liveness.Checked, 800*ms - 1},
		"check by others, first checker":   {func(d time.Duration) bool { return liveness.CheckedByOthers(d, 0) }, 800*ms - 1},
		"check by others, third checker":   {func(d time.Duration) bool { return liveness.CheckedByOthers(d, 2) }, 1100*ms - 1},
		"check by others, last of a fleet": {func(d time.Duration) bool { return liveness.CheckedByOthers(d, 500) }, liveness.CheckReportTime - 1},
		"not idle":                         {func(d time.Duration) bool { return !liveness.Idle(d) }, 400 * ms},
		"silence before the end":           {func(d time.Duration) bool { return !liveness.Ended(d) }, 700*ms - 1},
		"reports by others believed":       {func(d time.Duration) bool { return !liveness.VerifyReports(d) }, 1200 * ms},
		"first recheck, down here alone":   {func(d time.Duration) bool { return !liveness.RecheckDue(d, 1, false) }, 400*ms - 1},
		"third recheck, down here alone":   {func(d time.Duration) bool { return !liveness.RecheckDue(d, 3, false) }, 1600*ms - 1},
		"first recheck, down for others":   {func(d time.Duration) bool { return !liveness.RecheckDue(d, 1, true) }, 3000*ms - 1},
	} {
		t.Run(name, func(t *testing.T) {
			require.True(t, c.counts(0) && c.counts(c.last))
			require.False(t, c.counts(c.last+1))
		})
	}
}

// Guards against an endpoint that is checked by one gateway only, or by all.
func TestTwoGatewaysAreCheckers(t *testing.T) {
	require.True(t, liveness.IsChecker(0) && liveness.IsChecker(1))
	require.False(t, liveness.IsChecker(2))
}

// Guards against waits that do not grow or have no bound.
func TestWaitsGrowToABound(t *testing.T) {
	for i, want := range []time.Duration{0, 250 * ms, 500 * ms, 1000 * ms, 1000 * ms} {
		require.Equal(t, want, liveness.StarvedWait(i))
	}
	for i, want := range []time.Duration{0, 3000 * ms, 6000 * ms, 12000 * ms, 12000 * ms} {
		require.Equal(t, want, liveness.StallWait(i))
	}
}
