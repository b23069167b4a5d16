package hostclock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/hostclock"
)

// The clock advances and never goes back.
func TestNowGoesOn(t *testing.T) {
	first := hostclock.Now()
	last := first
	for last.Equal(first) || last.Sub(first) < 5*time.Millisecond {
		now := hostclock.Now()
		require.False(t, now.Before(last))
		last = now
	}
}

// Guards against proofs of freshness that follow the time of day on a system without the clock.
func TestClockOfOtherSystemsIsNotTheTimeOfDay(t *testing.T) {
	first := hostclock.SinceStart()
	require.Equal(t, 1970, first.UTC().Year())
	time.Sleep(time.Millisecond)
	require.Greater(t, hostclock.SinceStart().UnixNano(), first.UnixNano())
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		hostclock.Now()
	}
}
