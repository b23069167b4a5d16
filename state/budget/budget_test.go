package budget_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/roomshare"
	"github.com/grademill/grademill/state/budget"
)

// Guards against costs of a gateway whose shares of room are switched off, and against a first round
// that begins with the debt of requests that its free memory already accounts for.
func TestNothingIsCountedBeforeTheFirstRound(t *testing.T) {
	var b budget.Budget
	require.Zero(t, testing.AllocsPerRun(10, func() {
		b.Take(100)
		b.Release(100)
		b.Reject()
	}))
	b.Take(1000)
	require.True(t, b.Allows(1000))
	b.Begin(roomshare.Round{Free: 100, Share: 1, Typical: 10})
	require.True(t, b.Allows(10))
	b.Take(100 * roomshare.FillShare)
	require.False(t, b.Allows(10), "the credit is used up")
}

// Guards against credit that is lost to requests that were never sent: a gateway whose share is less
// than a request would wait several rounds for each of them.
func TestARequestThatIsNotSentCostsNothing(t *testing.T) {
	var b budget.Budget
	b.Begin(roomshare.Round{Free: 100, Share: 1, Typical: 10})
	b.Take(100 * roomshare.FillShare)
	require.False(t, b.Allows(10))
	b.GiveBack(100 * roomshare.FillShare)
	require.True(t, b.Allows(10))
	b.Take(100 * roomshare.FillShare)
	require.False(t, b.Allows(10), "no more than was taken is given back")
}

// Guards against requests that wait for a share of room at an endpoint where room is not short, as after
// a crash, when the endpoints that are left get the requests of many gateways at once.
func TestAmpleRoomIsNotSharedOut(t *testing.T) {
	part := budget.Part{Total: 100, Typical: 10}
	for free, allowed := range map[float64]bool{26: true, 24: false} {
		var r budget.Room
		part.Free = free
		r.Begin(budget.Round{Memory: part, Slots: part, Share: 0.01})
		require.Equal(t, allowed, r.AllowsMemory(10), "%v free", free)
		require.Equal(t, allowed, r.AllowsSlot(), "%v free", free)
	}
}
