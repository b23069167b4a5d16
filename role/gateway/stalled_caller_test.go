package gateway_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// largeAnswers returns an endpoint of a plain service whose answers have a chunked body of just under 4 MiB.
func largeAnswers(t *testing.T, id string) *site.Endpoint {
	body := bytes.Repeat([]byte("b"), 4<<20-1000)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Response-Seal", "seal."+id)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body) // a gateway that has left
	}))
	t.Cleanup(s.CloseClientConnections)
	return &site.Endpoint{ID: id, Service: records, Hall: "north", Public: s.Listener.Addr().String()}
}

// stall sends a number of requests, each on a connection of its own, from callers that read nothing.
func (w *fixture) stall(callers int) {
	for i := range callers {
		c, err := net.Dial("tcp", strings.TrimPrefix(w.target, "http://"))
		require.NoError(w.t, err)
		w.t.Cleanup(func() { _ = c.Close() })
		require.NoError(w.t, c.(*net.TCPConn).SetReadBuffer(4096))
		_, err = fmt.Fprintf(c, "POST /freeze/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Request-Id: stalled-%d\r\nX-Deadline-Ms: 3000\r\nContent-Length: 1\r\n\r\nx", host, key, i)
		require.NoError(w.t, err)
	}
}

// Guards against answers to callers that do not read, which take the memory for all large answers: answers to other
// requests failed after their endpoints had run them.
func TestCallersThatDoNotReadHoldUpNoOthers(t *testing.T) {
	t.Parallel()
	w := newFixture(t, largeAnswers(t, "a"))
	w.eventually(func() bool { return w.do(w.request("POST", "/freeze/1", "x")).StatusCode == http.StatusOK })
	w.stall(8)
	w.eventually(func() bool { return w.gateway.Running() >= 8 })
	w.eventually(func() bool { return w.gateway.Running() == 0 })
	answer := w.do(w.request("POST", "/freeze/1", "x"))
	require.Equal(t, http.StatusOK, answer.StatusCode, answer.body[:min(len(answer.body), 120)])
}

// Guards against a request that takes a retry, and a place at another endpoint, while its answer is written.
func TestAnsweredRequestTakesNoRetry(t *testing.T) {
	t.Parallel()
	w := newFixture(t, largeAnswers(t, "a"), largeAnswers(t, "b"))
	w.eventually(func() bool { return w.do(w.request("POST", "/freeze/1", "x")).StatusCode == http.StatusOK })
	w.stall(3)
	w.eventually(func() bool { return w.gateway.Running() >= 3 })
	for range 20 { // several times the objective of the route
		time.Sleep(100 * time.Millisecond)
		state := w.gateway.RetryBudget(records)
		require.Zero(t, state.Pending+state.Sent)
	}
}

// Guards against more large bodies in memory than their bound: those that are being written to callers must count.
func TestLargeAnswersCountUntilTheyAreWritten(t *testing.T) {
	t.Parallel()
	w := newFixture(t, largeAnswers(t, "a"))
	w.eventually(func() bool { return w.do(w.request("POST", "/freeze/1", "x")).StatusCode == http.StatusOK })
	w.stall(8)
	w.eventually(func() bool {
		r := w.request("POST", "/freeze/1", "x")
		r.Header.Set("X-Deadline-Ms", "300")
		return strings.Contains(w.do(r).body, "no memory for a large body")
	})
}
