package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// StallTimeout is how long a stream waits for a dead endpoint before its connection is aborted.
const StallTimeout = 3 * time.Second

// Event returns the text of the n-th event of a stream.
func Event(n int) string {
	return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
}

// events returns the number of events that a request asks for: the second number
// in its X-Token-Usage header.
func events(r *http.Request) int {
	_, most, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	n, err := strconv.Atoi(most)
	if err != nil {
		return 0
	}
	return n
}

// stream answers a request for a model with a stream of events, along the chain
// that the request names.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, body []byte, mode Mode) {
	id := r.Header.Get("X-Request-Id")
	chain, err := parseChain(r.Header.Get("Path"))
	if err != nil || chain[0].address != e.Address() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.Site.check(id, chain)
	if blamed, status := e.Site.firstUnavailable(chain); status != 0 {
		w.Header().Set("At-Server", blamed)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	e.recordRun(r)
	e.Site.crashIfMarked(e, r, body)
	e.setBody(id, string(body))
	e.setRunning(id, chain)
	defer e.setRunning(id, nil)
	if mode == Vanish {
		e.Silence()
	}
	if mode == Drop || mode == Vanish {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Response-Seal", "seal."+e.ID)
	h.Set("Content-Type", "text/event-stream")
	if mode == Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	last := events(r)
	for n := after + 1; n <= last; n++ {
		if !e.wait(r, id) {
			if e.isDead() || e.stalledAt(id) != "" {
				e.recordBreak(r)
			}
			e.countDisconnect()
			panic(http.ErrAbortHandler)
		}
		text := Event(n)
		if mode == Cut && n == after+2 { // inside the second event
			_, _ = w.Write([]byte(text[:len(text)/2]))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if mode == UnframedCut && n == after+2 {
			_, _ = w.Write([]byte(text[:len(text)/2]))
			return
		}
		if mode == UnframedReset && n == after+3 {
			return
		}
		if mode == Hang && n == after+2 {
			<-r.Context().Done()
			e.countDisconnect()
			return
		}
		_, _ = w.Write([]byte(text))
		_ = http.NewResponseController(w).Flush()
	}
}

// wait waits until the next event is due and every stage of the chain is alive.
// It returns false if the caller has closed the connection or the stream has
// stalled for longer than StallTimeout.
func (e *Endpoint) wait(r *http.Request, id string) bool {
	const poll = 5 * time.Millisecond
	stalled := time.Duration(0)
	time.Sleep(e.EventInterval)
	for r.Context().Err() == nil {
		if e.isDead() {
			<-r.Context().Done()
			break
		}
		if e.stalledAt(id) == "" {
			e.awaitChain(r.Context(), id)
			e.recordStall(id, false)
			return true
		}
		e.recordStall(id, true)
		time.Sleep(poll)
		if stalled += poll; stalled > StallTimeout {
			return false
		}
	}
	return false
}

// awaitChain waits until no stage of a stream's chain is paused.
func (e *Endpoint) awaitChain(ctx context.Context, id string) {
	e.mu.Lock()
	chain := e.running[id]
	e.mu.Unlock()
	for _, p := range chain {
		if stage := e.Site.endpointAt(p.address); stage != nil {
			stage.awaitResume(ctx)
		}
	}
}

// stalledAt returns the address of a dead stage of a stream's chain, or "" if all
// are alive. A stage whose endpoint has restarted since the stream began is dead.
func (e *Endpoint) stalledAt(id string) string {
	e.mu.Lock()
	chain := e.running[id]
	e.mu.Unlock()
	for _, p := range chain {
		if p.address == e.Address() {
			continue
		}
		if other := e.Site.endpointAt(p.address); other == nil || other.isDead() || other.StartedAt() != p.born {
			return p.address
		}
	}
	return ""
}

// recordStall records since when a stream has stalled, or that it no longer does.
func (e *Endpoint) recordStall(id string, isStalled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stalled == nil {
		e.stalled = make(map[string]time.Time)
	}
	if !isStalled {
		delete(e.stalled, id)
	} else if e.stalled[id].IsZero() {
		e.stalled[id] = time.Now()
	}
}

// reportsStall reports whether a stream has stalled for at least ReportLag, so that reports show it.
func (e *Endpoint) reportsStall(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	since, isStalled := e.stalled[id]
	return e.ReportLag == 0 || isStalled && time.Since(since) >= e.ReportLag
}

func (e *Endpoint) setBody(id, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bodies == nil {
		e.bodies = make(map[string]string)
	}
	e.bodies[id] = body
}

func (e *Endpoint) setRunning(id string, chain []stage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		e.running = make(map[string][]stage)
	}
	if chain == nil {
		delete(e.running, id)
		return
	}
	for i, p := range chain {
		if other := e.Site.endpointAt(p.address); other != nil && other != e {
			chain[i].born = other.StartedAt()
		}
	}
	e.running[id] = chain
}

// report answers a request for the endpoint's state.
func (e *Endpoint) report(w http.ResponseWriter) {
	e.mu.Lock()
	var ids []string
	for id := range e.running {
		ids = append(ids, id)
	}
	doc := map[string]any{
		"busy_slots": false, "seq": e.orders, "active": len(ids), "pace": 1,
		"layers": map[string]int{"from": e.layers[0], "to_version": e.layers[1], "version": 1},
	}
	if e.Started != 0 {
		doc["born"] = e.Started
	}
	e.mu.Unlock()
	var stalled []map[string]string
	for _, id := range ids {
		if address := e.stalledAt(id); address != "" && e.reportsStall(id) {
			stalled = append(stalled, map[string]string{"id": id, "addr": address})
		}
	}
	doc["stalled"] = stalled
	_ = json.NewEncoder(w).Encode(doc) // the caller may have closed the connection
}

// orderDoc is the body of an order from the leader.
type orderDoc struct {
	Op    string  `json:"op"`
	Fence uint64  `json:"fence"`
	After *uint64 `json:"expect_rev"`
	From  int     `json:"from"`
	To    int     `json:"to_version"`
	ID    string  `json:"id"`
	Path  string  `json:"path"`
}

// order executes an order to place layers or to move a stream.
func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var doc orderDoc
	if err := json.NewDecoder(r.Body).Decode(&doc); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch doc.Op {
	case "place":
		w.WriteHeader(e.place(doc))
	case "repath":
		e.move(w, doc)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// place makes the endpoint hold other layers, unless the order is outdated, and
// returns the status of the answer.
func (e *Endpoint) place(doc orderDoc) int {
	e.mu.Lock()
	switch {
	case doc.Fence < e.fence:
		e.mu.Unlock()
		return http.StatusPreconditionFailed
	case doc.After != nil && *doc.After != e.orders:
		e.mu.Unlock()
		return http.StatusConflict
	}
	e.fence = doc.Fence
	e.orders++
	e.layers = [2]int{doc.From, doc.To}
	e.mu.Unlock()
	e.Site.update(e)
	return http.StatusAccepted
}

// Restart simulates a restart that leaves the endpoint's record in the store unchanged: the new
// incarnation holds no layers and knows nothing of the streams that passed through the old one.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Started != 0 {
		e.Started++
	}
	e.layers, e.orders, e.fence = [2]int{}, 0, 0
}

// move switches a running stream to another chain.
func (e *Endpoint) move(w http.ResponseWriter, doc orderDoc) {
	chain, err := parseChain(doc.Path)
	e.mu.Lock()
	previous, found := e.running[doc.ID]
	body := e.bodies[doc.ID]
	e.mu.Unlock()
	if err != nil || !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.Site.check(doc.ID, chain)
	if blamed, status := e.Site.firstUnavailable(chain); status != 0 {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]string{"addr": blamed})
		return
	}
	e.setRunning(doc.ID, chain)
	e.Site.crashMovedIfMarked(body, previous, chain)
	w.WriteHeader(http.StatusAccepted)
}
