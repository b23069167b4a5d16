package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/ingress"
)

// waitTimeout bounds every wait: a test that reaches it has failed.
const waitTimeout = 30 * time.Second

// start starts a server for handler and stops it when the test ends.
func start(t *testing.T, handler http.Handler, limits ingress.Limits) *ingress.Server {
	return startLogging(t, handler, limits, io.Discard)
}

// startLogging is start with a writer for the log of net/http.
func startLogging(t *testing.T, handler http.Handler, limits ingress.Limits, out io.Writer) *ingress.Server {
	s := &ingress.Server{
		Handler: handler, Limits: func() ingress.Limits { return limits }, ErrorLog: log.New(out, "", 0),
	}
	listen(t, s)
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	t.Cleanup(func() {
		s.Stop()
		cancel()
	})
	return s
}

// listen has a server listen at an address that is free. Another process may take an address before the server does.
func listen(t *testing.T, s *ingress.Server) {
	require.Eventually(t, func() bool {
		free, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.NoError(t, free.Close())
		s.Address = free.Addr().String()
		return s.Listen(make(chan error, 1)) == nil
	}, waitTimeout, time.Millisecond)
}

// dial opens a connection whose reads fail after waitTimeout.
func dial(t *testing.T, s *ingress.Server) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", s.Address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	return c, bufio.NewReader(c)
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

func ask(t *testing.T, c net.Conn, r *bufio.Reader) *http.Response {
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	answer, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(t, err)
	return answer
}

// Stop closes an idle connection, but not one whose request is being served.
func TestStopClosesOnlyIdleConnections(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "whole")
	}), ingress.Limits{})
	_, idle := dial(t, s)
	busy, reader := dial(t, s)
	_, err := io.WriteString(busy, request)
	require.NoError(t, err)
	<-entered
	s.Stop()
	_, err = idle.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	close(release)
	answer, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
}

// Guards against closing a connection as idle while a request lies unread on it. A process
// starved of processor time had left a request unread for 0.7 s and closed its connection at
// the stop without a response. The test runs on one processor, so that mostly nothing reads the
// request between its sending and the stop; otherwise it has been served meanwhile.
func TestUnreadRequestIsServedAtStop(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	unread := 0
	for range 20 {
		s := start(t, http.NotFoundHandler(), ingress.Limits{})
		c, r := dial(t, s)
		require.False(t, ask(t, c, r).Close)
		_, err := io.WriteString(c, request)
		s.Stop()
		require.NoError(t, err)
		served := s.Idle()
		answer, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.True(t, answer.Close || served)
		_, err = io.Copy(io.Discard, answer.Body)
		require.NoError(t, err)
		require.Eventually(t, s.Idle, waitTimeout, time.Millisecond)
		if !served {
			unread++
		}
	}
	require.Positive(t, unread)
}

// Guards against a body that the handler has left unread being taken for the head of the next request: that one was
// rejected as too long, or as having two lengths.
func TestRequestAfterAnUnreadBodyIsServed(t *testing.T) {
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/rejected" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}), ingress.Limits{MaxHeaderBytes: 16 << 10})
	for name, body := range map[string]string{
		"large":        strings.Repeat("x", 40<<10),
		"like a head":  "\r\nContent-Length: 3\r\n\r\n",
		"of one byte":  "x",
		"not rejected": "",
	} {
		t.Run(name, func(t *testing.T) {
			c, r := dial(t, s)
			for range 5 {
				_, err := fmt.Fprintf(c, "POST /rejected HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				require.NoError(t, err)
				answer, err := http.ReadResponse(r, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusUnauthorized, answer.StatusCode)
				_, err = io.WriteString(c, "POST /served HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
				require.NoError(t, err)
				answer, err = http.ReadResponse(r, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, answer.StatusCode)
				require.Equal(t, http.StatusOK, ask(t, c, r).StatusCode)
			}
		})
	}
}

// Guards against a caller that never sends the rest of a rejected body keeping its connection, and a server that stops
// from stopping.
func TestConnectionWhoseBodyDoesNotEndIsClosed(t *testing.T) {
	s := start(t, http.NotFoundHandler(), ingress.Limits{ReadHeaderTimeout: time.Millisecond})
	c, r := dial(t, s)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nx")
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, r)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Eventually(t, s.Idle, waitTimeout, time.Millisecond)
}

// After CloseAfterResponses, an idle connection closes with its next response. If the previous
// response has not quite finished, the connection may close after that one, as it does after a
// response begun before CloseAfterResponses; a request sent at that moment is not served.
func TestRetireClosesConnectionsAfterTheirResponses(t *testing.T) {
	announced := 0
	for range 20 {
		var served atomic.Int32
		s := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			served.Add(1)
			w.WriteHeader(http.StatusNotFound)
		}), ingress.Limits{})
		c, r := dial(t, s)
		require.False(t, ask(t, c, r).Close)
		s.CloseAfterResponses()
		_, err := io.WriteString(c, request)
		var answer *http.Response
		if err == nil {
			answer, err = http.ReadResponse(r, nil)
		}
		if err != nil {
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
			require.EqualValues(t, 1, served.Load(), "a request sent while its connection is being closed is not served")
			continue
		}
		require.True(t, answer.Close)
		announced++
	}
	require.Positive(t, announced)
}

// blockedLog is a log that blocks at its first line until it is released.
type blockedLog struct {
	reached, release chan struct{}
	once             sync.Once
}

func (l *blockedLog) Write(line []byte) (int, error) {
	l.once.Do(func() {
		close(l.reached)
		<-l.release
	})
	return len(line), nil
}

// startHeld starts a server that blocks once, after the handler has returned and before its response is written, until
// the returned log is released. The handler says that the response has both a length and an encoding, which net/http
// logs at that point.
func startHeld(t *testing.T, limits ingress.Limits) (*ingress.Server, *blockedLog) {
	l := &blockedLog{reached: make(chan struct{}), release: make(chan struct{})}
	s := startLogging(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Transfer-Encoding", "chunked")
		w.Header().Set("Content-Length", "5")
		_, _ = io.WriteString(w, "whole")
	}), limits, l)
	return s, l
}

// requireWhole reads the response of a handler of startHeld.
func requireWhole(t *testing.T, r *bufio.Reader) {
	answer, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
}

// Guards against closing a connection, or ending the process, between the return of a handler and the writing of its
// response: the request had run and its caller got nothing.
func TestStopWaitsForResponseThatIsNotWritten(t *testing.T) {
	s, l := startHeld(t, ingress.Limits{})
	c, r := dial(t, s)
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	<-l.reached
	time.Sleep(1100 * time.Millisecond) // until the head no longer counts as one that may just be read
	s.Stop()
	require.False(t, s.Idle())
	close(l.release)
	requireWhole(t, r)
	require.Eventually(t, s.Idle, waitTimeout, time.Millisecond)
}

// Guards against closing a connection as idle for too long whose last response has not been written.
func TestResponseThatIsNotWrittenIsNotIdle(t *testing.T) {
	s, l := startHeld(t, ingress.Limits{MaxIdle: time.Millisecond})
	c, r := dial(t, s)
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	<-l.reached
	_, idle := dial(t, s)
	_, err = idle.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the sweeps that close this connection have passed over the other one")
	close(l.release)
	requireWhole(t, r)
}

// Guards against a connection that is closed without a whole response and without a report of it, and against reports
// of requests that are answered.
func TestRequestsWithoutWholeResponseAreReported(t *testing.T) {
	reports := make(chan ingress.Unanswered, 10)
	left := make(chan struct{})
	s := &ingress.Server{
		ErrorLog:   log.New(io.Discard, "", 0),
		Limits:     func() ingress.Limits { return ingress.Limits{ReadHeaderTimeout: time.Millisecond} },
		Unanswered: func(u ingress.Unanswered) { reports <- u },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/aborted":
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			case "/left":
				<-left
				for w.Header().Set("X", "1"); r.Context().Err() == nil; {
					_, _ = w.Write(make([]byte, 1<<16))
				}
			}
		}),
	}
	listen(t, s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	defer s.Stop()
	for _, one := range []struct{ text, path, reason string }{
		{"GET /aborted HTTP/1.1\r\nHost: a\r\n\r\n", "/aborted", ingress.CloseAborted},
		{"GET /slow HTTP/1.1\r\nHo", "", ingress.CloseSlowHead},
		{"POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx", "/slow", ingress.CloseSlowBody},
		{"GET /left HTTP/1.1\r\nHost: a\r\n\r\n", "/left", ingress.CloseWriteFailed},
	} {
		c, r := dial(t, s)
		ask(t, c, r) // answered, and not reported
		_, err := io.WriteString(c, one.text)
		require.NoError(t, err)
		if one.path == "/left" {
			require.NoError(t, c.(*net.TCPConn).SetLinger(0)) // a reset
			require.NoError(t, c.Close())
			close(left)
		}
		u := <-reports
		require.Equal(t, one.reason, u.Reason)
		if one.path == "" {
			require.Nil(t, u.Request)
			continue
		}
		require.Equal(t, one.path, u.Request.URL.Path)
		require.Equal(t, one.path == "/aborted", u.Sent > 0 && u.Err == nil)
	}
	require.Empty(t, reports)
}

func TestIdleTimeIsBounded(t *testing.T) {
	s := start(t, http.NotFoundHandler(), ingress.Limits{MaxIdle: 10 * time.Millisecond})
	c, r := dial(t, s)
	ask(t, c, r)
	_, err := r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// A response whose head went out before CloseAfterResponses cannot announce that the
// connection closes. The connection must close once that response is complete, and take no
// further request.
func TestConnectionClosesAfterResponseBegunBeforeRetire(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush()
		entered <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "whole")
	}), ingress.Limits{})
	c, r := dial(t, s)
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	<-entered
	s.CloseAfterResponses()
	close(release)
	answer, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.False(t, answer.Close)
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// A request head longer than the limit is refused, and its connection is closed.
func TestLongHeadIsRefused(t *testing.T) {
	s := start(t, http.NotFoundHandler(), ingress.Limits{MaxHeaderBytes: 200})
	c, r := dial(t, s)
	require.Equal(t, http.StatusNotFound, ask(t, c, r).StatusCode)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nX-Long: "+strings.Repeat("x", 200)+"\r\n\r\n")
	require.NoError(t, err)
	answer, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, answer.StatusCode)
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(t, err)
	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// A connection is closed if its request head takes longer than the limit, but not if no head
// has started.
func TestSlowHeadEndsTheConnection(t *testing.T) {
	s := start(t, http.NotFoundHandler(), ingress.Limits{ReadHeaderTimeout: 10 * time.Millisecond})
	idle, idleReader := dial(t, s)
	slow, r := dial(t, s)
	_, err := io.WriteString(slow, "GET / HTTP/1.1\r\nHo")
	require.NoError(t, err)
	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, http.StatusNotFound, ask(t, idle, idleReader).StatusCode)
}
