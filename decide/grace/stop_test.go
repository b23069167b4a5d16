package grace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/grace"
)

func TestTakes(t *testing.T) {
	begun := time.Unix(1000, 0)
	s := grace.Stop{Open: begun.Add(2 * time.Second), End: begun.Add(8 * time.Second)}
	for _, c := range []struct {
		name          string
		now, deadline time.Duration
		want          bool
	}{
		{"callers may not know yet", time.Second, 20 * time.Second, true},
		{"late, may be cut", 2 * time.Second, 20 * time.Second, false},
		{"late, ends before", 2 * time.Second, 4 * time.Second, true},
		{"late, ends with the process", 2 * time.Second, 8 * time.Second, false},
	} {
		require.Equal(t, c.want, s.Takes(begun.Add(c.now), begun.Add(c.deadline)), c.name)
	}
	require.True(t, grace.Stop{}.Takes(begun, begun.Add(time.Hour)), "no stop")
}
