package gateway_test

import (
	"bufio"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/ingress"
)

// sendRaw writes text to a server of the gateway. It returns the status of the answer, 0 for none, and
// whether the connection was closed after it.
func sendRaw(t *testing.T, address, text string) (int, bool) {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close() //nolint:errcheck // a test's connection
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	r := bufio.NewReader(c)
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, true
	}
	_, _ = io.Copy(io.Discard, answer.Body) // only the end of the connection counts
	_, err = r.ReadByte()
	return answer.StatusCode, err == io.EOF
}

// requestHead is the head of a valid request, without the header that frames its body.
const requestHead = "POST /renew/1 HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Token " + key + "\r\nX-Request-Id: raw\r\n"

// Requests whose end two parsers may see in different places never reach an endpoint, and their connection
// is closed.
func TestMalformedRequestsNeverReachAnEndpoint(t *testing.T) {
	t.Parallel()
	e := plain("a")
	w := newFixture(t, e)
	s := &ingress.Server{
		Address: freeTCP(t), Handler: w.gateway, Limits: func() ingress.Limits {
			return ingress.Limits{MaxHeaderBytes: w.gateway.CallerLimits().HeaderBytes}
		},
		ErrorLog: log.New(io.Discard, "", 0),
	}
	require.NoError(t, s.Listen(make(chan error, 1)))
	t.Cleanup(s.Stop)
	cases := []struct{ name, text string }{
		{"two lengths", requestHead + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx"},
		{"length and chunks", requestHead + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /renew/2"},
		{"unknown encoding", requestHead + "Transfer-Encoding: gzip\r\n\r\nxx"},
		{"chunked twice", requestHead + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n"},
		{"bad length", requestHead + "Content-Length: +1\r\n\r\nx"},
		{"bad chunk", requestHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\nxx\r\n0\r\n\r\n"},
		{"space before a colon", requestHead + "Content-Length : 1\r\n\r\nx"},
		{"no host", "POST /renew/1 HTTP/1.1\r\nX-Request-Id: raw\r\n\r\n"},
		{"two hosts", requestHead + "Host: " + host + "\r\nContent-Length: 0\r\n\r\n"},
		{"bad name", requestHead + "Bad Name: 1\r\n\r\n"},
		{"bad value", requestHead + "X-Bad: \x00\r\n\r\n"},
		{"long head", requestHead + "X-Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n"},
		{"head above the limit in force", requestHead + "X-Long: " + strings.Repeat("x", 16<<10) + "\r\n\r\n"},
		{"no HTTP", "hello\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, closed := sendRaw(t, s.Address, c.text)
			require.True(t, closed)
			if status != 0 {
				require.GreaterOrEqual(t, status, 400)
				require.Less(t, status, 600)
			}
		})
	}
	for _, seen := range e.Seen() {
		require.Failf(t, "a malformed request reached an endpoint", "%s %v", seen.RequestURI, seen.Header)
	}
	status, _ := sendRaw(t, s.Address, requestHead+"Connection: close\r\nContent-Length: 1\r\n\r\nx")
	require.Equal(t, http.StatusOK, status, "the valid request is served")
}

// freeTCP returns a free local TCP address.
func freeTCP(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close() //nolint:errcheck // a test's listener
	return l.Addr().String()
}
