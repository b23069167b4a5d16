package callertimeout_test

import (
	"math/rand/v2"
	"testing"
	"time"

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

// Guards against callers that retry at once and count as new, or as ones that kept the delay of at
// least 500 ms, and against the reverse.
func TestEarlyCallers(t *testing.T) {
	const timeout, minDelay = 20 * time.Second, 500 * time.Millisecond
	after := func(first float64, elapsed time.Duration) float64 { return first - float64(elapsed)/float64(timeout) }
	for _, usual := range []float64{1, 0.5} {
		var l callertimeout.Estimate
		for range 64 {
			l = l.WithShare(usual)
		}
		for elapsed, early := range map[time.Duration]bool{
			0: false, time.Millisecond: false, 5 * time.Millisecond: true, 399 * time.Millisecond: true,
			401 * time.Millisecond: false, 500 * time.Millisecond: false, 6 * time.Second: false,
		} {
			require.Equal(t, early, l.IsEarly(after(usual, elapsed), timeout, minDelay), "%v after a first attempt with %v", elapsed, usual)
			require.InDelta(t, elapsed.Seconds(), l.SinceFirst(after(usual, elapsed), timeout).Seconds(), 0.001)
		}
		require.Zero(t, l.SinceFirst(usual+0.1, timeout))
		require.False(t, l.IsEarly(after(usual, 150*time.Millisecond), timeout, 150*time.Millisecond), "kept a short delay")
		require.False(t, l.IsEarly(0.1, 0, minDelay), "no timeout")
	}
}

// Guards against new callers that count as early because they set different timeouts, and against
// callers that kept their delay and count as early because their timeout was longer than others'.
func TestVaryingTimeoutsAreNotEarly(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for _, spread := range []float64{0.0002, 0.005, 0.15} {
		first := func() float64 { return 1 - spread*random.Float64() }
		var l callertimeout.Estimate
		require.False(t, l.IsEarly(first(), 20*time.Second, 500*time.Millisecond), "no data")
		for range 64 {
			l = l.WithShare(first())
		}
		misjudged, kept := 0, 0
		for range 1000 {
			if l.IsEarly(first(), 20*time.Second, 500*time.Millisecond) {
				misjudged++
			}
			if l.IsEarly(first()-0.025, 20*time.Second, 500*time.Millisecond) {
				kept++
			}
		}
		require.Zero(t, misjudged, spread)
		require.Zero(t, kept, spread)
	}
}
