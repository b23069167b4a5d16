package requestlog

import (
	"encoding/json"
	"fmt"
	"time"
)

// Times breaks down the time in which a stream was answered, and shows why an answer was late.
type Times struct {
	// Before is the time spent on the caller's earlier requests, 0 unless the gateway took it for a
	// returning caller. Line is the time in the queue. Chain is the time from leaving the queue to
	// the first event, including abandoned attempts.
	Before, Line, Chain time.Duration
	// MaxPause is the longest time between two events.
	MaxPause time.Duration
}

// String returns the times as text, empty for the zero Times.
func (t Times) String() string {
	if t == (Times{}) {
		return ""
	}
	return fmt.Sprintf("%v with earlier tries, %v in line, %v from there to the first event; longest pause %v",
		t.Before, t.Line, t.Chain, t.MaxPause)
}

// timesOf returns the times in the last line about a request.
func timesOf(l Line) Times {
	first := l.millis("first_ms")
	if first == 0 {
		return Times{}
	}
	queued := l.millis("waited_ms")
	t := Times{Line: queued, Chain: max(first-queued, 0), MaxPause: l.millis("pause_ms")}
	if l.isTrue("returned") {
		t.Before = l.millis("under_route_ms")
	}
	return t
}

// millis returns a field in milliseconds as a duration, rounded to the millisecond, 0 if it is
// missing.
func (l *Line) millis(name string) time.Duration {
	var ms float64
	_ = json.Unmarshal(l.Fields[name], &ms) // a field of another type is no number
	return (time.Duration(ms*1000) * time.Microsecond).Round(time.Millisecond)
}
