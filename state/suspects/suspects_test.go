package suspects_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/suspicion"
	"github.com/grademill/grademill/state/suspects"
)

// at returns a time of the tests.
func at(seconds int) time.Time { return time.Unix(1000, 0).Add(time.Duration(seconds) * time.Second) }

func end(id string, born int64) suspicion.End {
	return suspicion.End{Life: suspicion.Incarnation{Endpoint: id, Born: born}.Life(), Age: 50 * time.Millisecond}
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
	before, after := s.Note(1, end("a", 2), at(2))
	require.Equal(t, []int{1, 2}, []int{before, after})
	require.Zero(t, s.Ends(2, at(2)), "another request")
	sooner := end("a", 2)
	sooner.Age = time.Millisecond
	s.Note(1, sooner, at(3))
	require.Equal(t, []suspicion.End{end("a", 1), sooner}, s.Get(1, at(3)).Ends)
}

// Ends are forgotten some time after the last one, and when the request completes.
func TestEndsAreForgotten(t *testing.T) {
	t.Parallel()
	s := suspects.Suspects{Retention: time.Minute}
	s.Note(1, end("a", 1), at(0))
	s.Note(1, end("b", 1), at(50))
	require.Equal(t, 2, s.Ends(1, at(100)))
	require.Zero(t, s.Ends(1, at(111)))
	_, after := s.Note(1, end("c", 1), at(120))
	require.Equal(t, 1, after)
	require.Equal(t, 1, s.Clear(1, at(121), at(121)))
	require.Zero(t, s.Ends(1, at(121)))
	require.Zero(t, s.Clear(1, at(121), at(121)))
}

// A request with more ends is more likely to cause them, and of two with as many the one that took less time. One that
// neither ends an endpoint nor arrives for some time does not count.
func TestRank(t *testing.T) {
	t.Parallel()
	s := suspects.Suspects{Retention: time.Minute}
	for _, id := range []string{"a", "b"} {
		s.Note(1, end(id, 1), at(0))
		slow := end(id, 1)
		slow.Age = time.Second
		s.Note(2, slow, at(0))
	}
	s.Note(3, end("a", 1), at(0))
	require.Equal(t, []int{0, 1}, []int{s.Rank(1, at(1)), s.Rank(2, at(1))})
	s.Note(2, end("c", 1), at(1))
	require.Equal(t, []int{1, 0}, []int{s.Rank(1, at(1)), s.Rank(2, at(1))})
	require.Zero(t, s.Rank(1, at(7)))
	s.Arrived(2, at(7))
	require.Equal(t, 1, s.Rank(1, at(8)))
}

// Ends that are due to a quarantined request do not count for those that ran beside it.
func TestEndsOfAQuarantinedRequestDoNotCountForOthers(t *testing.T) {
	t.Parallel()
	s := suspects.Suspects{Retention: time.Minute}
	for _, id := range []string{"a", "b"} {
		s.Note(1, end(id, 1), at(0))
		s.Note(2, end(id, 1), at(0))
	}
	s.Note(2, end("c", 1), at(0))
	require.True(t, s.Shares([]fingerprint.Fingerprint{1}, end("a", 1).Life, time.Second, at(1)))
	require.False(t, s.Shares([]fingerprint.Fingerprint{1}, end("a", 1).Life, time.Millisecond, at(1)), "it had run for longer")
	s.SetQuarantine(1, at(1), at(31), end("d", 1))
	require.Equal(t, 3, s.Ends(1, at(1)))
	require.Equal(t, 1, s.Ends(2, at(1)))
	s.Note(2, end("d", 1), at(2)) // known late
	require.Equal(t, 1, s.Ends(2, at(2)))
	require.False(t, s.Shares([]fingerprint.Fingerprint{1}, end("a", 1).Life, time.Second, at(2)))
	require.Equal(t, 4, s.Ends(2, at(31)), "the quarantine has ended")
}

// A quarantine lasts until its time, also if an earlier run of the request completes.
func TestQuarantine(t *testing.T) {
	t.Parallel()
	s := suspects.Suspects{Retention: time.Minute}
	require.True(t, s.SetQuarantine(1, at(0), at(60)))
	require.False(t, s.SetQuarantine(1, at(1), at(99)), "already quarantined")
	require.Equal(t, 20*time.Second, s.QuarantineLeft(1, at(40)))
	require.Zero(t, s.Clear(1, at(41), at(41)))
	require.Zero(t, s.QuarantineLeft(1, at(60)))
	require.Zero(t, s.QuarantineLeft(2, at(40)))
}

// What other gateways report counts as long as ends do, and is passed on with its age, so that echoes do not keep it alive.
// A number of ends without their incarnations, from a former build, counts for seconds and is not passed on.
func TestReportsOfOtherGateways(t *testing.T) {
	t.Parallel()
	s := suspects.Suspects{Retention: time.Minute}
	two := suspects.Suspect{Print: 1, Count: 2, Ends: []suspicion.End{end("a", 1), end("b", 1)}, Since: 50 * time.Second}
	before, after := s.Merge(two, at(0))
	require.Equal(t, []int{0, 2}, []int{before, after})
	require.Empty(t, s.List(2, 10, true, at(4)))
	two.Since = 54 * time.Second
	require.Equal(t, []suspects.Suspect{two}, s.List(2, 10, false, at(4)))
	s.Merge(two, at(4))
	require.Zero(t, s.Ends(1, at(11)))
	s.Merge(suspects.Suspect{Print: 2, Count: 2}, at(20))
	require.Equal(t, 2, s.Ends(2, at(22)))
	require.Empty(t, s.List(2, 10, false, at(22)))
	require.Zero(t, s.Ends(2, at(23)))
}

// A report from before a request was cleared does not count, and one that it was cleared not after a later end.
func TestNewestReportCounts(t *testing.T) {
	t.Parallel()
	s := suspects.Suspects{Retention: time.Minute}
	two := suspects.Suspect{Print: 1, Count: 2, Ends: []suspicion.End{end("a", 1), end("b", 1)}, Since: 2 * time.Second}
	s.Merge(two, at(2))
	s.Merge(suspects.Suspect{Print: 1, Cleared: true, Since: 5 * time.Second}, at(3))
	require.Equal(t, 2, s.Ends(1, at(3)))
	s.Merge(suspects.Suspect{Print: 1, Cleared: true, Since: time.Second}, at(3))
	require.Zero(t, s.Ends(1, at(3)))
	two.Since = 3 * time.Second
	s.Merge(two, at(3))
	require.Zero(t, s.Ends(1, at(3)))
	require.Equal(t, []suspects.Suspect{{Print: 1, Cleared: true, Since: 2 * time.Second}}, s.List(2, 10, true, at(4)))
	two.Since = 0
	s.Merge(two, at(4))
	require.Equal(t, 2, s.Ends(1, at(4)))
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
	quarantined := suspects.Suspect{Print: 3, QuarantineLeft: 20 * time.Second, Since: 10 * time.Second}
	two := suspects.Suspect{Print: 1, Count: 2, Ends: []suspicion.End{end("a", 1), end("b", 1)}, Since: 10 * time.Second}
	require.Equal(t, []suspects.Suspect{quarantined, two}, s.List(2, 10, true, at(10)))
	require.Len(t, s.List(1, 10, true, at(10)), 3)
	require.Len(t, s.List(1, 2, true, at(10)), 2)
}

// The number of records is bounded, and quarantined requests are retained.
func TestRecordsAreBounded(t *testing.T) {
	t.Parallel()
	s := suspects.Suspects{Retention: time.Minute}
	s.SetQuarantine(1, at(0), at(1000))
	for i := range 20_000 {
		s.Note(fingerprint.Fingerprint(i+2), end("a", 1), at(i/1000))
	}
	require.LessOrEqual(t, len(s.List(0, 30_000, true, at(20))), 4096)
	require.Positive(t, s.QuarantineLeft(1, at(20)))
	require.Equal(t, 1, s.Ends(20_001, at(20)), "the newest is retained")
}
