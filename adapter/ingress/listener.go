package ingress

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/decide/connection"
)

// listener registers the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
	// closed is set once no further connection is accepted.
	closed atomic.Bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.server.accepted(raw), nil
}

// accepted registers a new connection.
func (s *Server) accepted(raw net.Conn) *conn {
	c := &conn{Conn: raw, limits: &s.waits, onUnanswered: s.Unanswered}
	c.state = connection.Accepted(time.Now(), *s.waits.Load())
	c.rearm()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	if s.stopped {
		c.stop()
	}
	return c
}
