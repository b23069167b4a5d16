package responseconn_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/responseconn"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (*responseconn.Conn, *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close() //nolint:errcheck // a test's listener
	near, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	far, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = near.Close() // may be closed already
		_ = far.Close()
	})
	return &responseconn.Conn{Conn: near}, far.(*net.TCPConn)
}

// write writes until the connection fails, and returns the error.
func write(c net.Conn) <-chan error {
	failed := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		failed <- err
	}()
	return failed
}

// The end of a connection is no end of an answer if the peer has reset it, however late it is read.
func TestEndAfterAFailedWrite(t *testing.T) {
	near, far := pair(t)
	failed := write(near)
	_, err := io.WriteString(far, "part")
	require.NoError(t, err)
	require.NoError(t, far.SetLinger(0))
	require.NoError(t, far.Close())
	writeErr := <-failed
	require.Error(t, writeErr)
	got, err := io.ReadAll(near)
	require.Equal(t, "part", string(got))
	var unsent *responseconn.UnsentError
	require.ErrorAs(t, err, &unsent)
	require.ErrorIs(t, err, writeErr)
}

// heldUp is a connection whose writer is held up once a write has failed, as by a lack of processor time.
type heldUp struct {
	*net.TCPConn
	failed, release chan struct{}
}

func (c *heldUp) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		close(c.failed)
		<-c.release
	}
	return n, err
}

// Guards against a part of an answer that looks whole because the writer that saw the reset gets no processor time for as
// long as the end waits for it.
func TestEndWhileTheWriterIsHeldUp(t *testing.T) {
	near, far := pair(t)
	c := &heldUp{TCPConn: near.Conn.(*net.TCPConn), failed: make(chan struct{}), release: make(chan struct{})}
	defer close(c.release)
	near.Conn = c
	write(near)
	_, err := io.WriteString(far, "part")
	require.NoError(t, err)
	require.NoError(t, far.SetLinger(0))
	require.NoError(t, far.Close())
	<-c.failed
	got, err := io.ReadAll(near)
	require.Error(t, err, "%q was taken for the whole answer", got)
}

// An end that is read while a write goes on is decided by the write, and its wait by the deadline of the read.
func TestEndDuringAWrite(t *testing.T) {
	near, far := pair(t)
	failed := write(near)
	_, err := far.Read(make([]byte, 1)) // the write has begun
	require.NoError(t, err)
	require.NoError(t, far.CloseWrite())
	require.NoError(t, near.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = io.ReadAll(near)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, near.SetReadDeadline(time.Time{}))
	require.NoError(t, far.SetLinger(0))
	time.AfterFunc(10*time.Millisecond, func() { _ = far.Close() })
	_, err = io.ReadAll(near)
	require.ErrorIs(t, err, <-failed)
}

// An end that is read before a request is written is decided by its writes.
func TestEndBeforeAWrite(t *testing.T) {
	near, far := pair(t)
	near.BeginRequest()
	require.NoError(t, far.Close())
	require.NoError(t, near.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := io.ReadAll(near)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, near.SetReadDeadline(time.Time{}))
	failed := write(near)
	_, err = io.ReadAll(near)
	require.ErrorIs(t, err, <-failed)
}

// The end of a connection whose writes are done is an end.
func TestEndAfterTheWrites(t *testing.T) {
	near, far := pair(t)
	near.BeginRequest()
	_, err := io.WriteString(near, "request")
	require.NoError(t, err)
	near.EndRequest()
	_, err = io.WriteString(far, "whole")
	require.NoError(t, err)
	require.NoError(t, far.CloseWrite())
	got, err := io.ReadAll(near)
	require.NoError(t, err)
	require.Equal(t, "whole", string(got))
}
