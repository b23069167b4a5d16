// Package outcome defines the possible outcomes of a request.
package outcome

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the outcome of a request.
type Kind int

// Outcomes of a request. The zero Kind is Unknown, so that an unset value never claims that a
// request did not run.
const (
	// Unknown means that the request may have run. It is never retried.
	Unknown Kind = iota
	// Done means that the request ran, and the whole answer was sent.
	Done
	// NotRun means that the request certainly did not run: it was never sent to an endpoint, or
	// every agent that received it refused and barred it.
	NotRun
	// Failed means that the request ran and failed. It may be retried.
	Failed
)

var kindNames = [...]string{"unknown", "done", "not_run", "failed"}

// String returns the name shown to callers.
func (k Kind) String() string {
	return kindNames[k]
}

// Code is a stable name for the cause of an outcome other than Done.
type Code string

// Causes of an outcome.
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
	Uncertain     Code = "in_doubt"
	Platform      Code = "platform"
	Conflict      Code = "conflict"
	Duplicate     Code = "duplicate"
	Internal      Code = "internal"
)

// Report is an outcome other than Done. It implements error.
type Report struct {
	// Kind is never Done.
	Kind Kind
	// Code is the cause.
	Code Code
	// Detail is meant for people; it contains no secrets.
	Detail string
	// RetryAfter is the delay before a retry; zero means that a retry cannot help.
	RetryAfter time.Duration
}

// Error returns the report as one line.
func (r *Report) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Kind, r.Code, r.Detail)
}

// Refuse returns a NotRun report.
func Refuse(code Code, detail string, after time.Duration) *Report {
	return &Report{Kind: NotRun, Code: code, Detail: detail, RetryAfter: after}
}

// Of returns the report contained in err. For an error of another type it returns an Unknown
// report, for nil it returns false.
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
