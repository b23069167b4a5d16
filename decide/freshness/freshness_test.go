package freshness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/freshness"
)

func TestPolicy(t *testing.T) {
	p := freshness.Policy{Revocation: 5 * time.Second}
	require.True(t, p.MayServe(3600*time.Millisecond))
	require.False(t, p.MayServe(3700*time.Millisecond))
	require.True(t, p.Ready(2900*time.Millisecond))
	require.False(t, p.Ready(3*time.Second))
	var none freshness.Policy
	require.True(t, none.MayServe(time.Hour))
	require.True(t, none.Ready(time.Hour))
}

// A proof must be late early enough before requests are refused for a load balancer to notice, and
// never in normal operation.
func TestLateness(t *testing.T) {
	for bound := 4 * time.Second; bound < 30*time.Second; bound += 100 * time.Millisecond {
		p := freshness.Policy{Revocation: bound}
		require.False(t, p.Late(2*p.WatchTimeout(), false), bound)
		require.False(t, p.Late(p.WatchTimeout(), true), bound)
		late := 2*p.WatchTimeout() + time.Second
		require.True(t, p.Late(late, false), bound)
		require.True(t, p.Late(late-p.WatchTimeout(), true), bound)
		require.True(t, p.MayServe(late-500*time.Millisecond), bound)
	}
}

// In normal operation a proof must never get too old to serve or to be ready, whatever the bound,
// because two watch requests fit into it.
func TestTwoWatchRequestsFitTheBound(t *testing.T) {
	for bound := 2 * time.Second; bound < 30*time.Second; bound += 100 * time.Millisecond {
		p := freshness.Policy{Revocation: bound}
		oldest := 2 * p.WatchTimeout()
		require.True(t, p.MayServe(oldest), bound)
		require.True(t, p.Ready(oldest), bound)
	}
}
