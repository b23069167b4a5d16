package peek_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/peek"
)

// HasUnread reads nothing from the connection and tells its states apart.
func TestPending(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close() //nolint:errcheck // a test's listener
	near, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	far, err := l.Accept()
	require.NoError(t, err)
	defer far.Close() //nolint:errcheck // a test's connection
	state := func(pending bool, want error) func() bool {
		return func() bool {
			p, err := peek.HasUnread(far)
			return p == pending && err == want
		}
	}
	const waitTimeout, poll = 30 * time.Second, time.Millisecond
	require.True(t, state(false, nil)())
	_, err = io.WriteString(near, "a")
	require.NoError(t, err)
	require.Eventually(t, state(true, nil), waitTimeout, poll)
	b := make([]byte, 1)
	_, err = io.ReadFull(far, b)
	require.NoError(t, err)
	require.Equal(t, "a", string(b))
	read := make(chan error)
	go func() { // HasUnread also works while another goroutine is reading
		_, err := far.Read(b)
		read <- err
	}()
	require.True(t, state(false, nil)())
	require.NoError(t, near.Close())
	require.Eventually(t, state(false, io.EOF), waitTimeout, poll)
	require.ErrorIs(t, <-read, io.EOF)
	require.NoError(t, far.Close())
	_, err = peek.HasUnread(far)
	require.ErrorIs(t, err, net.ErrClosed)
	one, _ := net.Pipe()
	_, err = peek.HasUnread(one)
	require.Error(t, err)
}

// IsClosed tells a reset from the end of one direction.
func TestIsClosed(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close() //nolint:errcheck // a test's listener
	near, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer near.Close() //nolint:errcheck // a test's connection
	c, err := l.Accept()
	require.NoError(t, err)
	far := c.(*net.TCPConn)
	requireClosed := func(want bool) {
		closed, err := peek.IsClosed(near)
		require.NoError(t, err)
		require.Equal(t, want, closed)
	}
	requireClosed(false)
	require.NoError(t, far.CloseWrite())
	_, err = near.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	requireClosed(false)
	require.NoError(t, far.SetLinger(0))
	require.NoError(t, far.Close())
	_, _ = near.Write([]byte("a")) // may fail already
	require.Eventually(t, func() bool {
		closed, err := peek.IsClosed(near)
		return err == nil && closed
	}, 30*time.Second, time.Millisecond)
	one, _ := net.Pipe()
	_, err = peek.IsClosed(one)
	require.Error(t, err)
}

// Guards against taking an expired read deadline for a connection without bytes.
func TestReadAfterTheReadDeadline(t *testing.T) {
	t.Parallel()
	near, far := pair(t)
	require.NoError(t, far.SetReadDeadline(time.Unix(1, 0)))
	b := make([]byte, 8)
	n, err := peek.Read(far, b)
	require.NoError(t, err)
	require.Zero(t, n)
	_, err = io.WriteString(near, "abc")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		waits, err := peek.HasUnread(far)
		return waits && err == nil
	}, 30*time.Second, time.Millisecond)
	_, err = far.Read(b)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	n, err = peek.Read(far, b)
	require.NoError(t, err)
	require.Equal(t, "abc", string(b[:n]))
	require.NoError(t, near.Close())
	require.Eventually(t, func() bool {
		n, err := peek.Read(far, b)
		return n == 0 && err == io.EOF
	}, 30*time.Second, time.Millisecond)
	one, _ := net.Pipe()
	_, err = peek.Read(one, b)
	require.Error(t, err)
}

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close() //nolint:errcheck // a test's listener
	near, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	far, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = near.Close() // may be closed already
		_ = far.Close()
	})
	return near, far
}

// HasUnaccepted tells a listener with connections to accept from one without.
func TestHasUnaccepted(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	waits, err := peek.HasUnaccepted(l)
	require.NoError(t, err)
	require.False(t, waits)
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close() //nolint:errcheck // a test's connection
	require.Eventually(t, func() bool {
		waits, err := peek.HasUnaccepted(l)
		return waits && err == nil
	}, 30*time.Second, time.Millisecond)
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close() //nolint:errcheck // a test's connection
	waits, err = peek.HasUnaccepted(l)
	require.NoError(t, err)
	require.False(t, waits)
	require.NoError(t, l.Close())
	_, err = peek.HasUnaccepted(l)
	require.Error(t, err)
}
