// Package witnesses counts who has lately said the same thing.
package witnesses

import (
	"sync"
	"time"
)

// Witnesses are those that said something. Set the exported field before the first use.
type Witnesses struct {
	// Fresh is how long a word counts.
	Fresh time.Duration

	mu   sync.Mutex // guards what follows
	said map[string]time.Time
}

// Say notes that one with a name says it at now, and returns how many have lately.
func (w *Witnesses) Say(name string, now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.said == nil {
		w.said = make(map[string]time.Time)
	}
	w.said[name] = now
	return w.count(now)
}

// Count returns how many have said it lately.
func (w *Witnesses) Count(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count(now)
}

// count forgets old words and returns the number of the others; w.mu is held.
func (w *Witnesses) count(now time.Time) int {
	for name, at := range w.said {
		if now.Sub(at) > w.Fresh {
			delete(w.said, name)
		}
	}
	return len(w.said)
}
