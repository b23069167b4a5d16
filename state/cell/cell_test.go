package cell_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/state/cell"
)

// Guards against concurrent updates of which one is lost.
func TestUpdatesAreNotLost(t *testing.T) {
	var c cell.Cell[int]
	require.Zero(t, c.Load())
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				c.Update(func(n int) int { return n + 1 })
			}
		})
	}
	group.Wait()
	require.Equal(t, 8000, c.Load())
}
