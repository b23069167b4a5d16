package retrybudgets_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/state/retrybudgets"
)

// Each process has its share of the reserve for each service. The share grows when another
// process leaves.
func TestReserveIsDivided(t *testing.T) {
	size := 4
	b := retrybudgets.Budgets{Share: 0.2, Reserve: 40, Window: 10 * time.Second, Size: func() int { return size }}
	now := time.Now()
	allowed := func(service string) (n int) {
		for b.Allow(service, now) {
			n++
		}
		return n
	}
	require.Equal(t, 8, allowed("a"))
	require.Equal(t, 8, allowed("b"))
	b.Refund("a")
	require.Equal(t, 1, allowed("a"))
	for range 100 {
		b.CountFirstAttempt("a", now)
	}
	require.Equal(t, 17, allowed("a"))
	size = 2
	require.Equal(t, 9, allowed("b"), "the share of the reserve doubles when half of the processes leave")
}
