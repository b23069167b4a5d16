package linklimit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/state/linklimit"
)

// A gateway gets its share of a link and no more, after accumulating it for a while. A link
// without a known rate is not limited.
func TestLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var free linklimit.LinkLimiter
		require.True(t, free.Allow(new(catalog.Model), 1<<30, 5))
		m := &catalog.Model{LinkRate: 1e6, TransferPerToken: 1000}
		taken := func(gateways int) int {
			var l linklimit.LinkLimiter
			l.Allow(m, 1, gateways)
			time.Sleep(time.Minute)
			n := 0
			for n < 10000 && l.Allow(m, 1, gateways) {
				n++
			}
			return n
		}
		alone := taken(1)
		require.Greater(t, alone, 100)
		require.Less(t, alone, 10000)
		require.InDelta(t, alone/10, taken(10), 2)
	})
}
