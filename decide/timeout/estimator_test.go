package timeout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/timeout"
)

func TestEstimator(t *testing.T) {
	e := timeout.Estimator{Min: 100 * time.Millisecond, Max: 5 * time.Second}
	require.Equal(t, 5*time.Second, e.Value(), "no samples")
	for range 50 {
		e = e.WithSample(20 * time.Millisecond)
	}
	require.Equal(t, 100*time.Millisecond, e.Value(), "no lower than the minimum")
	for range 50 {
		e = e.WithSample(time.Second)
	}
	require.InDelta(t, float64(time.Second), float64(e.Mean()), float64(20*time.Millisecond))
	require.Greater(t, e.Value(), 2*time.Second-50*time.Millisecond)
	require.LessOrEqual(t, e.Value(), 5*time.Second)
}
