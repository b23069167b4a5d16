package suspicion_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/suspicion"
)

// retention is how long ends count in the tests.
const retention = time.Minute

// at returns a time of the tests.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func end(life suspicion.Life) suspicion.End {
	return suspicion.End{Life: life, Age: time.Duration(life) * time.Millisecond}
}

// A request that began its answer after an end and ran well refutes that end, also when the end becomes known later. One
// that had begun before says nothing: a part may have become one that crashes endpoints since.
func TestGoodRunRefutesEarlierEnds(t *testing.T) {
	t.Parallel()
	var s suspicion.Suspicion
	s = s.WithEnds(at(1), retention, end(1)).WithEnds(at(2), retention, end(2), end(1))
	require.Len(t, s.Ends, 2)
	require.Equal(t, 2*time.Millisecond, s.Slowest())
	require.Len(t, s.WithRun(at(1.9)).Ends, 2)
	ran := s.WithRun(at(2.1))
	require.Empty(t, ran.Ends)
	require.Len(t, s.Ends, 2, "a value does not change")
	require.Empty(t, ran.WithEnds(at(2), retention, end(2)).Ends)
	require.Len(t, ran.WithEnds(at(3), retention, end(3)).Ends, 1)
}

// A part that has run well is in the ends under others: more of them make it suspect than a request or a part that has not.
func TestThreshold(t *testing.T) {
	t.Parallel()
	part := suspicion.Suspicion{Part: true}
	require.Equal(t, suspicion.From, part.Threshold(at(1), retention))
	require.Greater(t, part.WithRun(at(0)).Threshold(at(1), retention), suspicion.From)
	require.Equal(t, suspicion.From, part.WithRun(at(0)).Threshold(at(61), retention))
	require.Equal(t, suspicion.From, suspicion.Suspicion{}.WithRun(at(0)).Threshold(at(1), retention))
}

// Ends are forgotten when another one comes long after, and their number is bounded.
func TestEndsAreBounded(t *testing.T) {
	t.Parallel()
	var s suspicion.Suspicion
	for i := range suspicion.Life(20) {
		s = s.WithEnds(at(float64(i)), retention, end(i))
	}
	require.Len(t, s.Ends, 8)
	require.Len(t, s.WithEnds(at(100), retention, end(21)).Ends, 1)
	age, ended := s.AgeAt(3)
	require.True(t, ended)
	require.Equal(t, 3*time.Millisecond, age)
	_, ended = s.AgeAt(19)
	require.False(t, ended)
}
