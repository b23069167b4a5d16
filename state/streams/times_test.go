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
	require.Zero(t, times.First("a"))
	require.Zero(t, times.Lasts("a"))
	for range 50 {
		times.NoteFirst("a", 100*time.Millisecond)
		times.NoteWhole("a", 3*time.Second)
	}
	require.InDelta(t, 200*time.Millisecond, times.First("a"), float64(20*time.Millisecond))
	require.InDelta(t, 3*time.Second, times.Lasts("a"), float64(100*time.Millisecond))
	require.Zero(t, times.First("b"))
	require.Zero(t, times.Lasts("b"))
}
