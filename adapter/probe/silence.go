package probe

import (
	"errors"
	"fmt"
	"time"

	"github.com/grademill/grademill/adapter/cputime"
)

// Thresholds to tell a silent endpoint from a process that is too starved of processor time to
// read its answer.
const (
	// answerTimeout is how long a request waits for its answer: an endpoint answers within a
	// few milliseconds, and a stream may pause for 200 ms in all.
	answerTimeout = 60 * time.Millisecond
	// readGrace is extra time to read answers that arrived while this process was starved:
	// some hosts get their processor in slices of a tenth of a second.
	readGrace = 10 * time.Millisecond
	// maxSpans is the number of spans after which a starved process gives up. A span is one
	// wait for the answer, of answerTimeout and readGrace.
	maxSpans = 4
	// maxBusy is the share of a processor above which a process may be starved: a host has
	// at least 0.14 of a processor, and a calm gateway uses 0.03.
	maxBusy = 0.1
	// maxTimerDelay is the total delay of a span's timers up to which a process counts as
	// not starved. The delay is 2 ms in a calm gateway, 3 to 7 ms in one that loads a large
	// configuration, and at least 27 ms in one that gets a fifth of its processor.
	maxTimerDelay = 2500 * time.Microsecond
	// maxTimerDelayBusy is the limit for the last span if every span was busy or had late
	// timers. Up to it the endpoint counts as silent; above it the result is uncertain.
	maxTimerDelayBusy = 8 * time.Millisecond
)

// AwaitAnswer waits for answered to be closed and returns nil once it is. It returns a
// *SilentError if a span passes without an answer while this process used little processor
// time and its timers fired on time. In a starved process the answer may lie unread, so
// AwaitAnswer waits again. After maxSpans it judges by the timer delay of the last span
// alone, and returns ErrUncertain if that exceeds maxTimerDelayBusy.
func AwaitAnswer(answered <-chan struct{}) error {
	var timerDelay time.Duration
	busy := 0.0
	for range maxSpans {
		begun, used := time.Now(), cputime.Used()
		if answeredWithin(answered, answerTimeout) || answeredWithin(answered, readGrace) {
			return nil
		}
		took := time.Since(begun)
		timerDelay = took - answerTimeout - readGrace
		busy = float64(cputime.Used()-used) / float64(took)
		if timerDelay <= maxTimerDelay && busy <= maxBusy {
			return &SilentError{Busy: busy}
		}
	}
	if timerDelay <= maxTimerDelayBusy {
		return &SilentError{Busy: busy}
	}
	return ErrUncertain
}

// answeredWithin reports whether answered is closed within d.
func answeredWithin(answered <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-answered:
		return true
	case <-timer.C:
		return false
	}
}

// SilentError reports that an endpoint did not answer in time.
type SilentError struct {
	// Busy is the share of a processor that this process used during the wait.
	Busy float64
}

func (e *SilentError) Error() string {
	return fmt.Sprintf("no answer in time while this process used %.3f of a processor", e.Busy)
}

// ErrUncertain reports that no answer was seen, but that this process was starved of
// processor time or the network path was congested, so that the endpoint may have answered.
var ErrUncertain = errors.New("this process was starved of processor time or the network path was congested, so it is uncertain whether the endpoint answered")
