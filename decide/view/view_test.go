package view_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/view"
)

// An introduction sent before the agent announced that it leaves may arrive after that
// announcement.
func TestLateIntroductionDoesNotReopenALeavingEndpoint(t *testing.T) {
	var v view.View
	before := fleet.Endpoint{Name: "a", Service: "records", Incarnation: 7}
	services := map[string]config.Object[config.Service]{"records": {Value: config.Service{Kind: config.Plain}}}
	open := func() int { return len(v.Snapshot(services).Plain["records"]) }
	v.RecordIntroduction(before)
	require.Equal(t, 1, open())
	v.RecordIntroduction(before.WithLeaving(true))
	v.RecordIntroduction(before)
	require.Zero(t, open())
	next := before
	next.Incarnation++
	v.RecordIntroduction(next)
	require.Equal(t, 1, open(), "a new incarnation takes work again")
}
