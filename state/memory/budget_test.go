package memory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/state/memory"
)

// holder is a share whose holder closes it when it has to give way.
type holder struct {
	*memory.Share
	gaveWay bool
}

func open(t *testing.T, b *memory.Budget, bytes int64) *holder {
	h := new(holder)
	h.Share = b.Open(bytes, func() {
		h.gaveWay = true
		h.Close()
	})
	require.NotNil(t, h.Share)
	return h
}

// The one that has stood still longest gives way, and none that moves.
func TestStillestGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &memory.Budget{Limit: 400, MaxShares: 10}
		moving, second, first := open(t, b, 10), open(t, b, 10), open(t, b, 10)
		require.True(t, first.Grow(100))
		first.Wait()
		time.Sleep(time.Millisecond)
		require.True(t, second.Grow(100))
		second.Wait()
		require.True(t, moving.Grow(60))
		newer := open(t, b, 10)
		require.True(t, newer.Grow(50), "it waits until one has stood still long enough")
		require.True(t, first.gaveWay)
		require.False(t, second.gaveWay)
		second.Move()
		time.Sleep(time.Second)
		require.False(t, newer.Grow(100), "all move")
		require.False(t, second.gaveWay || moving.gaveWay)
		second.Reset()
		require.True(t, newer.Grow(100))
	})
}

// New callers are let in while others hold large requests, until none can give way.
func TestNewSharesAreLetIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &memory.Budget{Limit: 400, MaxShares: 3}
		large := open(t, b, 10)
		require.True(t, large.Grow(290))
		require.False(t, large.Grow(1))
		idle := open(t, b, 10)
		idle.Wait()
		open(t, b, 10)
		require.Nil(t, b.Open(10, nil), "nobody has stood still long enough")
		time.Sleep(time.Second)
		open(t, b, 10)
		require.True(t, idle.gaveWay)
		bytes, shares := b.Used()
		require.EqualValues(t, 320, bytes)
		require.Equal(t, 3, shares)
		large.Close()
		large.Close()
		bytes, _ = b.Used()
		require.EqualValues(t, 20, bytes)
	})
}

// What is in memory already is counted beyond the limit.
func TestAddIsNeverRefused(t *testing.T) {
	b := &memory.Budget{Limit: 100, MaxShares: 1}
	s := open(t, b, 10)
	s.Add(200)
	bytes, _ := b.Used()
	require.EqualValues(t, 210, bytes)
	s.Add(-200)
	bytes, _ = b.Used()
	require.EqualValues(t, 10, bytes)
}

// A server without a budget has no shares.
func TestNilShare(t *testing.T) {
	var s *memory.Share
	require.True(t, s.Grow(1<<40))
	require.False(t, s.Evicted())
	s.Add(1)
	s.Wait()
	s.Move()
	s.Reset()
	s.Close()
}
