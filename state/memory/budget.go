// Package memory bounds what a process holds in memory for its callers: one budget counts all of it, and when it is used
// up, the caller that has stood still longest gives way.
package memory

import (
	"sync"
	"time"
)

const (
	// minStill is how long a caller must have stood still before it gives way: one that sends pauses now and then.
	minStill = 250 * time.Millisecond
	// maxWait bounds the wait for others to give way.
	maxWait = 500 * time.Millisecond
	// poll is how often a waiting caller looks for one that has stood still long enough.
	poll = 20 * time.Millisecond
)

// Budget is the budget of a process. Set the exported fields before the first use. It is safe for concurrent use.
type Budget struct {
	// Limit is the number of bytes that all shares may hold together. What [Share.Grow] takes stays within three quarters of
	// it, so that new callers are let in while others hold large requests.
	Limit int64
	// MaxShares is the number of shares that may be open.
	MaxShares int

	mu sync.Mutex // guards the fields below, and those of the shares
	// used is the sum of the bytes of the open shares.
	used   int64
	shares map[*Share]bool
	// released is closed when a share gives bytes back.
	released chan struct{}
}

// Open opens a share that holds a number of bytes for as long as it is open. When the budget is used up, the share that has
// stood still longest gives way; Open returns nil if none can. evict makes the holder of the share close it soon; it is
// called once at most, from another goroutine than the holder's.
func (b *Budget) Open(bytes int64, evict func()) *Share {
	s := &Share{budget: b, base: bytes, bytes: bytes, evict: evict}
	b.mu.Lock()
	var gives *Share
	if b.used+bytes > b.Limit || len(b.shares) >= b.MaxShares {
		if gives = b.stillest(s); gives == nil {
			b.mu.Unlock()
			return nil
		}
		gives.evicted = true
	}
	if b.shares == nil {
		b.shares = make(map[*Share]bool)
	}
	b.shares[s] = true
	b.used += bytes
	b.mu.Unlock()
	if gives != nil {
		gives.evict()
	}
	return s
}

// Used returns the number of bytes held, and of open shares.
func (b *Budget) Used() (bytes int64, shares int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, len(b.shares)
}

// stillest returns the share other than one that has stood still longest, nil if none has for minStill; b.mu is held.
func (b *Budget) stillest(other *Share) *Share {
	var found *Share
	since := time.Now().Add(-minStill)
	for s := range b.shares {
		if s != other && !s.evicted && !s.still.IsZero() && s.still.Before(since) {
			found, since = s, s.still
		}
	}
	return found
}

// change adds bytes to a share, or takes them away; b.mu is held.
func (b *Budget) change(s *Share, bytes int64) {
	s.bytes += bytes
	b.used += bytes
	if bytes < 0 && b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// changed returns a channel that is closed at the next release; b.mu is held.
func (b *Budget) changed() <-chan struct{} {
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}
