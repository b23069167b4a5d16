// Package service defines the interface to a plain service, an endpoint that is not a model
// engine.
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
	// Key is sent to the service in the Idempotency-Key header.
	Key string
}

// Reply is the service's answer.
type Reply struct {
	Status      int
	Body        []byte
	ContentType string
}

// OK reports whether the service answered with a status from 200 to 299.
func (r Reply) OK() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices
}

// Service runs calls of a plain service.
type Service interface {
	// Do runs r and returns the service's answer. If it returns an error other than an
	// UnsentError, the service may have run the call.
	Do(ctx context.Context, r Request) (Reply, error)
}

// UnsentError reports that a call was never sent to the service.
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
