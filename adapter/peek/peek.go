// Package peek looks at a connection without taking anything from it.
package peek

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// errOpaque is a connection that has no socket to look at.
var errOpaque = errors.New("the connection has no socket")

// Pending reports whether bytes that nobody has read wait at a connection. The error is io.EOF
// when the other side has closed it and none wait. Another goroutine may read meanwhile.
func Pending(c net.Conn) (bool, error) {
	source, ok := c.(syscall.Conn)
	if !ok {
		return false, errOpaque
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false, err
	}
	var b [1]byte
	n := 0
	var found error
	err = raw.Control(func(fd uintptr) {
		n, _, found = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return false, err
	case errors.Is(found, syscall.EAGAIN):
		return false, nil
	case found != nil:
		return false, found
	case n == 0:
		return false, io.EOF
	}
	return true, nil
}
