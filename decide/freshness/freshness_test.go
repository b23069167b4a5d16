package freshness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/freshness"
)

func TestPolicy(t *testing.T) {
	p := freshness.Policy{Revocation: 5 * time.Second}
	require.True(t, p.Serves(3600*time.Millisecond))
	require.False(t, p.Serves(3700*time.Millisecond))
	require.True(t, p.Ready(2900*time.Millisecond))
	require.False(t, p.Ready(3*time.Second))
	var none freshness.Policy
	require.True(t, none.Serves(time.Hour))
	require.True(t, none.Ready(time.Hour))
}

// In calm times a proof never gets too old to serve or to be ready, whatever the
// bound: two questions fit.
func TestTwoQuestionsFit(t *testing.T) {
	for bound := 2 * time.Second; bound < 30*time.Second; bound += 100 * time.Millisecond {
		p := freshness.Policy{Revocation: bound}
		oldest := 2 * p.Wait()
		require.True(t, p.Serves(oldest), bound)
		require.True(t, p.Ready(oldest), bound)
	}
}
