package contain_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/contain"
)

// Guards against a fault that ends the process, or that on-call cannot find: its line names the request and the place.
func TestFaultCostsItsRequest(t *testing.T) {
	var log bytes.Buffer
	faults := 0
	g := contain.Guard{Log: zerolog.New(&log), Count: func() { faults++ }}
	require.True(t, g.Run("id", func() {}))
	require.Empty(t, log.String())
	for i := range 50 {
		require.False(t, g.Run(fmt.Sprint("id-", i), func() {
			var empty []int
			_ = empty[len(empty)]
		}))
	}
	require.Equal(t, 50, faults)
	for i := range 50 {
		require.Contains(t, log.String(), fmt.Sprintf(`"request":"id-%d"`, i))
	}
	require.Contains(t, log.String(), "index out of range [0] with length 0")
	require.Contains(t, log.String(), "contain_test.TestFaultCostsItsRequest")
	require.Less(t, strings.Count(log.String(), `"trace"`), 5, "the traces are bounded")
}
