package byname_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/state/byname"
)

// Concurrent updates of one name all take effect, and do not affect other names.
func TestMap(t *testing.T) {
	var m byname.Map[int]
	require.Zero(t, m.Get("a"))
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() { m.Update("a", func(n int) int { return n + 1 }) })
	}
	group.Wait()
	require.Equal(t, 50, m.Get("a"))
	require.Zero(t, m.Get("b"))
}
