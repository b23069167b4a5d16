// Package lastrun keeps when requests with the same part in their prompts last ran well.
package lastrun

import (
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/decide/fingerprint"
)

const (
	// size is the number of slots, some 40 bytes each. A part that is in many prompts returns to its slot soon
	// after a rare one has taken it.
	size = 4096
	// refresh is the age from which on an entry is replaced by a newer one of the same part, so that a popular
	// part costs few allocations.
	refresh = 100 * time.Millisecond
)

// Table maps parts of prompts to the time at which a request with them last ran well. It has a fixed size and
// forgets parts that others displace. The zero Table is empty. It is safe for concurrent use and takes no lock.
type Table struct {
	slots [size]atomic.Pointer[entry]
}

// entry is an immutable entry of a slot.
type entry struct {
	part fingerprint.Fingerprint
	at   time.Time
}

// Note records that a request with a part ran well at a time.
func (t *Table) Note(part fingerprint.Fingerprint, at time.Time) {
	slot := &t.slots[part%size]
	if e := slot.Load(); e != nil && e.part == part && at.Sub(e.at) < refresh {
		return
	}
	slot.Store(&entry{part, at})
}

// Last returns when a request with a part last ran well, the zero time if that is not known.
func (t *Table) Last(part fingerprint.Fingerprint) time.Time {
	if e := t.slots[part%size].Load(); e != nil && e.part == part {
		return e.at
	}
	return time.Time{}
}
