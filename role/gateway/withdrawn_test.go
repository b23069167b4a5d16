package gateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is quarantined because the endpoint of its isolated attempt leaves: it was taken to have
// ended although it went on.
func TestEndpointThatLeavesByItsRecordHasNotEnded(t *testing.T) {
	t.Parallel()
	w, endpoints, leave := newIsolated(t)
	for _, e := range endpoints {
		w.site.Withdraw(e)
		w.waitForLog(`"endpoint":"` + e.ID + `","message":"endpoint gone"`)
	}
	leave()
	w.waitForLog(`"message":"outcome of an isolated attempt"`)
	require.NotContains(t, w.log.String(), `"message":"request is quarantined"`)
}
