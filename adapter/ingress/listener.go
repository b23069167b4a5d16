package ingress

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/adapter/peek"
	"github.com/grademill/grademill/decide/connection"
)

// acceptWait bounds the wait for a connection that is known to be there.
const acceptWait = time.Second

// listener accepts callers' connections. A connection that is there when the listener stops is accepted: it may have
// a whole request already.
type listener struct {
	net.Listener
	server *Server
	// stopping is set when no further connection is to be accepted, closed once net/http has closed the listener.
	stopping, closed atomic.Bool
}

// Accept implements net.Listener. It returns net.ErrClosed once the listener is to stop and no connection is there.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.stopping.Load() {
			if waits, err := peek.HasUnaccepted(l.Listener); err != nil || !waits {
				return nil, net.ErrClosed
			}
			if err := l.setDeadline(time.Now().Add(acceptWait)); err != nil {
				return nil, err
			}
		}
		raw, err := l.Listener.Accept()
		switch {
		case err == nil:
			if c := l.server.accepted(raw); c != nil {
				return c, nil
			}
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		}
	}
}

// stop has Accept return the connections that are there, and then net.ErrClosed.
func (l *listener) stop() {
	l.stopping.Store(true)
	_ = l.setDeadline(time.Unix(1, 0)) // fails only once the listener is closed
}

// setDeadline bounds the wait for a connection.
func (l *listener) setDeadline(t time.Time) error {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return nil
	}
	return d.SetDeadline(t)
}

// accepted registers a new connection. It closes it, and returns nil, if there is no memory or descriptor for it: its
// caller can send its request elsewhere, since nothing of it has been read.
func (s *Server) accepted(raw net.Conn) *conn {
	c := &conn{Conn: raw, limits: &s.waits, onUnanswered: s.Unanswered}
	c.state = connection.Accepted(time.Now(), *s.waits.Load())
	if s.Memory != nil {
		if c.share = s.Memory.Open(connBytes, c.evict); c.share == nil {
			_ = raw.Close() // an error changes nothing for the caller
			c.report(CloseNoRoom, nil)
			return nil
		}
		if tcp, ok := raw.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(unreadBytes) // the system may hold more
		}
	}
	c.rearm()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	if s.stopped {
		c.stop()
	}
	return c
}
