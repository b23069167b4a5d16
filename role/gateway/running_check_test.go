package gateway_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
)

// slowLine is how long the line of a slowSearch takes: longer than the gateway needs to end a request
// whose caller leaves.
const slowLine = 500 * time.Millisecond

// slowSearch is a hook of the log that delays the line after the search for another chain once it is on. It discards all
// lines from then on: the lock of the log would order the accesses whose race a test looks for.
type slowSearch struct {
	on atomic.Bool
	// delaying is closed when the delay begins, and over is set when it ends.
	delaying      chan struct{}
	closeDelaying sync.Once
	over          atomic.Bool
	// ended receives whether the delay was over when the request ended.
	ended chan bool
}

// Run implements zerolog.Hook.
func (s *slowSearch) Run(e *zerolog.Event, _ zerolog.Level, message string) {
	if !s.on.Load() {
		return
	}
	e.Discard()
	switch message {
	case "whether a try is left for another":
		s.closeDelaying.Do(func() { close(s.delaying) })
		time.Sleep(slowLine)
		s.over.Store(true)
	case "request ended":
		s.ended <- s.over.Load()
	}
}

// A check of a stream searches for another chain while its request ends. Guards against a data race, which only -race
// shows, between the result of that search and the log line of the end of the request, which waits for it.
func TestCheckThatOutlastsItsRequest(t *testing.T) {
	t.Parallel()
	slow := &slowSearch{delaying: make(chan struct{}), ended: make(chan bool, 1)}
	cards := []*site.Endpoint{card("card-0", "north"), card("card-1", "north")}
	for _, c := range cards {
		c.ReportLag = testTimeout
	}
	w := newFixtureWith(t, func(g *gateway.Gateway) { g.Log = g.Log.Hook(slow) }, cards...)
	w.eventually(func() bool { return covered(cards, 1) })
	w.waitForLayers(cards...)
	answer, _, later := w.startStream(cards, 4000)
	slow.on.Store(true)
	later[0].Silence()
	await(t, slow.delaying)
	require.NoError(t, answer.Body.Close()) // the caller leaves
	require.True(t, <-slow.ended)
}

// await waits until a channel is closed.
func await(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(testTimeout):
		require.Fail(t, "nothing has happened")
	}
}
