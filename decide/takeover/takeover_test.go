package takeover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/takeover"
)

// Guards against gateways that take the right at the same time, and against a large fleet that waits
// for gateways which have all ended.
func TestDelay(t *testing.T) {
	for _, c := range []struct {
		rank       int
		othersLead bool
		want       time.Duration
	}{
		{0, false, 0},
		{1, false, 150 * time.Millisecond},
		{8, false, 1200 * time.Millisecond},
		{500, false, 1200 * time.Millisecond},
		{0, true, 1200 * time.Millisecond},
	} {
		require.Equal(t, c.want, takeover.Delay(c.rank, c.othersLead), c)
	}
}
