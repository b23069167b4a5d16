package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/limit"
)

const target = 30 * time.Millisecond

// learn feeds l with an endpoint whose steps take as long as its sessions, held
// at the limit, make them.
func learn(l limit.Learned, perSession time.Duration, demand, steps int) limit.Learned {
	for range steps {
		sessions := min(l.Value(), demand)
		l = l.WithStep(time.Duration(sessions)*perSession, target, sessions)
	}
	return l
}

func TestLearned(t *testing.T) {
	l := limit.Learned{Min: 2, Max: 64}
	require.Equal(t, 2, l.Value(), "nothing learned")
	l = learn(l, time.Millisecond, 1000, 500)
	require.Equal(t, 30, l.Value(), "as many as take the target's time")
	l = learn(l, 2*time.Millisecond, 1000, 500)
	require.Equal(t, 15, l.Value(), "fewer when steps get slower")
	l = learn(l, 100*time.Millisecond, 1000, 500)
	require.Equal(t, 2, l.Value(), "no fewer than the least")
	l = learn(l, 100*time.Microsecond, 1000, 500)
	require.Equal(t, 64, l.Value(), "no more than the most")
	require.Equal(t, 30, learn(l, time.Millisecond, 20, 500).Value(), "demand below the limit does not lower it")
}
