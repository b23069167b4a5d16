package story

import (
	"encoding/json"
	"fmt"
	"time"
)

// Times are the parts of the time in which a stream was answered: what made it late.
type Times struct {
	// Before is what earlier tries of the caller took, 0 for one that was not taken to have
	// come back, Line the wait for room, Chain the time from then to the first event, tries
	// that were given up among it.
	Before, Line, Chain time.Duration
	// Pause is the longest wait between two events.
	Pause time.Duration
}

// String returns the parts, empty for none.
func (t Times) String() string {
	if t == (Times{}) {
		return ""
	}
	return fmt.Sprintf("%v with earlier tries, %v in line, %v from there to the first event; longest pause %v",
		t.Before, t.Line, t.Chain, t.Pause)
}

// timesOf returns the parts that the last line about a request tells.
func timesOf(l Line) Times {
	first := l.millis("first_ms")
	if first == 0 {
		return Times{}
	}
	line := l.millis("waited_ms")
	t := Times{Line: line, Chain: max(first-line, 0), Pause: l.millis("pause_ms")}
	if string(l.Fields["returned"]) == "true" {
		t.Before = l.millis("under_route_ms")
	}
	return t
}

// millis returns a field in milliseconds as a duration, to the millisecond, 0 for none.
func (l *Line) millis(name string) time.Duration {
	var ms float64
	_ = json.Unmarshal(l.Fields[name], &ms) // a field of another type is no number
	return (time.Duration(ms*1000) * time.Microsecond).Round(time.Millisecond)
}
