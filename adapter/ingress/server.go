// Package ingress serves callers over HTTP/1.1 and ends their connections
// without losing a request: one that rests is closed only while no request is
// being read from it.
package ingress

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// The bounds of the head of a request.
const (
	headerBytes = 16 << 10
	headerWait  = 10 * time.Second
)

// sweepEvery is how often resting connections are looked through.
const sweepEvery = 500 * time.Millisecond

// Server is one server. Set the exported fields before Listen.
type Server struct {
	Address string
	Handler http.Handler
	// Idle returns how long a connection may rest, 0 for no bound.
	Idle func() time.Duration
	// ErrorLog takes the lines of the HTTP server.
	ErrorLog *log.Logger

	listener net.Listener
	stopping atomic.Bool
	mu       sync.Mutex
	// conns are the open connections; guarded by mu.
	conns map[net.Conn]*tenure
}

// The states of a connection.
const (
	resting int32 = iota
	serving
	closed
)

// tenure is the state of one connection. It is only closed while it rests, and
// serves only what came before it was closed.
type tenure struct {
	state atomic.Int32
	// since is when it began to rest, in nanoseconds of Unix time.
	since atomic.Int64
}

// close closes the connection if it rests.
func (t *tenure) close(c net.Conn) {
	if t.state.CompareAndSwap(resting, closed) {
		_ = c.Close()
	}
}

// tenureKey is the key of a connection's tenure in a request's context.
type tenureKey struct{}

// Listen begins to listen and serves in the background. A failure of the server
// is sent to failed.
func (s *Server) Listen(failed chan<- error) error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s.listener = listener
	s.conns = make(map[net.Conn]*tenure)
	server := &http.Server{
		Handler: http.HandlerFunc(s.serve), MaxHeaderBytes: headerBytes, ReadHeaderTimeout: headerWait,
		ErrorLog: s.ErrorLog, DisableGeneralOptionsHandler: true, ConnContext: s.connected, ConnState: s.changed,
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, net.ErrClosed) {
			failed <- trace.Wrap(err)
		}
	}()
	return nil
}

// connected begins the tenure of a connection.
func (s *Server) connected(ctx context.Context, c net.Conn) context.Context {
	t := new(tenure)
	t.since.Store(time.Now().UnixNano())
	s.mu.Lock()
	s.conns[c] = t
	s.mu.Unlock()
	return context.WithValue(ctx, tenureKey{}, t)
}

// changed ends the tenure of a connection that is closed, and closes one that
// comes to rest while the server stops: its answer may have begun too early to
// say so.
func (s *Server) changed(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	case http.StateIdle:
		if t := s.conns[c]; t != nil && s.stopping.Load() {
			t.close(c)
		}
	}
}

// serve serves a request, unless its connection was closed before it had been
// read: then nothing of it is passed on.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	t, ok := r.Context().Value(tenureKey{}).(*tenure)
	if !ok || !t.state.CompareAndSwap(resting, serving) {
		panic(http.ErrAbortHandler)
	}
	defer func() {
		t.since.Store(time.Now().UnixNano())
		t.state.Store(resting)
	}()
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	s.Handler.ServeHTTP(w, r)
}

// Run closes connections that rest longer than they may, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if bound := s.Idle(); bound > 0 {
				s.closeResting(now.Add(-bound))
			}
		}
	}
}

// Retire ends each connection with its next answer.
func (s *Server) Retire() {
	s.stopping.Store(true)
}

// Stop takes no more connections and closes those that rest.
func (s *Server) Stop() {
	s.stopping.Store(true)
	_ = s.listener.Close() // only a second call fails
	s.closeResting(time.Now())
}

// closeResting closes the connections that have rested since a time or longer.
func (s *Server) closeResting(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, t := range s.conns {
		if t.since.Load() <= since.UnixNano() {
			t.close(c)
		}
	}
}
