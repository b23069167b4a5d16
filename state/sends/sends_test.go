package sends_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/state/sends"
)

// Guards against a refused send that counts as a run, and against a run that a later refusal of the same endpoint takes away
// twice.
func TestOnlySendsThatMayHaveRunCountAsRuns(t *testing.T) {
	var s sends.Sends[string]
	last, at := s.Last()
	require.Empty(t, last)
	require.Zero(t, at)
	now := time.Unix(1000, 0)
	for i, endpoint := range []string{"a", "b", "a"} {
		s.Add(endpoint, now.Add(time.Duration(i)))
	}
	s.NotRun("b")
	s.NotRun("a")
	s.NotRun("c")
	require.Equal(t, []string{"a"}, s.Ran())
	require.Equal(t, 3, s.Count())
	last, at = s.Last()
	require.Equal(t, "a", last)
	require.Equal(t, now.Add(2), at)
}
