package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/responseconn"
	"github.com/grademill/grademill/adapter/upstream"
	"github.com/grademill/grademill/standin/broken"
)

// start starts a server that answers with a broken answer, and returns its address.
func start(t *testing.T, answer broken.Answer) string {
	address, stop, err := answer.Start()
	require.NoError(t, err)
	t.Cleanup(stop)
	return address
}

// requireNoAnswer checks that a call gets no answer, although bytes may have come.
func requireNoAnswer(t *testing.T, answer broken.Answer) {
	t.Helper()
	body, err := get(new(upstream.Pool), call(start(t, answer)))
	require.Error(t, err, "%q was taken for an answer with the body %q", answer, body)
}

const (
	ownFields   = "Id: mine\r\n"
	strayFields = "Id: late\r\n"
)

// Guards against an answer with a malformed head that is taken for one: with a status that is none, or with a body whose
// frame was in a line that was passed over.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for name, answer := range broken.Heads(ownFields, "wrong") {
		t.Run(name, func(t *testing.T) { requireNoAnswer(t, answer) })
	}
}

// The same holds for answers to other requests, which are skipped: where one ends is uncertain, and what comes after it.
func TestMalformedHeadOfSkippedAnswer(t *testing.T) {
	for name, answer := range broken.Heads(strayFields, "wrong") {
		t.Run(name, func(t *testing.T) { requireNoAnswer(t, answer+ok) })
		t.Run(name+", skipped before", func(t *testing.T) {
			requireNoAnswer(t, "HTTP/1.1 200 OK\r\n"+strayFields+"Content-Length: 5\r\n\r\nother"+answer+ok)
		})
	}
}

// Guards against an answer that stops anywhere in its head.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for _, answer := range broken.Cuts("HTTP/1.1 200 OK\r\n" + ownFields + "Content-Length: 0\r\n\r\n") {
		requireNoAnswer(t, answer)
		requireNoAnswer(t, "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"+answer)
	}
}

// Guards against an answer with malformed trailers.
func TestMalformedTrailersAreNoAnswer(t *testing.T) {
	for name, answer := range broken.Trailers(ownFields, "wrong") {
		t.Run(name, func(t *testing.T) { requireNoAnswer(t, answer) })
	}
}

// upload is the body of a request that waits for its endpoint to read.
var upload = strings.Repeat("0123456789", 800_000)

// unframed is an answer that ends with its connection.
const unframed = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nwhole"

// answerEarly returns a handler that answers before it reads the body of a request, and then calls end.
func answerEarly(end func(c *net.TCPConn, body io.Reader)) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, unframed)
		end(c.(*net.TCPConn), request.Body)
	}
}

// Guards against a part of an answer that looks whole: the kernel reports the reset of a connection once, and did so to the
// goroutine that wrote the request.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for _, size := range []int{20 << 10, len(upload)} {
		for _, wait := range []time.Duration{0, 200 * time.Microsecond, 2 * time.Millisecond, 20 * time.Millisecond} {
			for _, unread := range []bool{false, true} {
				t.Run(fmt.Sprint(size, " bytes, ", wait, ", unread bytes ", unread), func(t *testing.T) {
					requireResetIsNoEnd(t, upload[:size], wait, unread)
				})
			}
		}
	}
}

// requireResetIsNoEnd checks calls with a body whose endpoint answers early, and resets the connection after a wait: at once,
// or by closing it while bytes of the body are unread.
func requireResetIsNoEnd(t *testing.T, body string, wait time.Duration, unread bool) {
	s := serve(t, answerEarly(func(c *net.TCPConn, body io.Reader) {
		time.Sleep(wait)
		if unread {
			_, _ = io.CopyN(io.Discard, body, 1) // the others have arrived with it
		} else {
			_ = c.SetLinger(0)
		}
	}))
	c := call(s.address)
	c.Body = []byte(body)
	for range 20 {
		got, err := get(new(upstream.Pool), c)
		require.Error(t, err, "%q was taken for the whole body", got)
	}
}

// A reset that only the write of the request saw is reported. Which of the two sees it is up to the kernel, but most likely
// the one that waits.
func TestResetThatOnlyAWriteSawIsReported(t *testing.T) {
	var broken error
	for deadline := time.Now().Add(waitTimeout); broken == nil && time.Now().Before(deadline); {
		reset := make(chan struct{})
		s := serve(t, answerEarly(func(c *net.TCPConn, body io.Reader) {
			_, _ = io.CopyN(io.Discard, body, 1<<20)
			_ = c.SetLinger(0)
			_ = c.Close()
			close(reset)
		}))
		c := call(s.address)
		c.Body = []byte(upload)
		c.OnBroken = func(err error) { broken = err }
		answer, err := new(upstream.Pool).Do(t.Context(), c)
		require.NoError(t, err)
		<-reset
		time.Sleep(10 * time.Millisecond)
		_, err = answer.ReadAll()
		require.Error(t, err)
		answer.Close()
	}
	var unsent *responseconn.UnsentError
	require.ErrorAs(t, broken, &unsent)
}

// A connection that is lost before its answer is no broken answer.
func TestResetWithoutAnAnswerIsNotReported(t *testing.T) {
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		if request, err := http.ReadRequest(r); err == nil {
			_, _ = io.CopyN(io.Discard, request.Body, 1<<20)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	c := call(s.address)
	c.Body = []byte(upload)
	c.OnBroken = func(err error) { require.NoError(t, err) }
	for range 20 {
		_, err := get(new(upstream.Pool), c)
		require.Error(t, err)
	}
}

// An answer that ends with its connection, on the endpoint's side, is whole if the endpoint reads the request to its end.
func TestAnswerBeforeTheEndOfItsUploadIsWhole(t *testing.T) {
	read := make(chan int64, 1)
	s := serve(t, answerEarly(func(c *net.TCPConn, body io.Reader) {
		_ = c.CloseWrite()
		n, _ := io.Copy(io.Discard, body) // the test compares n
		read <- n
	}))
	c := call(s.address)
	c.Body = []byte(upload)
	body, err := get(new(upstream.Pool), c)
	require.NoError(t, err)
	require.Equal(t, "whole", body)
	require.EqualValues(t, len(upload), <-read)
}

// An endpoint that ends its side of the connection and does not read on must not hold up its answer until the deadline.
func TestAnswerOfEndpointThatDoesNotReadOnIsWhole(t *testing.T) {
	done := make(chan struct{})
	s := serve(t, answerEarly(func(c *net.TCPConn, _ io.Reader) {
		_ = c.CloseWrite()
		<-done
	}))
	defer close(done)
	c := call(s.address)
	c.Body = []byte(upload)
	body, err := get(new(upstream.Pool), c)
	require.NoError(t, err)
	require.Equal(t, "whole", body)
}
