package connection_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/connection"
)

// start is when the connections of the tests are accepted.
var start = time.Unix(1e9, 0)

// in returns the result of Wait as a time since start, -1 for none.
func in(s connection.State, l connection.Limits) (time.Duration, connection.Expiry) {
	until, then := s.Wait(l)
	if until.IsZero() {
		return -1, then
	}
	return until.Sub(start), then
}

// Wait depends on what has been read of a request, and on the limits.
func TestWait(t *testing.T) {
	long := connection.Limits{Idle: time.Minute, Head: 10 * time.Second}
	short := connection.Limits{Idle: time.Second, Head: time.Second / 2}
	retire := short
	retire.Retire = true
	fresh := connection.Accepted(start, long)
	kept := fresh.WithBytes(start, long).WithPart().WithPart().WithResponse(long).WithHandled(start, long).WithIdle(start, long)
	head := kept.WithBytes(start, long)
	body := head.WithPart()
	drained := body.WithHandled(start, long)
	for name, c := range map[string]struct {
		state  connection.State
		limits connection.Limits
		until  time.Duration
		then   connection.Expiry
	}{
		"idle":                         {kept, long, time.Minute, connection.CloseIdle},
		"idle, shorter limit":          {kept, short, time.Minute, connection.CloseIdle},
		"idle, shorter limit, retired": {kept, retire, time.Second, connection.CloseIdle},
		"idle, no limit":               {kept, connection.Limits{}, -1, connection.ReadOn},
		"idle, longer limit":           {kept.WithResponse(short), long, time.Minute, connection.CloseIdle},
		"new, longer limit":            {connection.Accepted(start, short), long, 30 * time.Second, connection.CloseIdle},
		"new, limit after none":        {connection.Accepted(start, connection.Limits{}), short, time.Second, connection.CloseIdle},
		"idle at the stop":             {kept.WithStop(), long, 0, connection.CloseIdle},
		"new at the stop":              {fresh.WithStop(), long, time.Second, connection.CloseIdle},
		"new, no limit, at the stop":   {fresh.WithStop(), connection.Limits{}, time.Second, connection.CloseIdle},
		"head":                         {head, long, 10 * time.Second, connection.CloseSlowHead},
		"head, shorter limit":          {head, short, 10 * time.Second, connection.CloseSlowHead},
		"head, no limit":               {head, connection.Limits{}, 30 * time.Second, connection.CloseSlowHead},
		"head at the stop":             {head.WithStop(), long, time.Second, connection.CloseSlowHead},
		"head, part in a buffer":       {kept.WithBuffered(start, long), long, 10 * time.Second, connection.CloseSlowHead},
		"new, nothing in a buffer":     {fresh.WithBuffered(start, long), long, 30 * time.Second, connection.CloseIdle},
		"body":                         {body, long, -1, connection.ReadOn},
		"body at the stop":             {body.WithStop(), long, -1, connection.ReadOn},
		"body not read by the handler": {drained, long, 10 * time.Second, connection.EndBody},
		"the same at the stop":         {drained.WithStop(), long, time.Second, connection.EndBody},
		"whole body, not answered":     {drained.WithPart(), long, -1, connection.ReadOn},
		"the same, later":              {drained.WithPart().WithStop(), short, -1, connection.ReadOn},
		"stop during the response":     {drained.WithPart().WithStop().WithIdle(start, long), long, 0, connection.CloseIdle},
		"limit shortened during the response": {
			head.WithPart().WithResponse(long).WithPart().WithHandled(start, short).WithIdle(start, short), short,
			time.Minute, connection.CloseIdle,
		},
	} {
		t.Run(name, func(t *testing.T) {
			until, then := in(c.state, c.limits)
			require.Equal(t, c.then, then)
			require.Equal(t, c.until, until)
		})
	}
	require.True(t, head.ReadsHead())
	require.False(t, kept.ReadsHead() || body.ReadsHead())
	require.True(t, kept.Idle())
	require.False(t, head.Idle() || body.Idle() || drained.WithPart().Idle())
}
