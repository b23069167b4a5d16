package thinning_test

import (
	"math"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/thinning"
)

// Guards against runs of admitted or refused requests: any 20 consecutive requests at 0.3 contain 6
// admitted ones, give or take one, also beside requests of another key.
func TestAdmitsInEvenSteps(t *testing.T) {
	thinner := thinning.Thinner{Seed: 7}
	var kept []int
	for i := range 400 {
		if thinner.Keep("batch", 0.3) {
			kept = append(kept, i)
		}
		thinner.Keep("chat", 0.7)
	}
	require.InDelta(t, 120, len(kept), 1)
	for i := 1; i < len(kept); i++ {
		require.Contains(t, []int{3, 4}, kept[i]-kept[i-1])
	}
}

func TestBoundsOfShare(t *testing.T) {
	var thinner thinning.Thinner
	for range 5 {
		require.True(t, thinner.Keep("all", 1))
		require.False(t, thinner.Keep("none", 0))
		require.False(t, thinner.Keep("invalid", math.NaN()))
	}
}

// Guards against a fleet that refuses or admits all first requests of a team: 400 gateways with one
// request each admit about the share.
func TestFirstRequestsOfManyGateways(t *testing.T) {
	kept := 0
	for seed := range uint64(400) {
		thinner := thinning.Thinner{Seed: seed}
		if thinner.Keep("rare", 0.25) {
			kept++
		}
	}
	require.InDelta(t, 100, kept, 26) // three standard deviations of a random phase
}

// Guards against a key that is refused forever because its state is dropped again and again, and
// against dropping the state of few keys: 3,000 keys take turns, each is admitted at times.
func TestManyKeysAreAllServed(t *testing.T) {
	var thinner thinning.Thinner
	kept := make([]int, 3000)
	for range 60 {
		for key := range kept {
			if thinner.Keep(strconv.Itoa(key), 0.4) {
				kept[key]++
			}
		}
	}
	for key, n := range kept {
		require.Positive(t, n, key)
	}
}
