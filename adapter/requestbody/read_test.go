package requestbody_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/ingress"
	"github.com/grademill/grademill/adapter/requestbody"
	"github.com/grademill/grademill/state/memory"
)

const (
	maxBody = 100_000
	// connBytes is what a connection takes while it is open.
	connBytes = 40 << 10
	deadline  = 30 * time.Second
)

// serve serves requests by the length of their bodies, with a budget, and returns the address.
func serve(t *testing.T, b *memory.Budget, before func(r *http.Request)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	s := &ingress.Server{Address: address, Memory: b, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		before(r)
		body, err := requestbody.Read(w, r, maxBody)
		var large *http.MaxBytesError
		switch {
		case errors.As(err, &large):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, requestbody.ErrNoMemory):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		}
		_, _ = fmt.Fprint(w, len(body))
	})}
	require.NoError(t, s.Listen(make(chan error, 1)))
	t.Cleanup(s.Stop)
	return address
}

// dial opens a connection and sends a text.
func dial(t *testing.T, address, text string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(deadline)))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

// response returns the status and the body of the response on a connection.
func response(t *testing.T, c net.Conn) (int, string) {
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	text, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	return answer.StatusCode, string(text)
}

const start = "POST / HTTP/1.1\r\nHost: h\r\n"

func length(n int) string { return fmt.Sprintf(start+"Content-Length: %d\r\n\r\n", n) }

func chunks(n, size int) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return start + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, n/size)
}

func TestRead(t *testing.T) {
	b := &memory.Budget{Limit: 1 << 20, MaxShares: 10}
	address := serve(t, b, func(*http.Request) {})
	for name, c := range map[string]struct {
		text   string
		status int
		body   string
	}{
		"length":              {length(maxBody) + strings.Repeat("x", maxBody), 200, "100000"},
		"chunks":              {chunks(maxBody, 1000) + "0\r\n\r\n", 200, "100000"},
		"small":               {length(3) + "abc", 200, "3"},
		"empty":               {length(0), 200, "0"},
		"one chunk":           {chunks(7, 7) + "0\r\n\r\n", 200, "7"},
		"announced too large": {length(maxBody + 1), 413, "0"},
		"chunks too large":    {chunks(maxBody+1000, 1000) + "0\r\n\r\n", 413, "0"},
		"malformed":           {start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			status, body := response(t, dial(t, address, c.text))
			require.Equal(t, c.status, status)
			require.Equal(t, c.body, body)
		})
	}
	require.Eventually(t, func() bool {
		bytes, shares := b.Used()
		return bytes == 0 && shares == 0
	}, deadline, time.Millisecond, "all memory is given back")
}

// A body that stands still gives way to one that is sent, and its caller learns that the request has not run.
func TestBodyThatStandsStillGivesWay(t *testing.T) {
	for name, text := range map[string]string{"length": length(maxBody) + "x", "chunks": chunks(maxBody*9/10, 1000)} {
		t.Run(name, func(t *testing.T) {
			b := &memory.Budget{Limit: 360_000, MaxShares: 10}
			address := serve(t, b, func(*http.Request) {})
			still := dial(t, address, text)
			require.Eventually(t, func() bool {
				bytes, _ := b.Used()
				return bytes == connBytes+maxBody
			}, deadline, time.Millisecond, "the body is in memory, in a slice of its final size")
			other := dial(t, address, length(maxBody)+strings.Repeat("x", maxBody))
			status, _ := response(t, other)
			require.Equal(t, http.StatusOK, status)
			status, _ = response(t, still)
			require.Equal(t, http.StatusServiceUnavailable, status)
		})
	}
}

// A request that is being handled does not give way: the one that comes later gets no memory, or is closed unread.
func TestHandledRequestDoesNotGiveWay(t *testing.T) {
	block, handled := make(chan struct{}), make(chan struct{}, 2)
	b := &memory.Budget{Limit: 260_000, MaxShares: 2}
	address := serve(t, b, func(r *http.Request) {
		if r.Header.Get("Content-Length") == "" && r.ContentLength == 0 {
			handled <- struct{}{}
			<-block
		}
	})
	first := dial(t, address, start+"\r\n")
	<-handled
	second := dial(t, address, start+"\r\n")
	<-handled
	time.Sleep(300 * time.Millisecond) // longer than a caller has to stand still to give way
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close() //nolint:errcheck // a test's connection
	require.NoError(t, c.SetDeadline(time.Now().Add(deadline)))
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	close(block)
	for _, c := range []net.Conn{first, second} {
		status, _ := response(t, c)
		require.Equal(t, http.StatusOK, status)
	}
}

// A connection that rests gives way to a new one, and one with a part of a head does.
func TestNewConnectionTakesThePlaceOfOneThatStandsStill(t *testing.T) {
	for name, text := range map[string]string{"resting": "", "part of a head": start} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, &memory.Budget{Limit: 1 << 20, MaxShares: 1}, func(*http.Request) {})
			still := dial(t, address, text)
			time.Sleep(300 * time.Millisecond) // as above
			status, _ := response(t, dial(t, address, length(1)+"x"))
			require.Equal(t, http.StatusOK, status)
			_, err := still.Read(make([]byte, 1))
			require.Error(t, err)
		})
	}
}

// A response that its caller does not read gives way.
func TestUnreadResponseGivesWay(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	failed := make(chan error, 1)
	s := &ingress.Server{
		Address: address, Memory: &memory.Budget{Limit: 1 << 20, MaxShares: 1},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				_, err := w.Write(make([]byte, 64<<20)) // more than the system holds
				failed <- err
			}
		}),
	}
	require.NoError(t, s.Listen(make(chan error, 1)))
	t.Cleanup(s.Stop)
	dial(t, address, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool { // until the write has stood still
		c, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		defer c.Close() //nolint:errcheck // a test's connection
		_ = c.SetDeadline(time.Now().Add(deadline))
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err == nil && answer.StatusCode == http.StatusOK
	}, deadline, 50*time.Millisecond)
	require.Error(t, <-failed)
}
