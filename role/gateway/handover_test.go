package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// Guards against a stream that is broken off because its attempt at a sound endpoint, silent for a moment, was given up for
// one that then failed.
func TestAttemptAtASilentEndpointGoesOnIfAnotherFails(t *testing.T) {
	t.Parallel()
	for name, failure := range map[string]site.Mode{"breaks": site.Drop, "fails": site.Fail} {
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
