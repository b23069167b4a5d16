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

// open reports whether an endpoint is there and takes new work.
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
	for i := range 5000 { // more than are kept
		later := record(fmt.Sprint(i), 5, true)
		later.Since = start.Add(time.Second)
		r.Put(later)
	}
	require.True(t, open(&r, "a"), "the oldest departures are dropped")
	require.False(t, open(&r, "4999"))
}

func TestRecordsThatHaveGoneMayComeBack(t *testing.T) {
	var follower, behind roster.Roster
	for _, r := range []*roster.Roster{&follower, &behind} {
		r.Put(record("a", 3, false))
	}
	follower.Remove("a", 8, start)
	told := follower.Told(start.Add(time.Second))
	require.Len(t, told, 1)
	r, overruled := behind.Adopt(told[0], start)
	require.True(t, overruled)
	require.EqualValues(t, 3, r.Revision)
	require.False(t, open(&behind, "a"), "the record is from before it went")
	_, overruled = behind.Adopt(told[0], start)
	require.False(t, overruled, "no news")
	behind.TakeChanged()
	change, _ := behind.Put(record("a", 9, false))
	require.Equal(t, roster.Same, change)
	require.True(t, behind.TakeChanged())
	require.True(t, open(&behind, "a"), "it is back")
}

func TestEachDepartureIsTold(t *testing.T) {
	var r roster.Roster
	const all = 200
	for i := range all {
		one := record(fmt.Sprint(i), 1, true)
		one.Since = start.Add(time.Duration(i) * time.Millisecond)
		r.Put(one)
	}
	seen := make(map[string]bool)
	for range 20 {
		told := r.Told(start.Add(time.Second))
		require.Len(t, told, 32)
		require.Equal(t, fmt.Sprint(all-1), told[0].Endpoint, "the newest first")
		for _, n := range told {
			seen[n.Endpoint] = true
		}
	}
	require.Len(t, seen, all)
	require.Empty(t, r.Told(start.Add(2*time.Minute)))
}
