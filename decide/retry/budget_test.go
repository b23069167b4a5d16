package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/retry"
)

func TestRetriesAreAShareOfFirstTries(t *testing.T) {
	now := time.Unix(1000, 0)
	b := retry.Budget{Share: 0.1, Window: time.Minute}
	require.False(t, b.Allow(now))
	for range 100 {
		b.First(now)
	}
	allowed := 0
	for range 100 {
		if b.Allow(now) {
			allowed++
		}
	}
	require.Equal(t, 10, allowed)
	require.True(t, b.Allow(now.Add(2*time.Minute)) == false, "what is past does not count")
}

func TestReserve(t *testing.T) {
	now := time.Unix(1000, 0)
	b := retry.Budget{Share: 0.1, Window: time.Minute, Reserve: 2}
	require.True(t, b.Allow(now))
	require.True(t, b.Allow(now))
	require.False(t, b.Allow(now))
	require.True(t, b.Allow(now.Add(time.Minute)))
}
