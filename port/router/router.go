// Package router is the port through which callers reach the system.
package router

import (
	"context"
	"time"
)

// Completion asks for an answer of a model.
type Completion struct {
	Team    string
	Service string
	// Prompt holds at least one token.
	Prompt []uint32
	// MaxTokens is the length of the answer at most; at least 1.
	MaxTokens int
	// Deadline is the latest end; zero for none.
	Deadline time.Time
}

// Usage is what a completion came to.
type Usage struct {
	// Request is the ID of the request, in hexadecimal.
	Request string
	// Tokens is the number of tokens given.
	Tokens int
	// Attempts is the number of chains that it took.
	Attempts int
}

// Call asks for one call of a plain service.
type Call struct {
	Team    string
	Service string
	// Key is the caller's idempotency key; empty for none.
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

// Router serves callers. Errors are *outcome.Report.
type Router interface {
	// Complete gives the answer to emit, token by token in order, and returns
	// when the whole answer has been given. An error of emit ends the request.
	Complete(ctx context.Context, c Completion, emit func(token uint32) error) (Usage, error)
	// Call runs one call.
	Call(ctx context.Context, c Call) (Reply, error)
}
