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

	"github.com/grademill/grademill/adapter/peek"
)

// The bounds of the head of a request whatever the limits in force say.
const (
	headBytes = 64 << 10
	headWait  = 30 * time.Second
)

// Limits bound what callers may do. A zero field is no bound.
type Limits struct {
	// Idle is how long a connection may rest between requests.
	Idle time.Duration
	// HeadBytes is the size of the head of a request, HeadWait how long it may take.
	HeadBytes int
	HeadWait  time.Duration
}

// sweepEvery is how often resting connections are looked through.
const sweepEvery = 500 * time.Millisecond

// Server is one server. Set the exported fields before Listen.
type Server struct {
	Address string
	Handler http.Handler
	// Limits returns those in force; nil for none.
	Limits func() Limits
	// ErrorLog takes the lines of the HTTP server.
	ErrorLog *log.Logger

	listener net.Listener
	stopping atomic.Bool
	mu       sync.Mutex
	// conns are the open connections; guarded by mu.
	conns map[*conn]bool
}

// connKey is the key of a connection in a request's context.
type connKey struct{}

// Left reports whether the caller of the request with a context has closed its connection. The
// context of a request ends with that, too, but not before the process has had time to read the
// end; a request that had lain unread may have none left to serve it for.
func Left(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	_, err := peek.Pending(c.Conn)
	return err != nil
}

// Listen begins to listen and serves in the background. A failure of the server
// is sent to failed.
func (s *Server) Listen(failed chan<- error) error {
	raw, err := net.Listen("tcp", s.Address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s.listener = listener{raw}
	s.conns = make(map[*conn]bool)
	server := &http.Server{
		Handler: http.HandlerFunc(s.serve), MaxHeaderBytes: headBytes, ReadHeaderTimeout: headWait,
		ErrorLog: s.ErrorLog, DisableGeneralOptionsHandler: true, ConnContext: s.connected, ConnState: s.changed,
	}
	go func() {
		if err := server.Serve(s.listener); !errors.Is(err, net.ErrClosed) {
			failed <- trace.Wrap(err)
		}
	}()
	return nil
}

// connected notes a new connection.
func (s *Server) connected(ctx context.Context, raw net.Conn) context.Context {
	c, ok := raw.(*conn)
	if !ok {
		return ctx
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
	return context.WithValue(ctx, connKey{}, c)
}

// changed forgets a connection that is closed, and closes one that comes to rest
// while the server stops: its answer may have begun too early to say so.
func (s *Server) changed(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	case http.StateIdle:
		if s.stopping.Load() {
			c.closeResting(time.Now())
		}
	}
}

// serve serves a request, unless its connection was closed before it had been
// read: then nothing of it is passed on.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || !c.state.CompareAndSwap(resting, serving) {
		panic(http.ErrAbortHandler)
	}
	defer c.rest()
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if most := s.limits().HeadBytes; most > 0 && c.headSize() > most {
		w.Header().Set("Connection", "close")
		http.Error(w, "the head of the request is too long", http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	if len(r.TransferEncoding) > 0 && c.ambiguous() {
		w.Header().Set("Connection", "close")
		http.Error(w, "the request has a length beside its chunks", http.StatusBadRequest)
		return
	}
	s.Handler.ServeHTTP(w, r)
}

// Run closes connections that rest longer than they may, or take too long over a
// head, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.sweep(s.limits(), now)
		}
	}
}

// Retire ends each connection with its next answer.
func (s *Server) Retire() {
	s.stopping.Store(true)
}

// Quiet reports whether no request is being served, or lies unread, at any connection.
func (s *Server) Quiet() bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if state := c.state.Load(); state == serving || state == resting && c.unread(now) {
			return false
		}
	}
	return true
}

// Stop takes no more connections and closes those that rest.
func (s *Server) Stop() {
	s.stopping.Store(true)
	_ = s.listener.Close() // only a second call fails
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeResting(now)
	}
}

// sweep closes the connections that rest longer than they may at now, and those whose head
// takes too long.
func (s *Server) sweep(limits Limits, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		switch {
		case !c.overdue(limits, now):
		case c.begun.Load() != 0:
			c.end()
		default:
			c.closeResting(now)
		}
	}
}

// limits returns the limits in force.
func (s *Server) limits() Limits {
	if s.Limits == nil {
		return Limits{}
	}
	return s.Limits()
}
