package story

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Fate is what became of a request, as far as logs tell.
type Fate string

// The fates.
const (
	// FateAnswered is a request whose answer the gateway gave whole to its caller: what
	// it asked for was done and acknowledged.
	FateAnswered Fate = "answered"
	// FateNotRun is a request that no endpoint ran, and of which the caller was told so.
	FateNotRun Fate = "not run"
	// FateRan is a request that an endpoint may have run to its end, without its caller
	// having the whole answer.
	FateRan Fate = "may have run, not acknowledged"
	// FateUnknown is a request whose gateway wrote nothing more after it had sent it.
	FateUnknown Fate = "unknown: the gateway ended after it had sent the request"
	// FateUnsent is a request that was not sent to any endpoint, as far as logs tell.
	FateUnsent Fate = "not sent, as far as the logs tell"
)

// Verdict is what became of one try of a caller.
type Verdict struct {
	Fate Fate
	// Process is the gateway that took it.
	Process string
	// Endpoint is where it ran or may have run, empty for nowhere: its own log tells.
	Endpoint string
	// Status is what the caller was answered, 0 for nothing.
	Status int
	// Times are where its time went, zero for a request without a first event.
	Times Times
}

// String returns the verdict as a line.
func (v Verdict) String() string {
	text := string(v.Fate)
	if v.Status != 0 {
		text += fmt.Sprintf(", status %d", v.Status)
	}
	if v.Endpoint != "" {
		text += ", at " + v.Endpoint
	}
	if v.Process != "" {
		text += ", by gateway " + v.Process
	}
	if times := v.Times.String(); times != "" {
		text += "; " + times
	}
	return text
}

// The messages that tell the fate of a request. A gateway writes the first before it
// sends a request that must not run twice, and the second when it is done with one.
const (
	messageSent  = "request is sent"
	messageEnded = "request ended"
)

// Verdict returns what became of the request.
func (s *Story) Verdict() Verdict {
	v := Verdict{Fate: FateUnsent}
	for _, l := range s.Lines() {
		switch l.Message {
		case messageSent:
			v = Verdict{Fate: FateUnknown, Process: l.Process, Endpoint: l.text("address")}
		case messageEnded:
			v = ended(l)
		}
	}
	return v
}

// ended returns what the last line about a request tells.
func ended(l Line) Verdict {
	v := Verdict{Process: l.Process, Status: l.number("status"), Times: timesOf(l)}
	if used := l.list("used"); len(used) > 0 {
		v.Endpoint = used[len(used)-1]
	}
	switch {
	case l.text("outcome") == "served":
		v.Fate = FateAnswered
	case l.number("runs") == 0:
		v.Fate, v.Endpoint = FateNotRun, ""
	default:
		v.Fate = FateRan
	}
	return v
}

// number returns a field as a number, 0 for none.
func (l *Line) number(name string) int {
	var n int
	_ = json.Unmarshal(l.Fields[name], &n) // a field of another type is no number
	return n
}

// list returns a field as a list of texts, without marks of what was done there.
func (l *Line) list(name string) []string {
	var list []string
	_ = json.Unmarshal(l.Fields[name], &list) // a field of another type is no list
	for i, text := range list {
		list[i] = strings.TrimPrefix(text, "moved: ")
	}
	return list
}
