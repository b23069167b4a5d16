package probe

import (
	"errors"
	"fmt"
	"time"

	"github.com/grademill/grademill/adapter/cputime"
)

// The figures of telling the silence of an endpoint from a process that has no time
// to hear it.
const (
	// silentWait is how long a question waits for its answer: an endpoint answers
	// within a few milliseconds, and a stream may pause for 200 ms in all.
	silentWait = 60 * time.Millisecond
	// silentTurn is the time for answers that have come while this process was held
	// up: some hosts get their processor in slices of a tenth of a second.
	silentTurn = 10 * time.Millisecond
	// silentSpans is how often a process that is held up waits for so long before it
	// gives up.
	silentSpans = 4
	// busyShare is the part of a processor from which on a process counts as held
	// up: the users' hosts have from 0.14 of one, and a calm gateway uses 0.03.
	busyShare = 0.1
	// lateTimers is by how much the timers of a span may fire late in all. In a calm
	// gateway it is 2 ms, in one that takes in a large configuration 3 to 7 ms, in one
	// that gets a fifth of its processor 27 ms and more.
	lateTimers = 2500 * time.Microsecond
	// veryLateTimers is that from which on even a busy process has no say.
	veryLateTimers = 8 * time.Millisecond
)

// Silence returns why a question is given up, or nil once it has been answered: that
// a span has passed without an answer, in which this process had little to do and
// its timers fired on time. In a process that is held up the answer may lie unread;
// one that is busy all the time judges by its timers alone.
func Silence(answered <-chan struct{}) error {
	var late time.Duration
	busy := 0.0
	for range silentSpans {
		begun, used := time.Now(), cputime.Used()
		if waited(answered, silentWait) || waited(answered, silentTurn) {
			return nil
		}
		took := time.Since(begun)
		late = took - silentWait - silentTurn
		busy = float64(cputime.Used()-used) / float64(took)
		if late <= lateTimers && busy <= busyShare {
			return &SilentError{Busy: busy}
		}
	}
	if late <= veryLateTimers {
		return &SilentError{Busy: busy}
	}
	return ErrHeldUp
}

// waited waits for an answer, and reports whether it has come.
func waited(answered <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-answered:
		return true
	case <-timer.C:
		return false
	}
}

// SilentError is a question that got no answer in time.
type SilentError struct {
	// Busy is the part of a processor that this process used meanwhile.
	Busy float64
}

// Error says so.
func (e *SilentError) Error() string {
	return fmt.Sprintf("no answer in time, while this process used %.3f of a processor", e.Busy)
}

// ErrHeldUp is a question without an answer, of a process that was held up itself.
var ErrHeldUp = errors.New("this process was held up, and cannot tell whether there is an answer")
