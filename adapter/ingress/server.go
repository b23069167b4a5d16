// Package ingress is the HTTP/1.1 server for callers; it closes their connections without
// losing a request. It closes an idle connection only if no part of a request has arrived on
// it, and only the goroutine that reads a connection closes it.
//
// Set the exported fields of a Server, then call Listen and Run. To shut down, call
// CloseAfterResponses and Stop, and wait until Idle reports true.
package ingress

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/grademill/grademill/adapter/peek"
	"github.com/grademill/grademill/decide/connection"
	"github.com/grademill/grademill/state/memory"
)

// Fixed limits on the head of a request; Limits can only be stricter.
const (
	headBytes = 64 << 10
	headWait  = 30 * time.Second
)

// Limits are the limits on callers' connections. A zero field means no limit.
type Limits struct {
	// MaxIdle is the maximum time that a connection may be idle between requests.
	MaxIdle time.Duration
	// MaxHeaderBytes is the maximum size of a request head, ReadHeaderTimeout the maximum
	// time to read it.
	MaxHeaderBytes    int
	ReadHeaderTimeout time.Duration
	// Retire is set if callers should open new connections: MaxIdle holds for all that are idle. Otherwise a limit that
	// becomes shorter holds for the waits that begin later, as callers may rely on the one that was in force.
	Retire bool
}

// waits returns the limits on waiting for callers.
func (l Limits) waits() connection.Limits {
	return connection.Limits{Idle: l.MaxIdle, Head: l.ReadHeaderTimeout, Retire: l.Retire}
}

const (
	// limitsInterval is how often the limits are checked for changes.
	limitsInterval = 250 * time.Millisecond
	// promisedShare is the share of the idle limit for which callers are told that they may use a connection again:
	// the response takes time to reach them, as does the next request.
	promisedShare = 0.8
)

// Server serves callers on one address. Set the exported fields before Listen.
type Server struct {
	Address string
	Handler http.Handler
	// Limits returns the limits in force; nil for no limits.
	Limits func() Limits
	// Memory counts what the server holds for callers, nil for no bound.
	Memory *memory.Budget
	// Unanswered, if set, is called for each connection that is closed without a whole response to a
	// request on it. It must not block.
	Unanswered func(Unanswered)
	// ErrorLog receives the log output of net/http.
	ErrorLog *log.Logger

	listener *listener
	stopping atomic.Bool
	// waits are the limits on waiting that were in force at the last check.
	waits atomic.Pointer[connection.Limits]
	mu    sync.Mutex
	// conns holds the open connections, stopped is set once the server has stopped; guarded by mu.
	conns   map[*conn]bool
	stopped bool
}

// connKey is the context key of a request's connection.
type connKey struct{}

// CallerDisconnected reports whether the caller of the request with the given context has
// closed its connection. The request's context is also cancelled then, but only once the
// process has had time to read the end of the stream; a request that was left unread for long
// may no longer have a caller.
func CallerDisconnected(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	_, err := peek.HasUnread(c.Conn)
	return err != nil
}

// Share returns the share of the caller of the request with the given context, nil if nothing is counted.
func Share(ctx context.Context) *memory.Share {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.share
	}
	return nil
}

// Listen opens the listener and serves in the background. It sends a later server failure to
// failed.
func (s *Server) Listen(failed chan<- error) error {
	raw, err := net.Listen("tcp", s.Address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s.serveOn(raw, failed)
	return nil
}

// serveOn serves the connections of a listener in the background.
func (s *Server) serveOn(raw net.Listener, failed chan<- error) {
	s.listener = &listener{Listener: raw, server: s}
	s.conns = make(map[*conn]bool)
	waits := s.limits().waits()
	s.waits.Store(&waits)
	server := &http.Server{
		Handler: http.HandlerFunc(s.serve), MaxHeaderBytes: headBytes, ReadHeaderTimeout: headWait,
		ErrorLog: s.ErrorLog, DisableGeneralOptionsHandler: true, ConnContext: connected, ConnState: s.stateChanged,
	}
	go func() {
		err := server.Serve(s.listener)
		s.listener.closed.Store(true)
		if !errors.Is(err, net.ErrClosed) {
			failed <- trace.Wrap(err)
		}
	}()
}

// connected adds a connection to the context of its requests; it is the server's ConnContext hook.
func connected(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// stateChanged is the server's ConnState hook: it removes closed connections. One that becomes
// idle while the server is stopping is to be closed, since its response may have started too
// early to carry Connection: close.
func (s *Server) stateChanged(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		c.reportEnd()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	case http.StateIdle:
		c.answered(s.stopping.Load())
	}
}

// serve handles one request. The handler's response is written only after serve has
// returned. Unless the body has been read to its end, net/http reads the rest first.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	maxIdle := c.begin(r)
	defer c.handled()
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	} else if seconds := int(maxIdle.Seconds() * promisedShare); seconds > 0 {
		w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
	}
	if maxHead := s.limits().MaxHeaderBytes; maxHead > 0 && c.headSize() > maxHead {
		w.Header().Set("Connection", "close")
		http.Error(w, "the head of the request is too long", http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	if len(r.TransferEncoding) > 0 && c.ambiguousLength() {
		w.Header().Set("Connection", "close")
		http.Error(w, "the request has a length beside its chunks", http.StatusBadRequest)
		return
	}
	c.aborted.Store(true) // until the handler has returned
	s.Handler.ServeHTTP(w, r)
	c.aborted.Store(false)
}

// Run puts changed limits on waiting in force until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(limitsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if waits := s.limits().waits(); waits != *s.waits.Load() {
				s.waits.Store(&waits)
				s.each((*conn).rearm)
			}
		}
	}
}

// CloseAfterResponses makes each connection close after its next response.
func (s *Server) CloseAfterResponses() {
	s.stopping.Store(true)
}

// Idle reports whether no connection is open, and none can be opened if the server has stopped.
func (s *Server) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0 && (!s.stopped || s.listener.closed.Load())
}

// Stop closes the listener and the idle connections. Both happen soon after it has returned.
func (s *Server) Stop() {
	s.stopping.Store(true)
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.listener.stop()
	s.each((*conn).stop)
}

// ReportCut reports the connections on which a request has no whole response. It is for a process that ends before
// Idle reports true.
func (s *Server) ReportCut() {
	s.each((*conn).reportCut)
}

// each calls do with each open connection.
func (s *Server) each(do func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		do(c)
	}
}

func (s *Server) limits() Limits {
	if s.Limits == nil {
		return Limits{}
	}
	return s.Limits()
}
