package suspects_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/state/suspects"
)

// at returns a time of the tests.
func at(seconds int) time.Time { return time.Unix(1000, 0).Add(time.Duration(seconds) * time.Second) }

func end(id string, born int64) suspects.End {
	return suspects.End{Incarnation: suspects.Incarnation{Endpoint: id, Born: born}}
}

// Each incarnation counts once, also when it is noted again. An endpoint that restarts under its
// ID is another incarnation.
func TestIncarnationsCountOnce(t *testing.T) {
	t.Parallel()
	s := suspects.Suspects{Retention: time.Minute}
	require.Zero(t, s.Ends(1, at(0)))
	s.Note(1, end("a", 1), at(0))
	s.Note(1, end("a", 1), at(1))
	require.Equal(t, 1, s.Ends(1, at(1)))
	require.Len(t, s.Note(1, end("a", 2), at(2)), 2)
	require.Zero(t, s.Ends(2, at(2)), "another request")
	tried := end("a", 2)
	tried.Tried = true
	s.Note(1, tried, at(3))
	require.Equal(t, []suspects.End{end("a", 1), tried}, s.Note(1, end("a", 2), at(4)), "noted as tried and as not tried")
}

// Ends are forgotten some time after the last one, and when the request completes.
func TestEndsAreForgotten(t *testing.T) {
	t.Parallel()
	s := suspects.Suspects{Retention: time.Minute, SuspectFrom: 2}
	s.Note(1, end("a", 1), at(0))
	require.Empty(t, s.Recent(at(1)))
	s.Note(1, end("b", 1), at(50))
	require.Equal(t, 2, s.Ends(1, at(100)))
	require.Equal(t, []fingerprint.Fingerprint{1}, s.Recent(at(51)))
	require.Empty(t, s.Recent(at(100)))
	s.Arrived(1, at(100))
	require.Equal(t, []fingerprint.Fingerprint{1}, s.Recent(at(101)))
	require.Zero(t, s.Ends(1, at(111)))
	require.Len(t, s.Note(1, end("c", 1), at(120)), 1)
	require.True(t, s.Clear(1, at(121)))
	require.Zero(t, s.Ends(1, at(121)))
	require.False(t, s.Clear(1, at(121)))
}

// A quarantine lasts until its time, also if an earlier run of the request completes.
func TestQuarantine(t *testing.T) {
	t.Parallel()
	s := suspects.Suspects{Retention: time.Minute}
	require.True(t, s.SetQuarantine(1, at(0), at(60)))
	require.False(t, s.SetQuarantine(1, at(1), at(99)), "already quarantined")
	require.Equal(t, 20*time.Second, s.QuarantineLeft(1, at(40)))
	require.False(t, s.Clear(1, at(41)))
	require.Zero(t, s.QuarantineLeft(1, at(60)))
	require.Zero(t, s.QuarantineLeft(2, at(40)))
}

// Reports of other gateways count until they expire, and are not passed on.
func TestReportsOfOtherGateways(t *testing.T) {
	t.Parallel()
	s := suspects.Suspects{Retention: time.Minute}
	s.AddReport(1, 2, false, at(0), at(5))
	require.Equal(t, 2, s.Ends(1, at(4)))
	require.Empty(t, s.List(2, 10, at(4)))
	require.Zero(t, s.Ends(1, at(5)))
}

// Quarantined requests come first; requests with fewer ends than asked for are omitted.
func TestList(t *testing.T) {
	t.Parallel()
	s := suspects.Suspects{Retention: time.Minute}
	for _, id := range []string{"a", "b"} {
		s.Note(1, end(id, 1), at(0))
	}
	s.Note(2, end("a", 1), at(0))
	s.SetQuarantine(3, at(0), at(30))
	require.Equal(t, []suspects.Suspect{
		{Print: 3, QuarantineLeft: 20 * time.Second}, {Print: 1, Ends: 2},
	}, s.List(2, 10, at(10)))
	require.Len(t, s.List(1, 10, at(10)), 3)
	require.Len(t, s.List(1, 2, at(10)), 2)
}

// The number of records is bounded, and quarantined requests are retained.
func TestRecordsAreBounded(t *testing.T) {
	t.Parallel()
	s := suspects.Suspects{Retention: time.Minute}
	s.SetQuarantine(1, at(0), at(1000))
	for i := range 20_000 {
		s.Note(fingerprint.Fingerprint(i+2), end("a", 1), at(i/1000))
	}
	require.LessOrEqual(t, len(s.List(0, 30_000, at(20))), 4096)
	require.Positive(t, s.QuarantineLeft(1, at(20)))
	require.Equal(t, 1, s.Ends(20_001, at(20)), "the newest is retained")
}
