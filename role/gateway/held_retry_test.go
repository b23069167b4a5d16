package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
)

// Guards against a stream that is cut for want of a retry which another one holds until its deadline, without a send, while
// that waits for an isolated attempt.
func TestStreamThatWaitsHoldsNoRetry(t *testing.T) {
	t.Parallel()
	cards := []*site.Endpoint{card("card-0", "north"), card("card-1", "north")}
	for _, c := range cards {
		c.EventInterval = 300 * time.Millisecond // so that a stream becomes a suspect between two events
	}
	w := newFixtureWith(t, func(g *gateway.Gateway) {
		g.RetryShare, g.RetryReserve, g.RetryWindow = 0, oneRetry, time.Hour
	}, cards...)
	w.eventually(func() bool { return covered(cards, 1) })
	w.waitForLayers(cards...)
	w.site.NextModes(model, site.Cut)
	const events = 5
	answer, _, _ := w.startStream(cards, events)
	defer answer.Body.Close() //nolint:errcheck // the stream does not end
	suspect := fingerprint.Of(fingerprint.Request{Method: "POST", Host: host, Target: "/plan/1", Team: "desk", Body: []byte("the prompt")})
	for i := range 2 {
		w.gateway.ReportEnd(fmt.Sprint("another-", i), suspect)
	}
	w.waitForLog("waits for an isolated attempt")
	w.site.NextModes(model, site.Cut)
	other := w.do(w.streamRequest("/plan/2", events))
	require.False(t, other.cut)
	require.Equal(t, fullBody(events), other.body)
}
