package requestlog

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Result is the result of a request, as far as the logs show.
type Result string

// Fates of a request.
const (
	// FateAnswered is a request whose caller got the whole answer: the work was done and
	// acknowledged.
	FateAnswered Result = "answered"
	// FateNotRun is a request that no endpoint ran, and whose caller was told so.
	FateNotRun Result = "not run"
	// FateRan is a request that an endpoint may have completed, but whose caller did not get the
	// whole answer.
	FateRan Result = "may have run, not acknowledged"
	// FateUnknown is a request whose gateway logged nothing after sending it.
	FateUnknown Result = "unknown: the gateway ended after it had sent the request"
	// FateUnsent is a request that was not sent to any endpoint, as far as the logs show.
	FateUnsent Result = "not sent, as far as the logs tell"
)

// Verdict is the result of one of a caller's attempts.
type Verdict struct {
	Result Result
	// Process is the gateway that received it.
	Process string
	// Endpoint is where it ran or may have run, empty if it did not; that endpoint's own log has
	// the details.
	Endpoint string
	// Status is the status code sent to the caller, 0 if none was.
	Status int
	// Times is the breakdown of its time, zero for a request without a first event.
	Times Times
	// Refusal explains a refusal by the level in force, nil for every other request.
	Refusal *Refusal
	// Returned is set for an answer to a caller that had come back after a refusal. Its time counts from
	// the first attempt, which makes most such answers late.
	Returned bool
}

// String returns the verdict as one line.
func (v Verdict) String() string {
	text := string(v.Result)
	if v.Status != 0 {
		text += fmt.Sprintf(", status %d", v.Status)
	}
	if v.Endpoint != "" {
		text += ", at " + v.Endpoint
	}
	if v.Process != "" {
		text += ", by gateway " + v.Process
	}
	if v.Refusal != nil {
		text += "; " + v.Refusal.String()
	}
	if v.Returned {
		text += "; its caller had come back after a refusal, and its time counts from the first attempt"
	}
	if times := v.Times.String(); times != "" {
		text += "; " + times
	}
	return text
}

// Messages that determine the fate of a request. A gateway writes messageSent before it sends a
// request that must not run twice, and messageEnded once it is done with a request.
const (
	messageSent  = "request is sent"
	messageEnded = "request ended"
)

// Verdict returns the result of the request.
func (s *Log) Verdict() Verdict {
	v := Verdict{Result: FateUnsent}
	for _, l := range s.Lines() {
		switch l.Message {
		case messageSent:
			v = Verdict{Result: FateUnknown, Process: l.Process, Endpoint: l.text("address")}
		case messageEnded:
			v = verdictOf(l)
			v.Refusal = s.refusalIn(l)
		}
	}
	return v
}

// verdictOf returns the verdict in the last line about a request.
func verdictOf(l Line) Verdict {
	v := Verdict{Process: l.Process, Status: l.number("status"), Times: timesOf(l)}
	if used := l.list("used"); len(used) > 0 {
		v.Endpoint = used[len(used)-1]
	}
	switch {
	case l.text("outcome") == "served":
		v.Result, v.Returned = FateAnswered, l.isTrue("returned")
	case l.number("runs") == 0:
		v.Result, v.Endpoint = FateNotRun, ""
	default:
		v.Result = FateRan
	}
	return v
}

// number returns a field as a number, 0 if it is missing.
func (l *Line) number(name string) int {
	var n int
	_ = json.Unmarshal(l.Fields[name], &n) // a field of another type is no number
	return n
}

// list returns a field as a list of strings without their "moved: " marks.
func (l *Line) list(name string) []string {
	var list []string
	_ = json.Unmarshal(l.Fields[name], &list) // a field of another type is no list
	for i, text := range list {
		list[i] = strings.TrimPrefix(text, "moved: ")
	}
	return list
}
