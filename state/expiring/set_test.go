package expiring_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/state/expiring"
)

// Guards against a value that stays for ever, or expires although it was added again.
func TestValueExpiresAfterItWasLastAdded(t *testing.T) {
	s := expiring.Set[string]{Lifetime: time.Second}
	start := time.Unix(1000, 0)
	require.False(t, s.Has("a", start))
	s.Add("a", start)
	require.True(t, s.Has("a", start.Add(999*time.Millisecond)))
	require.False(t, s.Has("a", start.Add(time.Second)))
	require.False(t, s.Has("b", start))
	s.Add("a", start.Add(time.Second))
	require.True(t, s.Has("a", start.Add(1500*time.Millisecond)))
}
