// Package peek checks a connection for pending data without reading it.
package peek

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// errNoSocket reports a connection without a socket, which cannot be checked.
var errNoSocket = errors.New("connection has no socket")

// HasUnread reports whether a connection has bytes that have not been read. It returns io.EOF
// if the other side has closed the connection and no bytes are left. Another goroutine may
// read at the same time.
func HasUnread(c net.Conn) (bool, error) {
	source, ok := c.(syscall.Conn)
	if !ok {
		return false, errNoSocket
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false, err
	}
	var b [1]byte
	n := 0
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		n, _, recvErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return false, err
	case errors.Is(recvErr, syscall.EAGAIN):
		return false, nil
	case recvErr != nil:
		return false, recvErr
	case n == 0:
		return false, io.EOF
	}
	return true, nil
}
