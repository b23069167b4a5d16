package urgency_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/urgency"
)

func TestUrgencyOfRequests(t *testing.T) {
	few, many := urgency.Load{Admitted: 40, Returning: 8}, urgency.Load{Admitted: 40, Returning: 24}
	for _, c := range []struct {
		name            string
		load            urgency.Load
		begun, returned bool
		want            urgency.Urgency
	}{
		{"a new request", few, false, false, urgency.New},
		{"a new request while many callers return", many, false, false, urgency.New},
		{"a returning caller among few", few, false, true, urgency.Returned},
		{"a returning caller among too many", many, false, true, urgency.Late},
		{"a returning caller without load data", urgency.Load{}, false, true, urgency.Returned},
		{"one that has been sent", many, true, true, urgency.Sent},
	} {
		require.Equal(t, c.want, c.load.Of(c.begun, c.returned), c.name)
	}
}
