// Package service is the port to a plain service beside the model engines.
package service

import (
	"context"
	"net/http"
)

// Request is one call of a plain service.
type Request struct {
	Method      string
	Path        string
	Body        []byte
	ContentType string
	// Key goes to the service as its Idempotency-Key header.
	Key string
}

// Reply is the service's answer.
type Reply struct {
	Status      int
	Body        []byte
	ContentType string
}

// OK reports whether the service did what was asked.
func (r Reply) OK() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
}

// Service runs calls.
type Service interface {
	// Do runs r. After an error the call may have run, unless the error is an
	// UnsentError.
	Do(ctx context.Context, r Request) (Reply, error)
}

// UnsentError is a call that never reached the service.
type UnsentError struct {
	Err error
}

// Error returns the cause.
func (e *UnsentError) Error() string {
	return "service not reached: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error {
	return e.Err
}
