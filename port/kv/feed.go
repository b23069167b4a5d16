package kv

import (
	"context"
	"fmt"
	"time"
)

// Page is a part of what a store holds, or of what has changed in it.
type Page struct {
	// Pairs are in the order of their keys, or in that of the changes.
	Pairs []Pair
	// More is set when a scan has another page.
	More bool
	// At is the store's revision that the page stands for; it only rises.
	At uint64
	// Lag is how long before the call was sent all that had been written was certainly
	// in the page: 0 from the store itself, below 0 from another process that held the
	// call until it knew more.
	Lag time.Duration
	// Paced is set when whoever answers sees to it that calls do not follow each other
	// too fast.
	Paced bool
}

// Feed reads a store together with its revision, so that a copy of it can be
// kept current. All reads but stale ones are linearizable: what was written before
// the call was sent is seen.
type Feed interface {
	// Scan returns a page of the pairs whose keys start with prefix and lie
	// after the key after. Several pages are no snapshot.
	Scan(ctx context.Context, prefix, after string) (Page, error)
	// ScanStale returns a page as Scan does, as of a revision that may be seconds old. It
	// costs the store less.
	ScanStale(ctx context.Context, prefix, after string) (Page, error)
	// Changes waits up to wait for changes under prefix after a revision. An
	// empty page means that there was none. It returns a CompactedError when
	// the store no longer knows what changed since.
	Changes(ctx context.Context, prefix string, revision uint64, wait time.Duration) (Page, error)
}

// CompactedError is a revision that the store's history no longer reaches.
type CompactedError struct {
	Revision uint64
}

// Error names the revision.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("the store's history no longer reaches revision %d", e.Revision)
}

// RefusedError is a call that the store refused without doing anything.
type RefusedError struct {
	Status int
}

// Error returns the status.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the store refused the call with status %d", e.Status)
}
