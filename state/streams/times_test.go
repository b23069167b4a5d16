package streams_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/state/streams"
)

// Each service has its own estimates, which follow the recorded times.
func TestTimes(t *testing.T) {
	var times streams.Times
	require.Zero(t, times.ExpectedFirst("a"))
	require.Zero(t, times.RequestDuration("a"))
	for range 50 {
		times.NoteFirst("a", 100*time.Millisecond)
		times.NoteDuration("a", 3*time.Second)
	}
	require.InDelta(t, 200*time.Millisecond, times.ExpectedFirst("a"), float64(20*time.Millisecond))
	require.InDelta(t, 3*time.Second, times.RequestDuration("a"), float64(100*time.Millisecond))
	require.Zero(t, times.ExpectedFirst("b"))
	require.Zero(t, times.RequestDuration("b"))
}
