// Package peek looks at what a connection or a listener has received, without waiting for more.
package peek

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// errNoSocket reports a connection without a socket, which cannot be checked.
var errNoSocket = errors.New("connection has no socket")

// HasUnread reports whether a connection has bytes that have not been read. It returns io.EOF
// if the other side has closed the connection and no bytes are left. Another goroutine may
// read at the same time.
func HasUnread(c net.Conn) (bool, error) {
	var b [1]byte
	n, err := receive(c, b[:], syscall.MSG_PEEK)
	return n > 0, err
}

// Read reads the bytes that a connection has received, also after its read deadline. It returns 0 and no error if
// there are none, and io.EOF as HasUnread does. b must not be empty.
func Read(c net.Conn, b []byte) (int, error) {
	return receive(c, b, 0)
}

// receive calls recv without waiting.
func receive(c net.Conn, b []byte, flags int) (n int, err error) {
	var recvErr error
	err = control(c, func(fd int) {
		n, _, recvErr = syscall.Recvfrom(fd, b, flags|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(recvErr, syscall.EAGAIN) || errors.Is(recvErr, syscall.EINTR):
		return 0, nil
	case recvErr != nil:
		return 0, recvErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// tcpClose is the state TCP_CLOSE of a TCP socket.
const tcpClose = 7

// IsClosed reports whether a TCP connection is closed in both directions: the other side has reset it. If the other side
// has merely ended its own direction, it is not.
func IsClosed(c net.Conn) (bool, error) {
	var info *unix.TCPInfo
	var infoErr error
	err := control(c, func(fd int) {
		info, infoErr = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return false, err
	}
	if infoErr != nil {
		return false, infoErr
	}
	return info.State == tcpClose, nil
}

// HasUnaccepted reports whether a listener has connections that have not been accepted.
func HasUnaccepted(l net.Listener) (bool, error) {
	var n int
	var pollErr error
	err := control(l, func(fd int) {
		n, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return n > 0, errors.Join(err, pollErr)
}

// control calls use with the descriptor of a connection or a listener.
func control(source any, use func(fd int)) error {
	s, ok := source.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { use(int(fd)) })
}
