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
