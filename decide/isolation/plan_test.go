package isolation_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/isolation"
)

// No two suspects may share an endpoint, and the plan must not depend on the order of the suspects.
func TestSuspectsHaveSeparateEndpoints(t *testing.T) {
	for endpoints := range 9 {
		var names []string
		for i := range endpoints {
			names = append(names, fmt.Sprint("endpoint-", i))
		}
		suspects := []fingerprint.Fingerprint{7, 3, 9, 1, 5}
		p, same := isolation.New(suspects, names), isolation.New([]fingerprint.Fingerprint{1, 3, 5, 7, 9}, names)
		used := make(map[string]bool)
		for _, f := range suspects {
			endpoint, ok := p.Endpoint(f)
			other, also := same.Endpoint(f)
			require.Equal(t, ok, also)
			require.Equal(t, endpoint, other)
			if ok {
				require.False(t, used[endpoint])
				used[endpoint] = true
				require.Equal(t, endpoints > 1, p.Reserved(endpoint))
			}
		}
		require.Len(t, used, min(max(endpoints/3, 1), endpoints, len(suspects)))
	}
	var none isolation.Plan
	require.False(t, none.Reserved("endpoint-0"))
}
