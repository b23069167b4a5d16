package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/retry"
)

func TestRetriesAreAShareOfFirstAttempts(t *testing.T) {
	now := time.Unix(1000, 0)
	b := retry.Budget{Share: 0.1, Window: time.Minute}
	require.False(t, b.Allow(now))
	for range 100 {
		b.CountFirstAttempt(now)
	}
	allowed := 0
	for range 100 {
		if b.Allow(now) {
			allowed++
		}
	}
	require.Equal(t, 10, allowed)
	require.True(t, b.Allow(now.Add(2*time.Minute)) == false, "first attempts before the window do not count")
}

func TestReserve(t *testing.T) {
	now := time.Unix(1000, 0)
	b := retry.Budget{Share: 0.1, Window: time.Minute, Reserve: 2}
	require.True(t, b.Allow(now))
	require.True(t, b.Allow(now))
	require.False(t, b.Allow(now))
	require.True(t, b.Allow(now.Add(time.Minute)))
}

// The bound must hold for every span as long as the window, wherever it starts. When retries were
// counted in half windows, a burst late in one half and another at the start of the next but one
// added up to twice the reserve within a window.
func TestBoundHoldsForEverySpan(t *testing.T) {
	const window, reserve = 10 * time.Second, 40
	b := retry.Budget{Window: window, Reserve: reserve}
	start := time.Unix(1000, 0)
	var allowed []time.Time
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		now := start.Add(at)
		if at%(7*time.Second) > 4*time.Second && b.Allow(now) {
			allowed = append(allowed, now)
		}
	}
	require.Greater(t, len(allowed), 3*reserve)
	for i, first := range allowed {
		n := 0
		for _, later := range allowed[i:] {
			if later.Sub(first) < window {
				n++
			}
		}
		require.LessOrEqual(t, n, reserve)
	}
}
