package peek_test

import (
	"io"
	"net"
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
