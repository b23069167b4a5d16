package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/role/gateway"
	"github.com/grademill/grademill/standin/site"
)

// dialCounter counts the connections to endpoints.
type dialCounter struct {
	gateway.Meter
	dials atomic.Int64
}

// Connection implements gateway.Meter.
func (c *dialCounter) Connection() {
	c.dials.Add(1)
	c.Meter.Connection()
}

// Guards against a connection that is closed after a whole answer, or after a failure answer that is kept.
func TestConnectionIsUsedAgainAfterAWholeAnswer(t *testing.T) {
	t.Parallel()
	for name, endpoint := range map[string]*site.Endpoint{"small": plain("a"), "large": largeAnswers(t, "a"), "failure": plain("a")} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status := http.StatusOK
			if name == "failure" {
				endpoint.SetMode(site.Fail)
				status = http.StatusInternalServerError
			}
			counter := new(dialCounter)
			w := newFixtureWith(t, func(g *gateway.Gateway) {
				counter.Meter = g.Meter
				g.Meter = counter
			}, endpoint)
			w.eventually(func() bool { return w.do(w.request("POST", "/freeze/1", "x")).StatusCode == status })
			before := counter.dials.Load()
			for range 20 {
				require.Equal(t, status, w.do(w.request("POST", "/freeze/1", "x")).StatusCode)
			}
			require.Equal(t, before, counter.dials.Load())
		})
	}
}
