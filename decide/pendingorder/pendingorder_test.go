package pendingorder_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/pendingorder"
)

// Guards against a plan that counts layers which the endpoint will not hold, and against an order that
// is assumed to be under way for ever.
func TestAssumedLayersAfterAnOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	given := pendingorder.Given{
		Ordered: layer.Range{First: 0, End: 4}, Reported: layer.Range{First: 4, End: 8}, Recorded: layer.Range{First: 8, End: 12},
		Round: 250 * time.Millisecond,
	}
	cases := []struct {
		result pendingorder.Result
		layers layer.Range
		lasts  time.Duration
	}{
		{pendingorder.Taken, given.Ordered, 8 * time.Second},
		{pendingorder.Unanswered, given.Ordered, 2 * time.Second},
		{pendingorder.Stale, given.Reported, pendingorder.RecordLag},
		{pendingorder.Busy, given.Recorded, given.Round},
	}
	for _, c := range cases {
		t.Run(string(c.result), func(t *testing.T) {
			given.Result = c.result
			o := pendingorder.After(given, now)
			end := now.Add(c.lasts)
			require.Equal(t, c.layers, o.Layers(end))
			require.True(t, o.Layers(end.Add(1)).Empty())
			require.False(t, o.Ended(layer.Range{First: 1, End: 2}, end))
			require.True(t, o.Ended(layer.Range{First: 1, End: 2}, end.Add(1)))
			require.True(t, o.Ended(c.layers, now), "the record names the layers")
		})
	}
	for _, result := range []pendingorder.Result{pendingorder.Refused, pendingorder.Replaced} {
		given.Result = result
		require.Nil(t, pendingorder.After(given, now), "the record counts")
	}
}

// Guards against the announcement of no order that hides the layers of the record.
func TestAnnouncedOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	require.Nil(t, pendingorder.Announced(layer.Range{}, now))
	require.True(t, pendingorder.Announced(layer.Range{}, now).Layers(now).Empty())
	o := pendingorder.Announced(layer.Range{First: 2, End: 3}, now)
	require.Equal(t, layer.Range{First: 2, End: 3}, o.Layers(now.Add(8*time.Second)))
}
