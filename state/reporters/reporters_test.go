package reporters_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/state/reporters"
)

func TestWitnesses(t *testing.T) {
	now := time.Now()
	w := reporters.Reporters{ReportLifetime: time.Second}
	require.Zero(t, w.Count(now))
	require.Equal(t, 1, w.Report("a", now))
	require.Equal(t, 1, w.Report("a", now.Add(100*time.Millisecond)))
	require.Equal(t, 2, w.Report("b", now.Add(900*time.Millisecond)))
	require.Equal(t, 1, w.Count(now.Add(1200*time.Millisecond)))
	require.Zero(t, w.Count(now.Add(time.Minute)))
}
