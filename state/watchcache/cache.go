// Package watchcache lets the gateways of a hall share the responses that a few of them get from
// the store.
//
// A gateway that queries the store puts the newest changes and the time of its freshness proof
// into a Cache. The others query that gateway through a Feed. They take as the time of their proof
// the time at which they sent their request, less the age of the proof in the answer.
package watchcache

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/grademill/grademill/port/kv"
)

// Bounds of the retained changes. Only the newest change of each key is retained, so that the
// cache never holds more than the store. A gateway that needs an older change reads everything
// again.
const (
	// minRetention is how long a change is retained regardless of its size. It exceeds the delay
	// of requests from other gateways. With a bound in bytes alone, the changes of a large fleet
	// that starts or is configured exceed the bound within a second, and every gateway reads the
	// whole store again.
	minRetention = 6 * time.Second
	// maxBytes is the size beyond which changes older than minRetention are dropped.
	maxBytes = 128 << 10
)

// pairOverhead is the memory in bytes that a pair takes in addition to its key and value.
const pairOverhead = 64

// minGain is how much newer this gateway's proof must be than the requester's for an immediate
// answer without changes. Otherwise the request waits for the next proof or change.
const minGain = 150 * time.Millisecond

// Request is a request of one gateway to another for changes and a newer freshness proof.
type Request struct {
	// After is the revision up to which the requester knows all changes.
	After uint64
	// Age is the age of the requester's proof.
	Age time.Duration
	// Wait bounds the wait for a newer proof.
	Wait time.Duration
}

// Answer is the response to a Request.
type Answer struct {
	// Pairs are the changes after the revision, in order, and those of any revision that a watch may
	// have missed: see Feed.
	Pairs []kv.Pair
	// At is the revision of the store that the answer is valid for.
	At uint64
	// Age is the age of the freshness proof when the answer was sent.
	Age time.Duration
	// Sum is the checksum of the replica at the revision, 0 if unknown.
	Sum uint64
	// Waited is how long the request waited before it was answered. The requester takes as the time
	// of the proof the time at which it sent the request, plus Waited, minus Age: a network delay
	// can only make the proof newer than that.
	Waited time.Duration
}

// ErrRefused reports that another gateway received a request and declined to answer it. The errors
// below wrap it; the requester turns to another gateway or to the store.
var ErrRefused = errors.New("the question is refused")

// The reasons for which a gateway refuses a request.
var (
	// ErrNotDirect reports that the gateway does not query the store itself, or that the store has
	// not answered it. Relaying such proofs would let their ages add up without bound.
	ErrNotDirect = fmt.Errorf("%w: this gateway does not have its changes from the store", ErrRefused)
	// ErrNotRetained reports a revision older than the retained changes.
	ErrNotRetained = fmt.Errorf("%w: the changes since then are no longer kept", ErrRefused)
	// ErrNoNewerProof reports that no newer proof arrived within the wait.
	ErrNoNewerProof = fmt.Errorf("%w: there was no newer proof in time", ErrRefused)
)

// Cache holds the recent changes of the store that a gateway knows. The zero Cache is empty.
type Cache struct {
	// Now reads the clock of freshness proofs; nil stands for time.Now. See mirror.Mirror.
	Now func() time.Time

	mu sync.Mutex // guards what follows
	// changes are the changes after revision trimmed, in the order in which this gateway learned
	// them. bytes is their size.
	changes []change
	bytes   int
	trimmed uint64
	// at is the revision up to which all changes are known. sum is the checksum of the replica at
	// that revision, 0 if unknown.
	at  uint64
	sum uint64
	proof
	// changed is closed at the next change of the fields above.
	changed chan struct{}
}

// proof is the time up to which all writes are known for certain. direct is set while it comes from
// the store itself.
type proof struct {
	proven time.Time
	direct bool
}

// change is a change retained for other gateways.
type change struct {
	kv.Pair
	// at is when this gateway learned the change.
	at time.Time
	// missed marks a change that a watch may have missed: requesters may already know later
	// revisions without it.
	missed bool
}

// Reset replaces the content after a full read that was requested at time sent and is complete up
// to revision at. sum is the checksum of the replica.
func (c *Cache) Reset(at uint64, sent time.Time, sum uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes, c.bytes, c.trimmed, c.at, c.sum, c.proven, c.direct = nil, 0, at, at, sum, sent, true
	c.notify()
}

// ResetUnproven replaces the content after a full read that yields no freshness proof. at is the
// revision of its oldest page.
func (c *Cache) ResetUnproven(at uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes, c.bytes, c.trimmed, c.at, c.sum, c.direct = nil, 0, at, at, 0, false
}

// At returns the revision up to which all changes are known.
func (c *Cache) At() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// Add records a page of changes that was complete at time proven, and the checksum of the replica
// that includes them. direct is set when the page comes from the store itself.
func (c *Cache) Add(page kv.Page, proven time.Time, direct bool, sum uint64) {
	c.add(page, &proof{proven, direct}, false, sum)
}

// AddPartial records a page of changes after which others may be missing, and the checksum of the
// replica that includes them: it proves nothing, and the former proof stands.
func (c *Cache) AddPartial(page kv.Page, sum uint64) {
	c.add(page, nil, false, sum)
}

// AddFromScan records changes that were found by a full read requested at time sent, and not by a
// watch.
func (c *Cache) AddFromScan(page kv.Page, sent time.Time, sum uint64) {
	c.add(page, &proof{sent, true}, true, sum)
}

// add records a page. proven is nil if the former proof stands; missed is set for changes that no watch
// delivered.
func (c *Cache) add(page kv.Page, proven *proof, missed bool, sum uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, now := c.at, c.now()
	c.at, c.sum = max(c.at, page.At), sum
	if proven != nil {
		c.proof = *proven
	}
	c.supersede(page.Pairs)
	for _, p := range page.Pairs {
		c.changes = append(c.changes, change{p, now, missed || p.Revision <= known})
		c.bytes += size(p)
	}
	drop := 0
	for ; c.bytes > maxBytes && now.Sub(c.changes[drop].at) > minRetention; drop++ {
		dropped := c.changes[drop]
		c.bytes -= size(dropped.Pair)
		c.trimmed = max(c.trimmed, dropped.Revision)
	}
	if drop > 0 { // release the memory of the dropped changes
		c.changes = append([]change(nil), c.changes[drop:]...)
	}
	c.notify()
}

// supersede drops the older changes of keys in newer; c.mu is held.
func (c *Cache) supersede(newer []kv.Pair) {
	if len(newer) == 0 {
		return
	}
	keys := make(map[string]bool, len(newer))
	for _, p := range newer {
		keys[p.Key] = true
	}
	c.changes = slices.DeleteFunc(c.changes, func(old change) bool {
		if keys[old.Key] {
			c.bytes -= size(old.Pair)
			return true
		}
		return false
	})
}

func (c *Cache) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}

// SetIndirect records that the store did not answer; other gateways must query another source.
func (c *Cache) SetIndirect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.direct = false
	c.notify()
}

// size returns the bytes that a pair takes in the cache.
func size(p kv.Pair) int {
	return len(p.Key) + len(p.Value) + pairOverhead
}

// notify wakes the waiting requests; c.mu is held.
func (c *Cache) notify() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Fetch answers a request of another gateway, at once if there are changes or a sufficiently newer
// proof, and otherwise as soon as there are. It returns ErrNoNewerProof if there are none within
// q.Wait.
func (c *Cache) Fetch(ctx context.Context, q Request) (Answer, error) {
	start := c.now()
	timer := time.NewTimer(q.Wait)
	defer timer.Stop()
	for {
		answer, next, err := c.tryAnswer(q, start)
		if err != nil || next == nil {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		case <-timer.C:
			return Answer{}, ErrNoNewerProof
		case <-next:
		}
	}
}

// tryAnswer returns the answer to a request received at start. If there is none yet, it returns a
// channel that is closed when the caller should try again.
func (c *Cache) tryAnswer(q Request, start time.Time) (Answer, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	held := now.Sub(start)
	age := now.Sub(c.proven)
	switch {
	case !c.direct:
		return Answer{}, nil, ErrNotDirect
	case q.After < c.trimmed:
		return Answer{}, nil, ErrNotRetained
	case q.After >= c.at && age+minGain > q.Age+held:
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		return Answer{}, c.changed, nil
	}
	a := Answer{At: c.at, Age: age, Waited: held, Sum: c.sum}
	for _, one := range c.changes {
		if one.missed || one.Revision > q.After {
			a.Pairs = append(a.Pairs, one.Pair)
		}
	}
	return a, nil, nil
}
