package budget_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/roomshare"
	"github.com/grademill/grademill/state/budget"
)

// Guards against requests that pass through an endpoint using up its slots, and against requests that
// begin there taking none.
func TestOnlyTheFirstEndpointGivesASlot(t *testing.T) {
	var r budget.Room
	require.True(t, r.AllowsSlot() && r.AllowsMemory(1e12), "before the first round")
	r.Begin(budget.Round{
		Memory: budget.Part{Total: 1000, Free: 100 / roomshare.FillShare, Typical: 10},
		Slots:  budget.Part{Total: 5, Free: 1 / roomshare.FillShare, Typical: 1}, Share: 1,
	})
	r.Take(10, false)
	require.True(t, r.AllowsSlot())
	r.Take(10, true)
	require.False(t, r.AllowsSlot())
	require.True(t, r.AllowsMemory(10))
	r.GiveBack(10, true)
	require.True(t, r.AllowsSlot(), "the request was not sent")
	r.Take(90, true)
	require.False(t, r.AllowsSlot() || r.AllowsMemory(10), "the memory is used up by 10 and 90")
}

// Guards against an isolated gateway that counts the room of other gateways, whose reports it does
// not get, as free.
func TestIsolatedRoundIsAShareOfAllRoom(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		var r budget.Room
		part := budget.Part{Total: 100, Own: 50, Free: 50, Typical: 1}
		r.Begin(budget.Round{Memory: part, Slots: part, Share: 0.5, Isolated: isolated})
		require.Equal(t, !isolated, r.AllowsMemory(1))
		require.Equal(t, !isolated, r.AllowsSlot())
	}
}
