package firsts_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/state/firsts"
)

// Each service has its own usual time, which follows what was seen.
func TestFirsts(t *testing.T) {
	var f firsts.Firsts
	require.Zero(t, f.Usual("a"))
	for range 50 {
		f.Note("a", 100*time.Millisecond)
	}
	require.InDelta(t, 200*time.Millisecond, f.Usual("a"), float64(20*time.Millisecond))
	require.Zero(t, f.Usual("b"))
}
