package ingress_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/ingress"
)

// heldListener accepts connections of which a read can be held when it returns, as in a process without processor time.
type heldListener struct {
	*net.TCPListener
	// hold is set to hold the next read that gets bytes, holdExpired to hold the next one whose deadline expires.
	// reached is closed when it is held, until release is closed.
	hold, holdExpired atomic.Bool
	reached, release  chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return heldConn{c, l}, nil
}

type heldConn struct {
	*net.TCPConn
	listener *heldListener
}

func (c heldConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.listener.hold.CompareAndSwap(true, false) ||
		errors.Is(err, os.ErrDeadlineExceeded) && c.listener.holdExpired.CompareAndSwap(true, false) {
		close(c.listener.reached)
		<-c.listener.release
	}
	return n, err
}

// heldServer is a server whose reads can be held and whose limits can change.
type heldServer struct {
	*ingress.Server
	*heldListener
	limits atomic.Pointer[ingress.Limits]
}

func startHeldServer(t *testing.T, handler http.Handler) *heldServer {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &heldServer{heldListener: &heldListener{
		TCPListener: raw.(*net.TCPListener), reached: make(chan struct{}), release: make(chan struct{}),
	}}
	s.limits.Store(&ingress.Limits{})
	s.Server = &ingress.Server{
		Address: raw.Addr().String(), Handler: handler, Limits: func() ingress.Limits { return *s.limits.Load() },
		ErrorLog: log.New(io.Discard, "", 0),
	}
	s.ServeOn(s.heldListener)
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	t.Cleanup(func() {
		s.Stop()
		cancel()
	})
	return s
}

// exceed puts limits in force under which each wait for a caller is too long, and waits until they have closed
// idle connections and others with a part of a head.
func (s *heldServer) exceed(t *testing.T) {
	s.limits.Store(&ingress.Limits{MaxIdle: time.Millisecond, ReadHeaderTimeout: time.Millisecond, Retire: true})
	for _, text := range []string{"", "G", ""} {
		c, r := dial(t, s.Server)
		_, err := io.WriteString(c, text)
		require.NoError(t, err)
		_, err = r.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
}

// Guards against closing a connection whose request has been read by the system call alone, because the goroutine that
// reads had no processor time: the request got no response.
func TestRequestThatIsReadButNotRecordedIsServed(t *testing.T) {
	const part = len("GET / HT")
	for name, c := range map[string]struct {
		// held is sent before the read is held, rest while it is.
		held, rest string
		stop       bool
	}{
		"limits":                 {held: request},
		"stop":                   {held: request, stop: true},
		"limits, part of a head": {held: request[:part], rest: request[part:]},
		"stop, part of a head":   {held: request[:part], rest: request[part:], stop: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := startHeldServer(t, http.NotFoundHandler())
			conn, r := dial(t, s.Server)
			ask(t, conn, r)
			s.hold.Store(true)
			_, err := io.WriteString(conn, c.held)
			require.NoError(t, err)
			<-s.reached
			_, err = io.WriteString(conn, c.rest)
			require.NoError(t, err)
			if c.stop {
				s.Stop()
				require.False(t, s.Idle())
			} else {
				s.exceed(t)
			}
			close(s.release)
			answer, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusNotFound, answer.StatusCode)
			_, err = io.Copy(io.Discard, answer.Body)
			require.NoError(t, err)
			s.Stop()
			require.Eventually(t, s.Idle, waitTimeout, time.Millisecond)
		})
	}
}

// Guards against closing a connection whose read deadline has expired, without a look at what has arrived since.
func TestRequestThatArrivesAtTheReadDeadlineIsServed(t *testing.T) {
	const part = len("GET / HT")
	for name, c := range map[string]struct {
		// before is how much of a request is sent before the deadline expires.
		before int
		expire func(s *heldServer)
	}{
		"idle": {0, func(s *heldServer) { s.limits.Store(&ingress.Limits{MaxIdle: time.Millisecond, Retire: true}) }},
		"stop": {0, func(s *heldServer) { s.Stop() }},
		"head": {part, func(*heldServer) {}},
	} {
		t.Run(name, func(t *testing.T) {
			s := startHeldServer(t, http.NotFoundHandler())
			conn, r := dial(t, s.Server)
			ask(t, conn, r)
			if c.before > 0 {
				s.limits.Store(&ingress.Limits{ReadHeaderTimeout: time.Millisecond})
				slow, reader := dial(t, s.Server)
				_, err := io.WriteString(slow, "G")
				require.NoError(t, err)
				_, err = reader.ReadByte()
				require.ErrorIs(t, err, io.EOF, "the limit is in force")
			}
			s.holdExpired.Store(true)
			_, err := io.WriteString(conn, request[:c.before])
			require.NoError(t, err)
			c.expire(s)
			<-s.reached
			_, err = io.WriteString(conn, request[c.before:])
			require.NoError(t, err)
			close(s.release)
			answer, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusNotFound, answer.StatusCode)
		})
	}
}

// Guards against a caller that keeps its connection by sending a head slowly, but never pausing for longer than the
// server takes to look.
func TestHeadThatDripsEndsTheConnection(t *testing.T) {
	s := start(t, http.NotFoundHandler(), ingress.Limits{ReadHeaderTimeout: 10 * time.Millisecond})
	c, r := dial(t, s)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nX: ")
	require.NoError(t, err)
	closed := make(chan error)
	go func() {
		_, err := r.ReadByte()
		closed <- err
	}()
	for {
		select {
		case err := <-closed:
			require.Error(t, err)
			require.NotErrorIs(t, err, context.DeadlineExceeded)
			return
		case <-time.After(time.Millisecond):
			_, _ = io.WriteString(c, "x") // fails once the connection is closed
		}
	}
}

// Guards against closing a connection between the reading of the rest of a body, which the handler had left, and the
// writing of the refusal.
func TestRefusalAfterDrainedBodyIsWritten(t *testing.T) {
	s, l := startHeld(t, ingress.Limits{ReadHeaderTimeout: time.Millisecond})
	c, r := dial(t, s)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nwhole")
	require.NoError(t, err)
	<-l.reached
	for range 2 {
		slow, reader := dial(t, s)
		_, err = io.WriteString(slow, "G")
		require.NoError(t, err)
		_, err = reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
	close(l.release)
	requireWhole(t, r)
}

// Guards against closing a connection whose caller sends a rejected body slowly before the rejection is written.
func TestRejectionOfSlowBodyIsSeen(t *testing.T) {
	s := start(t, http.NotFoundHandler(), ingress.Limits{ReadHeaderTimeout: time.Millisecond})
	c, r := dial(t, s)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx")
	require.NoError(t, err)
	answer, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, answer.StatusCode)
	require.True(t, answer.Close)
	_, err = io.Copy(io.Discard, r)
	require.NoError(t, err)
}

// Guards against resetting the connection of a caller that first sends all of a long body and then reads its rejection.
func TestRejectionOfLongBodyIsSeen(t *testing.T) {
	for name, length := range map[string]int{"with a length": 4 << 20, "in chunks": 0} {
		t.Run(name, func(t *testing.T) {
			s := start(t, http.NotFoundHandler(), ingress.Limits{})
			c, r := dial(t, s)
			body := strings.Repeat("x", 4<<20)
			text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, body)
			if length == 0 {
				text = fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
			}
			_, err := io.WriteString(c, text)
			require.NoError(t, err)
			answer, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusNotFound, answer.StatusCode)
			_, err = io.Copy(io.Discard, r)
			require.NoError(t, err)
		})
	}
}

// Guards against a drained body whose end is given up breaking the next request: its context was cancelled.
func TestRequestAfterADrainedBodyHasItsContext(t *testing.T) {
	s := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusBadGateway)
		}
	}), ingress.Limits{ReadHeaderTimeout: 50 * time.Millisecond})
	c, r := dial(t, s)
	for range 3 {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nwhole")
		require.NoError(t, err)
		answer, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, answer.StatusCode)
		time.Sleep(60 * time.Millisecond) // longer than the limit on a body
	}
}

// Guards against requests without a response, and without a report, where the process ends before they do.
func TestRequestsCutAtTheStopTimeoutAreReported(t *testing.T) {
	reports := make(chan ingress.Unanswered, 10)
	entered, release := make(chan struct{}), make(chan struct{})
	s := &ingress.Server{
		ErrorLog:   log.New(io.Discard, "", 0),
		Unanswered: func(u ingress.Unanswered) { reports <- u },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			entered <- struct{}{}
			<-release
			panic(http.ErrAbortHandler)
		}),
	}
	listen(t, s)
	_, idle := dial(t, s)
	c, r := dial(t, s)
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	<-entered
	s.Stop()
	s.ReportCut()
	s.ReportCut()
	close(release)
	_, err = idle.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	answer, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	require.Error(t, err)
	require.Eventually(t, s.Idle, waitTimeout, time.Millisecond)
	u := <-reports
	require.Equal(t, ingress.CloseStopTimeout, u.Reason)
	require.Equal(t, "/", u.Request.URL.Path)
	require.Positive(t, u.Sent)
	require.Empty(t, reports)
}

// Guards against an aborted response whose report does not tell whether its caller had left.
func TestAbortForACallerThatLeftIsReportedAsSuch(t *testing.T) {
	reports := make(chan ingress.Unanswered, 10)
	entered := make(chan struct{})
	s := &ingress.Server{
		ErrorLog:   log.New(io.Discard, "", 0),
		Unanswered: func(u ingress.Unanswered) { reports <- u },
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			entered <- struct{}{}
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}),
	}
	listen(t, s)
	defer s.Stop()
	c, _ := dial(t, s)
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	<-entered
	require.NoError(t, c.Close())
	u := <-reports
	require.Equal(t, ingress.CloseCallerLeft, u.Reason)
	require.Equal(t, "/", u.Request.URL.Path)
}

// gatedListener accepts no connection until it is opened.
type gatedListener struct {
	*net.TCPListener
	open chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.open
	return l.TCPListener.Accept()
}

// Guards against resetting connections that wait to be accepted when the server stops, with requests in them.
func TestConnectionsThatAreNotAcceptedAreServedAtStop(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := gatedListener{raw.(*net.TCPListener), make(chan struct{})}
	s := &ingress.Server{Address: raw.Addr().String(), Handler: http.NotFoundHandler(), ErrorLog: log.New(io.Discard, "", 0)}
	s.ServeOn(l)
	var readers []*bufio.Reader
	for range 5 {
		c, r := dial(t, s)
		_, err := io.WriteString(c, request)
		require.NoError(t, err)
		readers = append(readers, r)
	}
	s.Stop()
	require.False(t, s.Idle())
	close(l.open)
	for _, r := range readers {
		answer, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		require.True(t, answer.Close)
	}
	require.Eventually(t, s.Idle, waitTimeout, time.Millisecond)
	_, err = net.Dial("tcp", s.Address)
	require.Error(t, err)
}

// Guards against closing a connection that its caller may still use by the idle limit with which it was answered,
// because a configuration has shortened the limit. Callers that should go elsewhere are not waited for.
func TestShortenedIdleLimitHoldsForLaterWaits(t *testing.T) {
	s := startHeldServer(t, http.NotFoundHandler())
	s.limits.Store(&ingress.Limits{MaxIdle: time.Hour})
	inForce := func(keepAlive string) {
		require.Eventually(t, func() bool {
			c, r := dial(t, s.Server)
			_, _ = io.WriteString(c, request) // may fail, as the connection may be closed first
			answer, err := http.ReadResponse(r, nil)
			return err == nil && answer.Header.Get("Keep-Alive") == keepAlive
		}, waitTimeout, time.Millisecond)
	}
	inForce("timeout=2880")
	kept, keptReader := dial(t, s.Server)
	ask(t, kept, keptReader)
	retired, retiredReader := dial(t, s.Server)
	ask(t, retired, retiredReader)
	s.limits.Store(&ingress.Limits{MaxIdle: time.Millisecond})
	inForce("")
	_, fresh := dial(t, s.Server)
	_, err := fresh.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	ask(t, kept, keptReader)
	_, err = keptReader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	s.limits.Store(&ingress.Limits{MaxIdle: time.Millisecond, Retire: true})
	_, err = retiredReader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}
