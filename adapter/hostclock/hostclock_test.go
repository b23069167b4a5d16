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

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		hostclock.Now()
	}
}
