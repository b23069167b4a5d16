// Package service is a stand-in for a plain service, such as membership records:
// it runs every call without authentication and records it. Serve a Service as an
// HTTP handler and read its Record.
package service

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Run describes one call that the service ran.
type Run struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Service is the stand-in for a plain service. Set the exported fields before the first use.
type Service struct {
	// CallDuration is the duration of a call. A call counts as run when it starts.
	CallDuration time.Duration

	mu   sync.Mutex
	runs []Run
}

// ServeHTTP records a call and, after CallDuration, answers with its number and body.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	run := Run{Key: r.Header.Get("Idempotency-Key"), Method: r.Method, Path: r.URL.Path, Body: string(body)}
	s.runs = append(s.runs, run)
	number := len(s.runs)
	s.mu.Unlock()
	time.Sleep(s.CallDuration)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"run":%d,"echo":%q}`, number, body)
}

// Record returns all runs so far, in order.
func (s *Service) Record() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}
