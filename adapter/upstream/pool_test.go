package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/upstream"
)

// waitTimeout bounds every wait: a test that reaches it has failed.
const waitTimeout = 30 * time.Second

// server is an endpoint whose raw connections are scripted.
type server struct {
	address string
	conns   atomic.Int32
}

// serve starts a server that calls handle for each connection.
func serve(t *testing.T, handle func(c net.Conn, r *bufio.Reader)) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &server{address: listener.Addr().String()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer c.Close() //nolint:errcheck // a test's connection
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// answers returns a handler that answers successive requests with the items of list.
func answers(list ...string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for _, answer := range list {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			_, _ = io.WriteString(c, answer)
		}
		_, _ = r.ReadByte() // until the client closes
	}
}

const ok = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nwhole"

func call(address string) upstream.Call {
	return upstream.Call{
		Address: address, Method: "POST", Target: "/a?b=%2f", Host: "h", Header: http.Header{"X": {"1"}},
		Body: []byte("body"), HasBody: true, MaxIdle: time.Minute,
		Matches: func(h http.Header) bool { return h.Get("Id") == "mine" },
	}
}

// get sends one call and reads its response.
func get(p *upstream.Pool, c upstream.Call) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	answer, err := p.Do(ctx, c)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := answer.ReadAll()
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	s := serve(t, answers(ok, ok, ok))
	var p upstream.Pool
	for range 3 {
		body, err := get(&p, call(s.address))
		require.NoError(t, err)
		require.Equal(t, "whole", body)
	}
	require.EqualValues(t, 1, s.conns.Load())
}

// A connection must not be reused after a response that leaves its state uncertain.
func TestUncertainConnectionsAreNotReused(t *testing.T) {
	cases := []struct{ name, answer string }{
		{"closing", "HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole"},
		{"bytes after the answer", ok + "HTTP/1.1 200 OK\r\n"},
		{"another answer after it", ok + "HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: 0\r\n\r\n"},
		{"another answer before it", "HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: 0\r\n\r\n" + ok},
		{"about to be closed", "HTTP/1.1 200 OK\r\nId: mine\r\nKeep-Alive: timeout=0\r\nContent-Length: 5\r\n\r\nwhole"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, answers(c.answer, ok))
			var p upstream.Pool
			for range 2 {
				body, err := get(&p, call(s.address))
				require.NoError(t, err)
				require.Equal(t, "whole", body)
			}
			require.EqualValues(t, 2, s.conns.Load())
		})
	}
}

// A truncated or malformed response must never look complete.
func TestTruncatedResponses(t *testing.T) {
	cases := []struct{ name, answer string }{
		{"short body", "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 50\r\n\r\nwhole"},
		{"chunks without an end", "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"},
		{"cut head", "HTTP/1.1 200 OK\r\nId: mi"},
		{"no answer at all", ""},
		{"no HTTP", "once upon a time\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(c2 net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(c2, c.answer)
				}
			})
			_, err := get(new(upstream.Pool), call(s.address))
			require.Error(t, err)
			var failed *upstream.SendError
			if errors.As(err, &failed) {
				require.True(t, failed.Sent)
			}
		})
	}
}

// A response without a length is complete if its connection closes, and truncated if it is
// reset.
func TestResponseWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			s := serve(t, func(c net.Conn, r *bufio.Reader) {
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, request.Body); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: mine\r\n\r\nwhole")
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			body, err := get(new(upstream.Pool), call(s.address))
			if reset {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "whole", body)
		})
	}
}

func TestNothingIsSentToUnreachableEndpoint(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	_, err = get(new(upstream.Pool), call(listener.Addr().String()))
	var failed *upstream.SendError
	require.True(t, errors.As(err, &failed))
	require.False(t, failed.Sent)
}

// An endpoint may respond before it has read a long body, and go on reading. The remainder of
// that body must still be sent on the connection, and no other request.
func TestResponseBeforeEndOfLongBody(t *testing.T) {
	body := strings.Repeat("0123456789", 400_000)
	got := make(chan string, 1)
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, ok)
		text, _ := io.ReadAll(request.Body) // a truncated body fails the comparison
		got <- string(text)
	})
	c := call(s.address)
	c.Body = []byte(body)
	var p upstream.Pool
	answer, err := get(&p, c)
	require.NoError(t, err)
	require.Equal(t, "whole", answer)
	require.True(t, strings.HasPrefix(body, <-got))
	_, err = get(&p, call(s.address))
	require.NoError(t, err)
	require.EqualValues(t, 2, s.conns.Load())
}

// Cancelling the context closes the connection at once.
func TestCancelClosesTheConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	s := serve(t, func(_ net.Conn, r *bufio.Reader) {
		if request, err := http.ReadRequest(r); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		close(arrived)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := new(upstream.Pool).Do(ctx, call(s.address))
	require.ErrorIs(t, err, context.Canceled)
	select {
	case <-closed:
	case <-time.After(waitTimeout):
		require.Fail(t, "the connection is still open")
	}
}
