// Package reporters counts the distinct reporters that recently made the same report.
package reporters

import (
	"sync"
	"time"
)

// Reporters holds the reporters of one fact. Set the exported field before the first use.
type Reporters struct {
	// ReportLifetime is how long a report counts.
	ReportLifetime time.Duration

	mu      sync.Mutex // guards what follows
	reports map[string]time.Time
}

// Report records a report by a named reporter, and returns the number of recent
// reporters.
func (w *Reporters) Report(name string, now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reports == nil {
		w.reports = make(map[string]time.Time)
	}
	w.reports[name] = now
	return w.count(now)
}

// Count returns the number of recent reporters.
func (w *Reporters) Count(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count(now)
}

// count drops expired reports and returns the number of the others; w.mu is held.
func (w *Reporters) count(now time.Time) int {
	for name, at := range w.reports {
		if now.Sub(at) > w.ReportLifetime {
			delete(w.reports, name)
		}
	}
	return len(w.reports)
}
