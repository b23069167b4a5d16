package rate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/rate"
)

func TestPerSecond(t *testing.T) {
	start := time.Unix(1000, 0)
	var m rate.Meter
	require.Zero(t, m.PerSecond(start))
	now := start
	for range 600 {
		m = m.WithCount(now, 5)
		now = now.Add(100 * time.Millisecond)
	}
	require.InDelta(t, 50, m.PerSecond(now), 2)
	require.InDelta(t, 50/2.718, m.PerSecond(now.Add(rate.DefaultSpan)), 2, "the rate decays without counts")
}

// One count after a pause must not make the rate collapse.
func TestPauseKeepsEarlierCounts(t *testing.T) {
	start := time.Unix(1000, 0)
	var m rate.Meter
	for i := range 20 {
		m = m.WithCount(start.Add(time.Duration(i)*100*time.Millisecond), 100)
	}
	later := start.Add(4 * time.Second)
	m = m.WithCount(later, 1)
	require.Greater(t, m.PerSecond(later), 300.0)
}
