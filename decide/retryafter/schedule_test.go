package retryafter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/retryafter"
)

// Callers rejected together must be told to retry one after the other, at a quarter of the
// admission rate, and never later than the maximum delay.
func TestRetryTimesAreSpread(t *testing.T) {
	var b retryafter.Schedule
	now := time.Unix(1000, 0)
	perSecond := make(map[int]int)
	for range 165 {
		wait := b.Delay(now, retryafter.Load{Admitted: 40}, 6*time.Second)
		require.GreaterOrEqual(t, wait, 500*time.Millisecond)
		require.LessOrEqual(t, wait, 6*time.Second)
		perSecond[int(wait/time.Second)]++
	}
	for second := 1; second < 6; second++ {
		require.InDelta(t, 30, perSecond[second], 2, second) // 165 over 5.5 s: the times started over
	}
}

func TestFirstCallerGetsMinimumDelay(t *testing.T) {
	var b retryafter.Schedule
	now := time.Unix(1000, 0)
	require.Equal(t, 500*time.Millisecond, b.Delay(now, retryafter.Load{Admitted: 40}, 6*time.Second))
	later := now.Add(time.Minute)
	require.Equal(t, 500*time.Millisecond, b.Delay(later, retryafter.Load{Admitted: 40}, 6*time.Second), "earlier times have passed")
}

// A caller with a short timeout must not be given a longer delay.
func TestDelayIsWithinTheCallersTimeout(t *testing.T) {
	var b retryafter.Schedule
	for range 20 {
		require.LessOrEqual(t, b.Delay(time.Unix(1000, 0), retryafter.Load{RequestDuration: 3 * time.Second}, 150*time.Millisecond), 150*time.Millisecond)
	}
}

// Slots stay taken for about the duration of a request, so no caller may be told to retry sooner,
// and callers rejected together must still retry one after the other.
func TestDelayIsAtLeastTheRequestDuration(t *testing.T) {
	var b retryafter.Schedule
	now := time.Unix(1000, 0)
	load := retryafter.Load{Admitted: 40, RequestDuration: 3 * time.Second}
	before := time.Duration(0)
	for range 30 {
		wait := b.Delay(now, load, 6*time.Second)
		require.GreaterOrEqual(t, wait, 3*time.Second)
		require.Greater(t, wait, before)
		before = wait
	}
	require.Equal(t, 3*time.Second, b.Delay(now.Add(time.Minute), load, 6*time.Second))
}
