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

// Guards against an infinite rate after a count that is much older than the latest one, such as that
// of a request whose body took minutes to arrive.
func TestLateCount(t *testing.T) {
	start := time.Unix(1000, 0)
	m := rate.Meter{Span: time.Second}
	for i := range 20 {
		m = m.WithCount(start.Add(time.Duration(i)*100*time.Millisecond), 1)
	}
	now := start.Add(2 * time.Second)
	before := m.PerSecond(now)
	require.InDelta(t, before, m.WithCount(now.Add(-20*time.Minute), 1).PerSecond(now), 1e-9)
	require.InDelta(t, before, m.WithCount(now.Add(-20*time.Minute), 1).WithCount(now, 0).PerSecond(now), 1e-9)
	inOrder := rate.Meter{Span: time.Second}.WithCount(start, 1).WithCount(start.Add(time.Second), 1)
	late := rate.Meter{Span: time.Second}.WithCount(start, 1).WithCount(start.Add(2*time.Second), 0).WithCount(start.Add(time.Second), 1)
	require.InDelta(t, inOrder.PerSecond(now), late.PerSecond(now), 1e-9)
}
