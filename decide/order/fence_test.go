package order_test

import (
	"errors"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/order"
)

func TestWithOrder(t *testing.T) {
	f := order.Fence{Incarnation: 7, Term: 5}
	cases := []struct {
		name              string
		term, incarnation uint64
		stale             string
	}{
		{"same term", 5, 7, ""},
		{"later term", 6, 7, ""},
		{"former term", 4, 7, "term"},
		{"former incarnation", 6, 6, "incarnation"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, err := f.WithOrder(c.term, c.incarnation)
			var stale *order.StaleError
			if c.stale == "" {
				require.NoError(t, err)
				require.Equal(t, c.term, next.Term)
				return
			}
			require.True(t, errors.As(err, &stale))
			require.Equal(t, c.stale, stale.Value)
			require.Equal(t, f, next)
		})
	}
}

// termModel is an agent that accepts orders of nondecreasing terms.
var termModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		have, term, taken := state.(uint64), input.(uint64), output.(bool)
		if taken {
			return term >= have, term
		}
		return term < have, have
	},
}

// Leaders race, some of them with outdated terms: the accepted orders must be linearizable, as
// orders of one leader after another.
func TestRacingLeadersAreLinearizable(t *testing.T) {
	for seed := range uint64(50) {
		var mu sync.Mutex
		var fence order.Fence
		var operations []porcupine.Operation
		var clock int64
		tick := func() int64 {
			clock++
			return clock
		}
		var group sync.WaitGroup
		for leader := range 4 {
			rnd := rand.New(rand.NewPCG(seed, uint64(leader)))
			group.Go(func() {
				for range 10 {
					term := rnd.Uint64N(6)
					mu.Lock()
					call := tick()
					mu.Unlock()
					mu.Lock()
					next, err := fence.WithOrder(term, 0)
					fence = next
					mu.Unlock()
					mu.Lock()
					operations = append(operations, porcupine.Operation{
						ClientId: leader, Input: term, Call: call, Output: err == nil, Return: tick(),
					})
					mu.Unlock()
				}
			})
		}
		group.Wait()
		require.True(t, porcupine.CheckOperations(termModel, operations), "seed %d", seed)
	}
}
