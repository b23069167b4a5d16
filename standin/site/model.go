package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// StallTime is how long a stream waits for a dead endpoint before it is cut.
const StallTime = 3 * time.Second

// Event returns the text of an event of a stream.
func Event(n int) string {
	return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
}

// events returns the number of events that a request asks for: the second number
// of its token usage.
func events(r *http.Request) int {
	_, most, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	n, err := strconv.Atoi(most)
	if err != nil {
		return 0
	}
	return n
}

// stream answers a request of a model along its chain.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, body []byte, mode Mode) {
	id := r.Header.Get("X-Request-Id")
	chain, err := parseChain(r.Header.Get("Path"))
	if err != nil || chain[0].address != e.Address() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.Site.check(id, chain)
	if blamed, status := e.Site.lacks(chain); status != 0 {
		w.Header().Set("At-Server", blamed)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	e.run(r)
	e.Site.doom(e, body)
	e.setBody(id, string(body))
	e.setRunning(id, chain)
	defer e.setRunning(id, nil)
	if mode == Drop {
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
			e.noteLeft()
			panic(http.ErrAbortHandler)
		}
		text := Event(n)
		if mode == Cut && n == after+2 { // inside the second event
			_, _ = w.Write([]byte(text[:len(text)/2]))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if mode == Hang && n == after+2 {
			<-r.Context().Done()
			e.noteLeft()
			return
		}
		_, _ = w.Write([]byte(text))
		_ = http.NewResponseController(w).Flush()
	}
}

// wait waits for the next event: for its time, and while a part of the chain is
// dead. It returns false when the caller has left or the stream stood still for
// too long.
func (e *Endpoint) wait(r *http.Request, id string) bool {
	const poll = 5 * time.Millisecond
	stalled := time.Duration(0)
	time.Sleep(e.EventEvery)
	for r.Context().Err() == nil {
		if e.isDead() {
			<-r.Context().Done()
			break
		}
		if e.stalledAt(id) == "" {
			e.noteStall(id, false)
			return true
		}
		e.noteStall(id, true)
		time.Sleep(poll)
		if stalled += poll; stalled > StallTime {
			return false
		}
	}
	return false
}

// stalledAt returns the address of a dead part of a stream's chain, empty for
// none.
func (e *Endpoint) stalledAt(id string) string {
	e.mu.Lock()
	chain := e.running[id]
	e.mu.Unlock()
	for _, p := range chain {
		if p.address == e.Address() {
			continue
		}
		if other := e.Site.at(p.address); other == nil || other.isDead() || other.BornAt() != p.born {
			return p.address
		}
	}
	return ""
}

// noteStall notes when a stream came to stand still.
func (e *Endpoint) noteStall(id string, stands bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stalled == nil {
		e.stalled = make(map[string]time.Time)
	}
	if !stands {
		delete(e.stalled, id)
	} else if e.stalled[id].IsZero() {
		e.stalled[id] = time.Now()
	}
}

// reportsStall reports whether a report of now tells that a stream stands still.
func (e *Endpoint) reportsStall(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	since, stands := e.stalled[id]
	return e.ReportLag == 0 || stands && time.Since(since) >= e.ReportLag
}

func (e *Endpoint) setBody(id, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bodies == nil {
		e.bodies = make(map[string]string)
	}
	e.bodies[id] = body
}

func (e *Endpoint) setRunning(id string, chain []part) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		e.running = make(map[string][]part)
	}
	if chain == nil {
		delete(e.running, id)
		return
	}
	for i, p := range chain {
		if other := e.Site.at(p.address); other != nil && other != e {
			chain[i].born = other.BornAt()
		}
	}
	e.running[id] = chain
}

// report answers the question for the state.
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
	if e.Born != 0 {
		doc["born"] = e.Born
	}
	e.mu.Unlock()
	var stalled []map[string]string
	for _, id := range ids {
		if address := e.stalledAt(id); address != "" && e.reportsStall(id) {
			stalled = append(stalled, map[string]string{"id": id, "addr": address})
		}
	}
	doc["stalled"] = stalled
	_ = json.NewEncoder(w).Encode(doc) // the caller may have left
}

// orderDoc is an order.
type orderDoc struct {
	Op    string  `json:"op"`
	Fence uint64  `json:"fence"`
	After *uint64 `json:"expect_rev"`
	From  int     `json:"from"`
	To    int     `json:"to_version"`
	ID    string  `json:"id"`
	Path  string  `json:"path"`
}

// order carries an order out.
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

// place takes other layers.
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
	e.Site.Announce(e)
	return http.StatusAccepted
}

// Restart has the endpoint start anew behind its old record: it holds no layers, knows nothing
// of what passed through it, and does not say so to the store.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Born != 0 {
		e.Born++
	}
	e.layers, e.orders, e.fence = [2]int{}, 0, 0
}

// move moves a stream to another chain.
func (e *Endpoint) move(w http.ResponseWriter, doc orderDoc) {
	chain, err := parseChain(doc.Path)
	e.mu.Lock()
	former, runs := e.running[doc.ID]
	body := e.bodies[doc.ID]
	e.mu.Unlock()
	if err != nil || !runs {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.Site.check(doc.ID, chain)
	if blamed, status := e.Site.lacks(chain); status != 0 {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]string{"addr": blamed})
		return
	}
	e.setRunning(doc.ID, chain)
	e.Site.doomMoved(body, former, chain)
	w.WriteHeader(http.StatusAccepted)
}
