package catalog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/catalog"
)

// Guards against a missing limit that counts as no time at all, and against the longer of two limits.
func TestTimeLimit(t *testing.T) {
	for _, c := range []struct{ caller, route, want time.Duration }{
		{0, 0, 30 * time.Second},
		{0, 20 * time.Second, 20 * time.Second},
		{0, time.Minute, 30 * time.Second},
		{time.Minute, 0, time.Minute},
		{5 * time.Second, 20 * time.Second, 5 * time.Second},
		{time.Minute, 20 * time.Second, 20 * time.Second},
	} {
		require.Equal(t, c.want, (&catalog.Route{Timeout: c.route}).TimeLimit(c.caller), c)
	}
}
