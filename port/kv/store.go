// Package kv is the port to the platform's key-value service.
package kv

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Pair is a key with its value.
type Pair struct {
	Key   string
	Value []byte
	// Revision rises with each write in the store; it is never 0 for a pair
	// that exists.
	Revision uint64
	// Deleted is set on pairs that a watch reports as gone.
	Deleted bool
}

// Write is a conditional write.
type Write struct {
	Key   string
	Value []byte
	// If is the revision that the key must have; 0 means that it must not
	// exist.
	If uint64
	// Lease binds the key's life to a lease; empty for none.
	Lease string
}

// Store is the key-value service. A call that fails with a ConflictError took
// no effect. One that fails with an UnavailableError may have taken effect
// when it was a write.
type Store interface {
	// Get returns the pair of key, or a NotFoundError.
	Get(ctx context.Context, key string) (Pair, error)
	// List returns up to limit pairs whose keys start with prefix and lie
	// after the key after, in the order of their keys.
	List(ctx context.Context, prefix, after string, limit int) ([]Pair, error)
	// Put writes if the condition holds and returns the new revision.
	Put(ctx context.Context, w Write) (uint64, error)
	// Delete removes key if it has the revision.
	Delete(ctx context.Context, key string, revision uint64) error
	// Watch waits for changes under prefix after revision and returns them,
	// or nothing when the service's own time is up.
	Watch(ctx context.Context, prefix string, revision uint64) ([]Pair, error)
	// Grant makes a lease that lapses unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// KeepAlive renews a lease, or returns a NotFoundError when it lapsed.
	KeepAlive(ctx context.Context, lease string) error
}

// NotFoundError is a key or lease that does not exist.
type NotFoundError struct {
	Key string
}

// Error names the key.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no key %q in the store", e.Key)
}

// Missing reports whether an error says that the key or lease does not exist.
func Missing(err error) bool {
	var missing *NotFoundError
	return errors.As(err, &missing)
}

// ConflictError is a write whose condition did not hold.
type ConflictError struct {
	Key string
	// Revision is the key's revision, 0 when it does not exist.
	Revision uint64
}

// Error names the key and its revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is at revision %d", e.Key, e.Revision)
}

// UnavailableError is a call without an answer. A write may have taken effect.
type UnavailableError struct {
	Err error
}

// Error returns the cause.
func (e *UnavailableError) Error() string {
	return "key-value service: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}

// UnaskedError is a question that was not put to the store, since it is left to other
// processes and these had no answer. It says nothing of the store.
type UnaskedError struct {
	Err error
}

// Error returns the cause.
func (e *UnaskedError) Error() string {
	return "the store was not asked: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnaskedError) Unwrap() error {
	return e.Err
}
