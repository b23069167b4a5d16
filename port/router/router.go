// Package router defines the interface that serves callers' requests: completions of model
// services, and calls of plain services.
package router

import (
	"context"
	"time"
)

// Completion is a request for a model's answer to a prompt.
type Completion struct {
	Team    string
	Service string
	// Prompt holds at least one token.
	Prompt []uint32
	// MaxTokens is the maximum length of the answer in tokens, at least 1.
	MaxTokens int
	// Deadline is the time by which the answer must be complete; zero for none.
	Deadline time.Time
}

// Usage summarizes the processing of a completion.
type Usage struct {
	// Request is the ID of the request in hexadecimal.
	Request string
	// Tokens is the number of tokens in the answer.
	Tokens int
	// Attempts is the number of chains on which the request was attempted.
	Attempts int
}

// Call is a request for one call of a plain service.
type Call struct {
	Team    string
	Service string
	// Key is the caller's idempotency key, empty for none.
	Key         string
	Method      string
	Path        string
	Body        []byte
	ContentType string
	Deadline    time.Time
}

// Reply is the answer of a plain service.
type Reply struct {
	Status      int
	Body        []byte
	ContentType string
}

// Router serves callers. Its methods return errors of type *outcome.Report.
type Router interface {
	// Complete passes the answer to emit, token by token in order, and returns after the
	// last token. An error from emit ends the request.
	Complete(ctx context.Context, c Completion, emit func(token uint32) error) (Usage, error)
	// Call runs one call of a plain service and returns the service's answer.
	Call(ctx context.Context, c Call) (Reply, error)
}
