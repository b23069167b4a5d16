package ingress_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/ingress"
)

// Guards against a request that is ended while it is served, since its caller had stood still until just before and was
// chosen to give way.
func TestRequestBeingServedIsNotEvicted(t *testing.T) {
	for name, text := range map[string]string{"no body": request, "body": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"} {
		t.Run(name, func(t *testing.T) {
			begun, ended, proceed := make(chan struct{}), make(chan bool, 1), make(chan struct{})
			s := start(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // one byte at most
				close(begun)
				select {
				case <-r.Context().Done():
					ended <- true
				case <-proceed:
					ended <- false
				}
			}), ingress.Limits{})
			c, r := dial(t, s)
			_, err := io.WriteString(c, text)
			require.NoError(t, err)
			<-begun
			time.Sleep(50 * time.Millisecond) // net/http watches for the end of the connection
			ingress.EvictAll(s)
			time.Sleep(100 * time.Millisecond) // for a request that would be ended
			close(proceed)
			require.False(t, <-ended, "the request was ended")
			answer, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, answer.StatusCode)
		})
	}
}
