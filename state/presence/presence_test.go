package presence_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/liveness"
	"github.com/grademill/grademill/state/presence"
	"github.com/grademill/grademill/state/reporters"
)

// start is when the tests begin.
var start = time.Unix(1e9, 0)

func newPresence() *presence.Presence {
	return &presence.Presence{Reporters: reporters.Reporters{ReportLifetime: liveness.ReportFresh}}
}

// Guards against an endpoint that is presumed dead by the report of one gateway, or although it has answered since.
func TestReportsOfOthersAreBelievedUntilTheEndpointAnswers(t *testing.T) {
	p := newPresence()
	first, believed := p.ReportDown("a", start)
	require.True(t, first)
	require.False(t, believed, "one gateway may be cut off itself")
	first, believed = p.ReportDown("b", start)
	require.False(t, first)
	require.True(t, believed)
	require.True(t, p.BelieveDown(start))
	require.False(t, p.BelieveDown(start), "that is known")
	require.True(t, p.PresumedDead(start))
	require.False(t, p.Down(), "this gateway has not found it silent")
	require.True(t, p.NoteAnswered(start.Add(time.Millisecond), start.Add(2*time.Millisecond)))
	require.False(t, p.PresumedDead(start.Add(2*time.Millisecond)))
	_, believed = p.ReportDown("c", start.Add(3*time.Millisecond))
	require.False(t, believed)
}

// Guards against an endpoint that stays down, or is reported down, after it has answered again.
func TestEndpointIsDownUntilItAnswers(t *testing.T) {
	p := newPresence()
	p.MarkDown(start)
	require.True(t, p.Down() && p.PresumedDead(start) && p.Reportable(start))
	require.Equal(t, time.Second, p.DownFor(start.Add(time.Second)))
	require.False(t, p.Reportable(start.Add(liveness.ReportFresh)))
	p.MarkStillDown(start.Add(liveness.ReportFresh))
	require.True(t, p.Reportable(start.Add(liveness.ReportFresh)))
	p.MarkUp()
	require.False(t, p.Down() || p.PresumedDead(start) || p.Reportable(start))
}

// Guards against an endpoint that is avoided for ever, or not at all, after it stalled requests.
func TestStalledEndpointIsAvoidedForAWhile(t *testing.T) {
	p := newPresence()
	p.Stall(start)
	wait := p.StalledFor(start)
	require.Equal(t, liveness.StallWait(1), wait)
	require.True(t, p.PresumedDead(start))
	require.Zero(t, p.StalledFor(start.Add(wait)))
	require.False(t, p.PresumedDead(start.Add(wait)))
	require.True(t, p.NoteOthersStall(start.Add(wait), time.Second))
	require.False(t, p.NoteOthersStall(start.Add(wait), time.Second))
	require.True(t, p.PresumedDead(start.Add(wait)))
}
