package inflight_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/state/inflight"
)

func TestCloseOnlyWithoutRequestsInFlight(t *testing.T) {
	var s inflight.Counter
	require.True(t, s.Enter())
	require.Equal(t, 1, s.Count())
	require.False(t, s.Close(false), "a request is in flight")
	require.True(t, s.Enter())
	s.Leave()
	s.Leave()
	require.True(t, s.Close(false))
	require.False(t, s.Enter())
	require.Zero(t, s.Count())
}

// A forced close takes effect while requests are in flight, which still count until they
// leave.
func TestForcedCloseKeepsCounting(t *testing.T) {
	var s inflight.Counter
	require.True(t, s.Enter())
	require.True(t, s.Close(true))
	require.False(t, s.Enter())
	require.Equal(t, 1, s.Count())
	s.Leave()
	require.Zero(t, s.Count())
}
