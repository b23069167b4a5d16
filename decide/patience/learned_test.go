package patience_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/patience"
)

// Where all callers give as much time as the route, one with less has come back.
func TestWholeTime(t *testing.T) {
	var l patience.Learned
	require.True(t, l.Returned(0.9), "nothing is known of callers that give less")
	for range 200 {
		l = l.WithShare(1)
	}
	require.False(t, l.Returned(1))
	require.True(t, l.Returned(0.97))
}

// Where callers give between 0.85 and 1 of the route's time, few of those that have just
// come are taken for others, and those that stayed away for long are told.
func TestPartOfTheTime(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	first := func() float64 { return 0.85 + 0.15*random.Float64() }
	var l patience.Learned
	for range 64 {
		l = l.WithShare(first())
	}
	wrong := 0
	for range 1000 {
		if l.Returned(first()) {
			wrong++
		}
	}
	require.Less(t, wrong, 30)
	require.True(t, l.Returned(0.8))
}

// A few callers that came back after a fault do not move what is usual, and what is
// usual follows a change of the work.
func TestFollowsTheWork(t *testing.T) {
	var l patience.Learned
	for i := range 64 {
		share := 1.0
		if i%32 == 7 {
			share = 0.5
		}
		l = l.WithShare(share)
	}
	require.InDelta(t, 1, l.Least(), 1e-6)
	for range 64 {
		l = l.WithShare(0.7)
	}
	require.InDelta(t, 0.7, l.Least(), 1e-6)
	require.False(t, l.Returned(0.7))
}
