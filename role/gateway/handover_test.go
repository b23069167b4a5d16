package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// Guards against a stream that is broken off because its attempt at a sound endpoint, silent for a moment, was given up for
// one that then failed.
func TestAttemptAtASilentEndpointGoesOnIfAnotherFails(t *testing.T) {
	t.Parallel()
	for name, failure := range map[string]site.Mode{"breaks": site.Drop, "fails": site.Fail, "is cut": site.Cut} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, cards := newModelOf(t, 6, 3)
			const events = 300
			r := w.streamRequest("/plan/1", events)
			answer := make(chan reply, 1)
			go func() { answer <- doWith(t, http.DefaultClient, r) }()
			var first *site.Endpoint
			w.eventually(func() bool {
				for _, c := range cards {
					if c.Ran(r.Header.Get("X-Request-Id")) > 0 {
						first = c
					}
				}
				return first != nil
			})
			w.site.NextModes(model, failure, failure, failure)
			first.Pause(soundSilence)
			got := <-answer
			require.Equal(t, fullBody(events), got.body)
			require.False(t, got.cut)
			requireLayersInOrder(t, w)
		})
	}
}

// longPause is longer than the pause that a route allows, and shorter than its time limit.
const longPause = 2500 * time.Millisecond

// Guards against a stream that is broken off for lack of room after a short pause although its caller still waits.
func TestBrokenStreamWaitsForRoomUntilItsDeadline(t *testing.T) {
	t.Parallel()
	w, cards := newModelOf(t, 6, 3)
	const events = 100
	answer, _, _ := w.startStream(cards, events)
	for _, c := range cards {
		if c.Running() > 0 {
			w.site.Stop(c)
			continue
		}
		c.SetMode(site.Refuse)
	}
	time.Sleep(longPause)
	for _, c := range cards {
		c.SetMode(site.Serve)
	}
	require.Equal(t, fullBody(events), w.readRest(answer))
	requireLayersInOrder(t, w)
}
