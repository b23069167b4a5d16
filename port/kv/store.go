// Package kv defines the interface to the platform's key-value service, the store: reads,
// conditional writes, leases and watches.
package kv

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Pair is a key with its value. It is encoded as JSON under the names of its fields, which
// therefore must not change.
type Pair struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last write of the key. It rises with each
	// write and is never 0 for a pair that exists.
	Revision uint64
	// Deleted is set on pairs that a watch reports as deleted.
	Deleted bool
}

// Write is a conditional write of one key. It is encoded as JSON under the names of its fields,
// which therefore must not change.
type Write struct {
	Key   string
	Value []byte
	// If is the revision that the key must have; 0 means that it must not exist.
	If uint64
	// Lease is the lease with which the key expires, empty for none.
	Lease string
}

// Store is the key-value service. A call that fails with a ConflictError had no effect. A
// write that fails with an UnavailableError may have taken effect.
type Store interface {
	// Get returns the pair with the given key, or a NotFoundError.
	Get(ctx context.Context, key string) (Pair, error)
	// List returns up to limit pairs whose keys start with prefix and sort after the key
	// after, in the order of their keys.
	List(ctx context.Context, prefix, after string, limit int) ([]Pair, error)
	// Put writes w and returns the new revision, or a ConflictError if the condition does
	// not hold.
	Put(ctx context.Context, w Write) (uint64, error)
	// Delete deletes key if it is at the given revision.
	Delete(ctx context.Context, key string, revision uint64) error
	// Watch waits for changes under prefix after revision and returns them, or nothing
	// when the service's own time limit for a watch ends.
	Watch(ctx context.Context, prefix string, revision uint64) ([]Pair, error)
	// Grant creates a lease that expires after ttl unless KeepAlive renews it, and
	// returns its ID.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// KeepAlive renews a lease, or returns a NotFoundError if it has expired.
	KeepAlive(ctx context.Context, lease string) error
}

// NotFoundError reports that a key or lease does not exist.
type NotFoundError struct {
	Key string
}

// Error returns a message with the key.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no key %q in the store", e.Key)
}

// IsNotFound reports whether err is or wraps a NotFoundError.
func IsNotFound(err error) bool {
	var missing *NotFoundError
	return errors.As(err, &missing)
}

// ConflictError reports a write whose condition did not hold.
type ConflictError struct {
	Key string
	// Revision is the key's actual revision, 0 if the key does not exist.
	Revision uint64
}

// Error returns a message with the key and its revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is at revision %d", e.Key, e.Revision)
}

// UnavailableError reports a call that got no answer. A write may have taken effect.
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

// NotSentError reports a read that was not sent to the store: this process queries other
// processes in place of the store, and none of them had an answer. It does not mean that
// the store is unavailable.
type NotSentError struct {
	Err error
}

// Error returns the cause.
func (e *NotSentError) Error() string {
	return "the store was not asked: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error {
	return e.Err
}
