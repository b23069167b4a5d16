package lastrun_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/state/lastrun"
)

// A popular part is known whatever number of others run: it returns to its slot with its next request. The table does not
// grow, and costs a popular part no memory.
func TestPopularPartIsKnown(t *testing.T) {
	var table lastrun.Table
	now := time.Unix(1000, 0)
	require.Zero(t, table.Last(7))
	for i := range 100_000 {
		now = now.Add(10 * time.Millisecond)
		table.Note(fingerprint.Fingerprint(1000+i), now)
		if i%10 == 0 {
			table.Note(7, now)
			require.Less(t, now.Sub(table.Last(7)), time.Second)
		}
	}
	require.Zero(t, table.Last(1000), "a rare one is displaced")
	require.Zero(t, testing.AllocsPerRun(100, func() { table.Note(7, now) }))
}
