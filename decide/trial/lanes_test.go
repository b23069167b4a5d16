package trial_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/trial"
)

// Each suspect that has a lane has one of its own, in whatever order gateways know them.
func TestLanes(t *testing.T) {
	for endpoints := range 9 {
		var names []string
		for i := range endpoints {
			names = append(names, fmt.Sprint("endpoint-", i))
		}
		suspects := []fingerprint.Fingerprint{7, 3, 9, 1, 5}
		l, same := trial.New(suspects, names), trial.New([]fingerprint.Fingerprint{1, 3, 5, 7, 9}, names)
		used := make(map[string]bool)
		for _, f := range suspects {
			lane, ok := l.Of(f)
			other, also := same.Of(f)
			require.Equal(t, ok, also)
			require.Equal(t, lane, other)
			if ok {
				require.False(t, used[lane])
				used[lane] = true
				require.Equal(t, endpoints > 1, l.Taken(lane))
			}
		}
		require.Len(t, used, min(max(endpoints/2, 1), endpoints, len(suspects)))
	}
	var none trial.Lanes
	require.False(t, none.Taken("endpoint-0"))
}
