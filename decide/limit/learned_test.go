package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/limit"
)

const target = 30 * time.Millisecond

// learn updates l with the steps of an endpoint whose step time is proportional to the number of
// sessions, which the limit bounds.
func learn(l limit.Adaptive, perSession time.Duration, demand, steps int) limit.Adaptive {
	for range steps {
		sessions := min(l.Value(), demand)
		l = l.WithStep(time.Duration(sessions)*perSession, target, sessions)
	}
	return l
}

func TestLearned(t *testing.T) {
	l := limit.Adaptive{Min: 2, Max: 64}
	require.Equal(t, 2, l.Value(), "no observations")
	l = learn(l, time.Millisecond, 1000, 500)
	require.Equal(t, 30, l.Value(), "as many sessions as meet the target")
	l = learn(l, 2*time.Millisecond, 1000, 500)
	require.Equal(t, 15, l.Value(), "fewer when steps get slower")
	l = learn(l, 100*time.Millisecond, 1000, 500)
	require.Equal(t, 2, l.Value(), "no fewer than the minimum")
	l = learn(l, 100*time.Microsecond, 1000, 500)
	require.Equal(t, 64, l.Value(), "no more than the maximum")
	require.Equal(t, 30, learn(l, time.Millisecond, 20, 500).Value(), "demand below the limit does not lower it")
}
