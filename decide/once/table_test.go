package once_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/once"
)

var start = time.Unix(1000, 0)

const (
	epoch = time.Second
	keep  = 20 * time.Second
)

func newTable(limit int) *once.Table[string] {
	return &once.Table[string]{Start: start, Epoch: epoch, Max: limit, Keep: keep}
}

func ticket(key byte, claim string, at uint64) once.Ticket {
	return once.Ticket{Key: once.Key{key}, Claim: claim, Epoch: at}
}

func TestKeyStartsOnce(t *testing.T) {
	table := newTable(10)
	require.Equal(t, once.Start, table.Begin(start, ticket(1, "a", 0)))
	require.Equal(t, once.Wait, table.Begin(start, ticket(1, "a", 0)))
	require.Equal(t, once.Wait, table.Begin(start, ticket(1, "b", 0)))
	table.Finish(start, once.Key{1}, "reply")
	require.Equal(t, once.Finished, table.Begin(start, ticket(1, "b", 0)))
	require.Equal(t, once.Finished, table.Settle(start, ticket(1, "b", 0)))
	reply, ok := table.Reply(once.Key{1})
	require.True(t, ok)
	require.Equal(t, "reply", reply)
}

func TestSettledClaimNeverStarts(t *testing.T) {
	table := newTable(10)
	require.Equal(t, once.Barred, table.Settle(start, ticket(1, "a", 0)))
	require.Equal(t, once.Barred, table.Begin(start, ticket(1, "a", 0)))
	require.Equal(t, once.Start, table.Begin(start, ticket(1, "b", 0)), "another claim may start the key")
}

func TestUndoneCallMayStartUnderAnotherClaim(t *testing.T) {
	table := newTable(10)
	require.Equal(t, once.Start, table.Begin(start, ticket(1, "a", 0)))
	table.Undo(start, ticket(1, "a", 0))
	require.Equal(t, once.Barred, table.Begin(start, ticket(1, "a", 0)))
	require.Equal(t, once.Start, table.Begin(start, ticket(1, "b", 0)))
}

// A call that arrives after its key has been dropped must not start: another call of the key may
// have run meanwhile.
func TestLateCallNeverStarts(t *testing.T) {
	table := newTable(10)
	table.Settle(start, ticket(1, "a", 0))
	later := start.Add(10 * keep)
	require.Equal(t, once.Barred, table.Begin(later, ticket(1, "a", 0)))
	require.Equal(t, once.Forgotten, table.Settle(later, ticket(1, "a", 0)))
	require.Zero(t, table.Len())
}

func TestSettleWithinKeepIsCertain(t *testing.T) {
	table := newTable(10)
	require.Equal(t, once.Start, table.Begin(start, ticket(1, "a", 0)))
	table.Finish(start, once.Key{1}, "reply")
	require.Equal(t, once.Finished, table.Settle(start.Add(keep-epoch), ticket(1, "a", 0)))
	require.Equal(t, once.Forgotten, table.Settle(start.Add(keep+epoch), ticket(1, "a", 0)))
}

func TestFullTableForgetsNothing(t *testing.T) {
	table := newTable(1)
	require.Equal(t, once.Start, table.Begin(start, ticket(1, "a", 0)))
	require.Equal(t, once.Full, table.Begin(start, ticket(2, "b", 0)))
	require.Equal(t, once.Full, table.Settle(start, ticket(2, "b", 0)))
	table.FinishLost(start, once.Key{1}, "")
	require.Equal(t, once.Lost, table.Begin(start, ticket(1, "c", 0)))
	later := start.Add(keep + epoch)
	require.Equal(t, once.Start, table.Begin(later, ticket(2, "b", table.Now(later))))
}

// A call that runs for longer than keys are held must not be dropped.
func TestRunningCallIsNotForgotten(t *testing.T) {
	table := newTable(10)
	require.Equal(t, once.Barred, table.Settle(start, ticket(1, "a", 0)))
	require.Equal(t, once.Start, table.Begin(start, ticket(1, "b", 0)))
	require.Equal(t, once.Wait, table.Begin(start.Add(10*keep), ticket(1, "c", 0)))
}
