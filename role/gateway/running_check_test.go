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

// slowLine is how long the line of a slowMove takes: longer than the gateway needs to end a request
// whose caller leaves.
const slowLine = 500 * time.Millisecond

// slowMove is a hook of the log that delays the line "request cannot be moved" once it is on. It
// discards all lines from then on: the lock of the log would order the accesses whose race a test
// looks for.
type slowMove struct {
	on atomic.Bool
	// delaying is closed when the delay begins, searched when a later line shows that the search
	// for another chain is over.
	delaying, searched           chan struct{}
	closeDelaying, closeSearched sync.Once
}

// Run implements zerolog.Hook.
func (s *slowMove) Run(e *zerolog.Event, _ zerolog.Level, message string) {
	if !s.on.Load() {
		return
	}
	e.Discard()
	switch message {
	case "request cannot be moved":
		s.closeDelaying.Do(func() { close(s.delaying) })
		time.Sleep(slowLine)
	case "whether a try is left for another":
		s.closeSearched.Do(func() { close(s.searched) })
	}
}

// A check of a stream can run on when its request has ended, and search for another chain then.
// Guards against a data race, which only -race shows, between the result of that search and the log
// line of the end of the request.
func TestCheckThatOutlastsItsRequest(t *testing.T) {
	t.Parallel()
	slow := &slowMove{delaying: make(chan struct{}), searched: make(chan struct{})}
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
	await(t, slow.searched)
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
