package turnstile_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/state/turnstile"
)

func TestTurnstile(t *testing.T) {
	var s turnstile.Turnstile
	require.True(t, s.Enter())
	require.Equal(t, 1, s.Count())
	require.False(t, s.Close(false), "one is in flight")
	require.True(t, s.Enter())
	s.Leave()
	s.Leave()
	require.True(t, s.Close(false))
	require.False(t, s.Enter())
	require.Zero(t, s.Count())
}

// With force it closes while requests are in flight, and counts them on.
func TestForce(t *testing.T) {
	var s turnstile.Turnstile
	require.True(t, s.Enter())
	require.True(t, s.Close(true))
	require.False(t, s.Enter())
	require.Equal(t, 1, s.Count())
	s.Leave()
	require.Zero(t, s.Count())
}
