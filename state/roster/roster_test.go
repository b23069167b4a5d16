package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/endpoint"
	"github.com/grademill/grademill/state/roster"
)

var start = time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC)

// record returns the record of an endpoint.
func record(id string, revision uint64, leaving bool) roster.Record {
	return roster.Record{Endpoint: endpoint.Endpoint{ID: id, Service: "records", Leaving: leaving}, Revision: revision, Since: start}
}

// open reports whether an endpoint exists and takes new work.
func open(r *roster.Roster, id string) bool {
	for _, one := range r.Records() {
		if one.ID == id {
			return !one.Leaving
		}
	}
	return false
}

func TestAnnouncedDepartureLasts(t *testing.T) {
	var r roster.Roster
	r.Put(record("a", 1, false))
	require.True(t, open(&r, "a"))
	r.Put(record("a", 2, true))
	r.Put(record("a", 3, false))
	require.False(t, open(&r, "a"))
	r.Drop("a")
	r.Put(record("a", 4, false))
	require.False(t, open(&r, "a"))
	for i := range 5000 { // more than the recorded departures
		later := record(fmt.Sprint(i), 5, true)
		later.Since = start.Add(time.Second)
		r.Put(later)
	}
	require.True(t, open(&r, "a"), "the oldest departures are dropped")
	require.False(t, open(&r, "4999"))
}

func TestRemovedRecordMayReturn(t *testing.T) {
	var follower, behind roster.Roster
	for _, r := range []*roster.Roster{&follower, &behind} {
		r.Put(record("a", 3, false))
	}
	follower.Remove("a", 8, start)
	reported := follower.ReportableDepartures(start.Add(time.Second))
	require.Len(t, reported, 1)
	r, overruled := behind.ApplyReport(reported[0], start)
	require.True(t, overruled)
	require.EqualValues(t, 3, r.Revision)
	require.False(t, open(&behind, "a"), "the record is older than its removal")
	_, overruled = behind.ApplyReport(reported[0], start)
	require.False(t, overruled, "already known")
	behind.TakeChanged()
	change, _ := behind.Put(record("a", 9, false))
	require.Equal(t, roster.Unchanged, change)
	require.True(t, behind.TakeChanged())
	require.True(t, open(&behind, "a"), "the record is newer than its removal")
}

func TestEachDepartureIsReported(t *testing.T) {
	var r roster.Roster
	const all = 200
	for i := range all {
		one := record(fmt.Sprint(i), 1, true)
		one.Since = start.Add(time.Duration(i) * time.Millisecond)
		r.Put(one)
	}
	seen := make(map[string]bool)
	for range 20 {
		reported := r.ReportableDepartures(start.Add(time.Second))
		require.Len(t, reported, 32)
		require.Equal(t, fmt.Sprint(all-1), reported[0].Endpoint, "newest first")
		for _, n := range reported {
			seen[n.Endpoint] = true
		}
	}
	require.Len(t, seen, all)
	require.Empty(t, r.ReportableDepartures(start.Add(2*time.Minute)))
}
