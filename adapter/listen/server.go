// Package listen accepts connections from peers. Step and control connections share one
// address; the first byte of a connection tells them apart. Set the fields of a Server and run
// it with Start.
package listen

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/grademill/grademill/adapter/frame"
	"github.com/grademill/grademill/adapter/link"
	"github.com/grademill/grademill/adapter/rpc"
	"github.com/grademill/grademill/wire"
)

// helloTimeout is the maximum time until a new connection has sent its first byte and, for
// steps, its hello.
const helloTimeout = 5 * time.Second

// Server accepts connections from peers. Set the exported fields before Start. It implements
// the kratos transport.Server interface.
type Server struct {
	// Address is the TCP address to listen on.
	Address string
	// Batch is called with each frame of a step connection, in order.
	Batch func(*wire.Batch)
	// Calls holds the methods served on control connections.
	Calls rpc.Methods
	// Log receives a line for each refused connection.
	Log zerolog.Logger

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	closed   bool
}

// Listen opens the listener. Start does so if Listen has not been called before.
func (s *Server) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return trace.Wrap(err, "listen for peers")
	}
	s.listener = listener
	s.conns = make(map[net.Conn]struct{})
	return nil
}

// Start accepts connections until Stop is called.
func (s *Server) Start(ctx context.Context) error {
	if err := s.Listen(); err != nil {
		return err
	}
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return trace.Wrap(err, "accept a peer")
		}
		if !s.add(conn) {
			_ = conn.Close()
			continue
		}
		go s.serve(ctx, conn)
	}
}

// Stop closes the listener and all connections.
func (s *Server) Stop(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
	return nil
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// serve reads the first byte and serves the connection with the protocol that it names.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer s.remove(conn)
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	var first [1]byte
	if _, err := io.ReadFull(conn, first[:]); err != nil {
		return
	}
	var err error
	switch first[0] {
	case link.Protocol:
		err = s.steps(conn)
	case rpc.Protocol:
		_ = conn.SetReadDeadline(time.Time{})
		err = rpc.Serve(ctx, conn, s.Calls)
	default:
		err = &frame.VersionError{Peer: uint32(first[0])}
	}
	if err != nil {
		s.Log.Warn().Err(err).Stringer("peer", conn.RemoteAddr()).Msg("peer connection refused")
	}
}

// steps reads frames until the connection ends.
func (s *Server) steps(conn net.Conn) error {
	codec := frame.Codec{Stream: conn}
	hello, err := codec.Read()
	if err != nil {
		return trace.Wrap(err, "read hello")
	}
	if err := frame.CheckHello(hello); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Time{})
	for {
		batch, err := codec.Read()
		if err != nil {
			return badFrame(err)
		}
		s.Batch(batch)
	}
}

// badFrame returns err if the peer violated the protocol, and nil if the connection merely
// ended.
func badFrame(err error) error {
	var malformed *frame.MalformedError
	var large *frame.TooLargeError
	if errors.As(err, &large) || errors.As(err, &malformed) {
		return err
	}
	return nil
}
