// Package outcome holds the closed set of ends that a request can have.
package outcome

import (
	"errors"
	"fmt"
	"time"
)

// Kind is how a request ended.
type Kind int

// The kinds. The zero Kind is Unknown, so that a forgotten value never claims
// that something did not run.
const (
	// Unknown requests may have run or not. They are never tried again.
	Unknown Kind = iota
	// Done requests ran, and the whole answer was given.
	Done
	// NotRun requests truly did not run: never sent to an endpoint, or
	// refused and barred by every agent that got them.
	NotRun
	// Failed requests ran and did not end well. They may be sent again.
	Failed
)

var kindNames = [...]string{"unknown", "done", "not_run", "failed"}

// String returns the name that callers see.
func (k Kind) String() string {
	return kindNames[k]
}

// Code is a stable name for the cause of an end other than Done.
type Code string

// The codes.
const (
	BadRequest    Code = "bad_request"
	TooLarge      Code = "too_large"
	Unauthorized  Code = "unauthorized"
	Forbidden     Code = "forbidden"
	UnknownModel  Code = "unknown_model"
	Overloaded    Code = "overloaded"
	NoChain       Code = "no_chain"
	Draining      Code = "draining"
	DeadlineOver  Code = "deadline"
	StageLost     Code = "stage_lost"
	RetryExceeded Code = "retry_budget"
	CallerGone    Code = "caller_gone"
	InDoubt       Code = "in_doubt"
	Platform      Code = "platform"
	Conflict      Code = "conflict"
	Duplicate     Code = "duplicate"
	Internal      Code = "internal"
)

// Report is the end of a request that is not Done. It is an error.
type Report struct {
	// Kind is never Done.
	Kind Kind
	// Code is the cause.
	Code Code
	// Detail is for people; it holds no secret.
	Detail string
	// RetryAfter is when to come back; zero means that coming back is no use.
	RetryAfter time.Duration
}

// Error returns the report on one line.
func (r *Report) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Kind, r.Code, r.Detail)
}

// Refuse returns a NotRun report.
func Refuse(code Code, detail string, after time.Duration) *Report {
	return &Report{Kind: NotRun, Code: code, Detail: detail, RetryAfter: after}
}

// Of returns the report that err holds. An error of another type becomes an
// Unknown report; no error at all gives false.
func Of(err error) (*Report, bool) {
	if err == nil {
		return nil, false
	}
	var report *Report
	if errors.As(err, &report) {
		return report, true
	}
	return &Report{Kind: Unknown, Code: Internal, Detail: err.Error()}, true
}
