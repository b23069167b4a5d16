package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/rendezvous"
)

func nodes(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("node-%d", i)
	}
	return all
}

func TestTopIsSpreadEvenly(t *testing.T) {
	count := make(map[string]int)
	for i := range 10_000 {
		count[rendezvous.Top(fmt.Sprintf("key-%d", i), nodes(10), 1)[0]]++
	}
	for node, n := range count {
		require.InDelta(t, 1000, n, 150, node)
	}
}

func TestRemovalMovesOnlyKeysOfTheRemovedNode(t *testing.T) {
	all := nodes(10)
	for i := range 1000 {
		key := fmt.Sprintf("key-%d", i)
		before := rendezvous.Top(key, all, 1)[0]
		after := rendezvous.Top(key, all[:9], 1)[0]
		if before != "node-9" {
			require.Equal(t, before, after)
		}
	}
}

func TestFewerNodesThanAsked(t *testing.T) {
	require.Len(t, rendezvous.Top("key", nodes(2), 5), 2)
	require.Empty(t, rendezvous.Top("key", nil, 5))
}
