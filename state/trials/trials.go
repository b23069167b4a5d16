// Package trials holds what a gateway knows of the isolated attempts of suspects in the whole fleet.
package trials

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/trial"
)

// Trials maps suspects to their trials. The zero Trials is empty. It is safe for concurrent use.
type Trials struct {
	// size is the number of entries, read without the lock on the path of each request.
	size atomic.Int64
	mu   sync.Mutex // guards entries
	// entries holds the newest known state of each trial.
	entries map[fingerprint.Fingerprint]entry
}

// entry is the newest known state of a trial.
type entry struct {
	trial.Trial
	// removed is set if the store no longer holds the record. The entry stays, since older states of it may
	// still arrive.
	removed bool
}

// maxEntries bounds the entries, some 150 bytes each; of those beyond, the ones that the store no longer holds are
// dropped.
const maxEntries = 1024

// Note records a state of a trial unless a newer one is known, and reports whether it did.
func (t *Trials) Note(f fingerprint.Fingerprint, s trial.Trial) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.entries[f]; ok && known.Revision >= s.Revision {
		return false
	}
	t.set(f, entry{Trial: s})
	return true
}

// Remove records that the store no longer holds a trial that had the given revision, or an earlier one, and
// reports whether that was not known.
func (t *Trials) Remove(f fingerprint.Fingerprint, revision uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.entries[f]
	if known.Revision > revision || known.removed {
		return false
	}
	t.set(f, entry{Trial: trial.Trial{Revision: revision}, removed: true})
	return true
}

// set replaces an entry; t.mu is held.
func (t *Trials) set(f fingerprint.Fingerprint, e entry) {
	if t.entries == nil {
		t.entries = make(map[fingerprint.Fingerprint]entry)
	}
	if len(t.entries) >= maxEntries {
		for f, e := range t.entries {
			if e.removed {
				delete(t.entries, f)
			}
		}
	}
	t.entries[f] = e
	t.size.Store(int64(len(t.entries)))
}

// Get returns the trial of a suspect, the zero Trial if the store holds none as far as is known.
func (t *Trials) Get(f fingerprint.Fingerprint) trial.Trial {
	if t.size.Load() == 0 {
		return trial.Trial{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[f]; !e.removed {
		return e.Trial
	}
	return trial.Trial{}
}

// Last returns the newest known state of the trial of a suspect. It has no lease if the store no longer holds it, and
// no revision if none is known.
func (t *Trials) Last(f fingerprint.Fingerprint) trial.Trial {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[f].Trial
}

// Reserved returns the suspects for which an endpoint is reserved at now, by the ID of the endpoint; nil if there
// are none. Of two with the same endpoint it returns the one that was claimed first.
func (t *Trials) Reserved(now time.Time) map[string]fingerprint.Fingerprint {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var reserved map[string]fingerprint.Fingerprint
	for f, e := range t.entries {
		if !e.InProgress(now) {
			continue
		}
		if reserved == nil {
			reserved = make(map[string]fingerprint.Fingerprint)
		}
		if other, ok := reserved[e.Endpoint]; !ok || e.Revision < t.entries[other].Revision {
			reserved[e.Endpoint] = f
		}
	}
	return reserved
}
