package kv

import (
	"context"
	"fmt"
	"time"
)

// Page is one page of a scan of the store, or of its changes.
type Page struct {
	// Pairs are ordered by key in a scan, and by time in changes.
	Pairs []Pair
	// More is set if the scan has another page, and in changes if some that were written before the
	// call was sent may be missing.
	More bool
	// At is the store's revision as of the page. It never decreases.
	At uint64
	// Lag bounds the age of the page: it contains all that was written up to the time
	// Lag before the call was sent. It is 0 in pages of the store itself, and negative if
	// another process held the call until it had newer data.
	Lag time.Duration
	// RateLimited is set if the process that answered limits the rate of calls, so that
	// the caller need not.
	RateLimited bool
}

// Feed reads a store together with its revision, so that a copy can be kept current. All
// reads except ScanStale are linearizable: they return everything that was written before
// the call was sent, unless they say that there may be more.
type Feed interface {
	// Scan returns a page of the pairs whose keys start with prefix and sort after the
	// key after. Successive pages do not form a snapshot.
	Scan(ctx context.Context, prefix, after string) (Page, error)
	// ScanStale is like Scan, but its page may be seconds old. It costs the store less.
	ScanStale(ctx context.Context, prefix, after string) (Page, error)
	// Changes waits up to wait for changes under prefix after revision. It returns an
	// empty page if there were none, and a CompactedError if the store's history no longer
	// contains the changes since revision. A page with More set holds the first of them,
	// up to the revision At.
	Changes(ctx context.Context, prefix string, revision uint64, wait time.Duration) (Page, error)
}

// CompactedError reports that the store's history no longer reaches back to a revision.
type CompactedError struct {
	Revision uint64
}

// Error returns a message with the revision.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("the store's history no longer reaches revision %d", e.Revision)
}

// RefusedError reports a call that the store refused and that had no effect.
type RefusedError struct {
	Status int
}

// Error returns a message with the status.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the store refused the call with status %d", e.Status)
}
