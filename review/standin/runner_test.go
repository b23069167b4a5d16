//go:build review

package standin_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/grademill/grademill/standin/site"
)

// runnerSlots is the number of requests that a runner works on at once; further ones wait.
const runnerSlots = 6

// run is a request that a runner has begun to work on.
type run struct {
	id, tenant string
	at         time.Time
}

// runner is a runner of the plain service. Set the exported fields before start.
type runner struct {
	// ID is the runner's ID, Work how long it works on a request.
	ID   string
	Work time.Duration

	w        *world
	listener net.Listener
	slots    chan struct{}
	// dark is set once the runner has lost power: it answers nothing, and takes no new connection.
	dark atomic.Bool

	mu   sync.Mutex // guards what follows
	runs []run
}

// start serves the runner and writes its entry to the store.
func (r *runner) start(w *world) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.w, r.listener, r.slots = w, listener, make(chan struct{}, runnerSlots)
	go http.Serve(acceptor{r}, r) //nolint:errcheck // ends with the process
	w.store.Set("servers/"+r.ID, site.Record{
		Service: service, Addr: listener.Addr().String(), Zone: "rosehill", Slots: runnerSlots, State: "ready",
		Born: time.Now().UnixMilli(), Version: "v1", Seq: 1,
	})
	w.note("runner %s at %s is ready", r.ID, listener.Addr())
	return nil
}

// acceptor accepts the connections of a runner until it is dark.
type acceptor struct{ r *runner }

// Accept returns the next connection; a dark runner has none.
func (a acceptor) Accept() (net.Conn, error) {
	c, err := a.r.listener.Accept()
	if err == nil && a.r.dark.Load() {
		select {} // keeps the connection and says nothing
	}
	return c, err
}

// Close closes the listener.
func (a acceptor) Close() error { return a.r.listener.Close() }

// Addr returns the address of the runner.
func (a acceptor) Addr() net.Addr { return a.r.listener.Addr() }

// ServeHTTP runs a request and answers it.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("X-Request-Id")
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.ID || id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.slots <- struct{}{}
	defer func() { <-r.slots }()
	r.silent()
	began := run{id: id, tenant: q.Header.Get("X-Tenant"), at: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, began)
	r.mu.Unlock()
	r.w.note("runner %s runs %s for tenant %q", r.ID, id, began.tenant)
	time.Sleep(r.Work)
	r.silent()
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Seal", "seal."+r.ID)
	h.Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "done: %s", body) // the caller may have left
}

// silent never returns once the runner is dark.
func (r *runner) silent() {
	if r.dark.Load() {
		select {}
	}
}

// ran returns the requests that the runner has begun to work on.
func (r *runner) ran() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// Bounds of filling the queue of new connections.
const (
	// fillers is the largest number of connections that fill the queue of a listener with a backlog of 0.
	fillers = 16
	// unanswered is how long an opening packet stays unanswered when the queue is full.
	unanswered = 300 * time.Millisecond
)

// losePower makes the runner say nothing more: open connections stay silent, and the opening packets of new ones get no
// answer. For the latter the queue of new connections is made short, and filled.
func (r *runner) losePower() error {
	r.dark.Store(true)
	raw, err := r.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		return fmt.Errorf("backlog: %v, %v", err, listenErr)
	}
	for range fillers {
		if _, err := net.DialTimeout("tcp", r.listener.Addr().String(), unanswered); err != nil {
			if strings.Contains(err.Error(), "timeout") {
				r.w.note("runner %s is dark", r.ID)
				return nil
			}
			return err
		}
	}
	return fmt.Errorf("runner %s still takes connections", r.ID)
}
