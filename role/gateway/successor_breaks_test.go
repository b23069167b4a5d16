package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// Guards against a stream that is cut since the successor of a sound attempt breaks after its first event, when the attempts
// of the route are used up although the endpoint of the attempt could take it up again.
func TestStreamOutlastsASuccessorThatBreaksAfterItsFirstEvent(t *testing.T) {
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
	w.site.NextModes(model, site.Cut)
	first.Pause(soundSilence)
	got := <-answer
	require.Equal(t, fullBody(events), got.body)
	require.False(t, got.cut)
	requireLayersInOrder(t, w)
}
