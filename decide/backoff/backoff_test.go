package backoff_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/backoff"
)

func TestDelay(t *testing.T) {
	b := backoff.Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	cases := []struct {
		name     string
		failures int
		jitter   float64
		want     time.Duration
	}{
		{"no failure", 0, 0.5, 0},
		{"first", 1, 0, 100 * time.Millisecond},
		{"doubles", 3, 0, 400 * time.Millisecond},
		{"is bounded", 50, 0, time.Second},
		{"jitter shortens", 50, 0.5, 750 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, b.Delay(c.failures, c.jitter))
		})
	}
}

func TestZeroValueNeverWaits(t *testing.T) {
	require.Zero(t, backoff.Backoff{}.Delay(9, 0))
}
