package outages_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/state/outages"
)

func TestOwnOutage(t *testing.T) {
	var o outages.Outages
	require.Zero(t, o.Own())
	require.True(t, o.Begin())
	first := o.Own()
	require.NotZero(t, first)
	require.False(t, o.Begin(), "already in progress")
	require.Equal(t, first, o.Own())
	o.End()
	require.Zero(t, o.Own())
	require.True(t, o.Begin())
	require.NotEqual(t, first, o.Own(), "an answer to the former outage does not apply to this one")
}

// Only a request sent after the report of an outage arrived proves that the store is available.
func TestPartial(t *testing.T) {
	now := time.Now()
	o := outages.Outages{ReportLifetime: time.Second}
	require.True(t, o.HandleReport("a", 7, now))
	require.False(t, o.HandleReport("a", 7, now.Add(500*time.Millisecond)))
	require.Empty(t, o.NotOfStore(now.Add(-time.Millisecond), now), "sent before the report")
	require.Equal(t, []uint64{7}, o.NotOfStore(now.Add(time.Millisecond), now.Add(time.Second)))
	require.True(t, o.HandleReport("a", 9, now.Add(time.Second)), "another outage")
	require.Empty(t, o.NotOfStore(now.Add(time.Millisecond), now.Add(time.Second)))
	require.True(t, o.Any(now.Add(time.Second)))
	require.False(t, o.Any(now.Add(3*time.Second)), "no report since")
	o.HandleReport("b", 5, now)
	o.HandleReport("b", 0, now)
	require.False(t, o.Any(now), "the outage is over")
}
