package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/limit"
)

func TestLearned(t *testing.T) {
	l := limit.Learned{Min: 2, Max: 64, Target: 30 * time.Millisecond}
	require.Equal(t, 64, l.Value())
	for range 100 {
		l = l.WithStep(50*time.Millisecond, 64)
	}
	require.Equal(t, 2, l.Value(), "falls to the least while steps are late")
	idle := l.WithStep(10*time.Millisecond, 1)
	require.Equal(t, l.Value(), idle.Value(), "does not rise while it is not in use")
	for range 5000 {
		l = l.WithStep(10*time.Millisecond, l.Value())
	}
	require.Equal(t, 64, l.Value(), "rises again while steps are in time")
}
