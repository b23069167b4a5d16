// Package withdrawal provides the contexts of several attempts of which one is needed: the others are
// withdrawn, which says nothing of how they went.
package withdrawal

import (
	"context"
	"errors"
	"time"
)

// errWithdrawn is the cause of a context that has been withdrawn.
var errWithdrawn = errors.New("another attempt has answered meanwhile")

// Context is the context of one attempt. The owner calls Cancel when the attempt is over.
type Context struct {
	context.Context
	// Cancel ends the attempt, Withdraw does so because it is not needed any more.
	Cancel, Withdraw func()
}

// Until returns a context that ends with parent, or at a deadline.
func Until(parent context.Context, deadline time.Time) Context {
	bounded, release := context.WithDeadline(parent, deadline)
	ctx, end := context.WithCancelCause(bounded)
	return Context{ctx, func() { end(nil); release() }, func() { end(errWithdrawn) }}
}

// Withdrawn reports whether the attempt with a context has been withdrawn.
func Withdrawn(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errWithdrawn)
}
