package trials_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/trial"
	"github.com/grademill/grademill/state/trials"
)

// at returns an attempt as of a revision.
func at(revision uint64, endpoint string) trial.Trial {
	t := trial.Trial{}.WithAttempt("gateway-1", endpoint, 1)
	t.Revision, t.Since, t.Lease = revision, time.Unix(1000, 0), "lease"
	return t
}

// Reports and the store tell of a trial in any order: the newest state counts, and one that was removed does not come back.
func TestNewestStateCounts(t *testing.T) {
	t.Parallel()
	var s trials.Trials
	require.True(t, s.Note(1, at(5, "b")))
	require.False(t, s.Note(1, at(4, "a")))
	require.False(t, s.Remove(1, 4))
	require.Equal(t, "b", s.Get(1).Endpoint)
	require.True(t, s.Remove(1, 6))
	require.False(t, s.Remove(1, 6))
	require.False(t, s.Note(1, at(5, "b")))
	require.Zero(t, s.Get(1))
	require.Empty(t, s.Last(1).Lease)
	require.EqualValues(t, 6, s.Last(1).Revision)
	require.True(t, s.Note(1, at(7, "c")))
	require.Equal(t, "c", s.Get(1).Endpoint)
}

// Of two suspects that claim an endpoint the first one gets it, for as long as its attempt may take.
func TestReserved(t *testing.T) {
	t.Parallel()
	var s trials.Trials
	now := time.Unix(1000, 0)
	require.Nil(t, s.Reserved(now))
	s.Note(1, at(9, "a"))
	s.Note(2, at(8, "a"))
	s.Note(3, at(7, "b"))
	require.Equal(t, map[string]fingerprint.Fingerprint{"a": 2, "b": 3}, s.Reserved(now))
	s.Remove(2, 8)
	require.Equal(t, map[string]fingerprint.Fingerprint{"a": 1, "b": 3}, s.Reserved(now))
	require.Nil(t, s.Reserved(now.Add(trial.Timeout)))
}
