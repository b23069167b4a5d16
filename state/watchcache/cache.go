// Package watchcache lets the gateways of a hall share what a few of them ask of the store.
// One that asks the store keeps the newest changes and when they were certainly all; the
// others ask it, and add the age of its proof to the time of their own question.
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

// What is kept for others. Of each key only the newest change is, so that no more is kept than the
// store holds. Whoever needs an older change reads all anew.
const (
	// keptFor is how long a change is kept whatever it takes: longer than a question of another
	// gateway is late. A bound by bytes alone is passed within a second when a large fleet starts or
	// is configured, and then all read the store anew.
	keptFor = 6 * time.Second
	// maxKept bounds the bytes of older changes.
	maxKept = 128 << 10
)

// pairOverhead is what a pair takes beside its key and value, in bytes.
const pairOverhead = 64

// minGain is by how much newer a proof must be than that of who asks to be told at once:
// otherwise the next one is waited for.
const minGain = 150 * time.Millisecond

// Question is what a gateway asks another one.
type Question struct {
	// After is the revision up to which the asker knows all.
	After uint64
	// Age is the age of the asker's proof.
	Age time.Duration
	// Wait is how long a newer proof may be waited for.
	Wait time.Duration
}

// Answer answers a Question.
type Answer struct {
	// Pairs are the changes after the revision, in order, and late ones: see Feed.
	Pairs []kv.Pair
	// At is the store's revision that the answer stands for.
	At uint64
	// Age is how long before the answer all that had been written was certainly known.
	Age time.Duration
	// Sum is that of the copy at the revision, 0 when it is not known.
	Sum uint64
	// Held is how long the question waited. The answer's proof is therefore no older
	// than Age less Held before the question was sent, whatever the way took.
	Held time.Duration
}

// ErrRefused is a question that another gateway has heard and does not answer. The reasons are of this
// kind; the asker turns to another gateway, or to the store.
var ErrRefused = errors.New("the question is refused")

// The reasons for which a question is refused.
var (
	// ErrIndirect is a gateway that does not ask the store itself, or that the store has
	// not answered: ages would add up without a bound.
	ErrIndirect = fmt.Errorf("%w: this gateway does not have its changes from the store", ErrRefused)
	// ErrForgotten is a revision that the history no longer reaches.
	ErrForgotten = fmt.Errorf("%w: the changes since then are no longer kept", ErrRefused)
	// ErrNoNews is a question for which no newer proof has come in time.
	ErrNoNews = fmt.Errorf("%w: there was no newer proof in time", ErrRefused)
)

// Cache is what a gateway has lately learned of the store. The zero Cache is empty.
type Cache struct {
	// Now reads the clock of proofs, nil for time.Now: see mirror.Mirror.
	Now func() time.Time

	mu sync.Mutex // guards what follows
	// changes are those after floor, in the order in which they were learned, and bytes their
	// size.
	changes []change
	bytes   int
	floor   uint64
	// at is the revision up to which all is known, sum that of the copy, 0 when it is not known.
	at  uint64
	sum uint64
	// proven is when that was certainly all that had been written; direct is set while
	// the store itself said so.
	proven time.Time
	direct bool
	// changed is closed with the next change of the above.
	changed chan struct{}
}

// change is a change that is kept for others.
type change struct {
	kv.Pair
	// at is when it was learned.
	at time.Time
	// late is set for one that a watch may have passed over: those who ask may have been told of
	// later revisions without it.
	late bool
}

// Reset begins anew: all was read, at a revision, by a question that was sent at a time. Sum is that of
// the copy.
func (c *Cache) Reset(at uint64, sent time.Time, sum uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes, c.bytes, c.floor, c.at, c.sum, c.proven, c.direct = nil, 0, at, at, sum, sent, true
	c.wake()
}

// Begin begins anew: all was read as of a revision, which proves nothing yet.
func (c *Cache) Begin(at uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes, c.bytes, c.floor, c.at, c.sum, c.direct = nil, 0, at, at, 0, false
}

// At returns the revision up to which all is known.
func (c *Cache) At() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

// Add notes the changes of a page, which was certainly all at a time, and the sum of the copy with
// them; direct is set when the store itself said so.
func (c *Cache) Add(page kv.Page, proven time.Time, direct bool, sum uint64) {
	c.add(page, proven, direct, false, sum)
}

// AddFound notes the changes that a reading of all has found in place of a watch, by a question that
// was sent at a time.
func (c *Cache) AddFound(page kv.Page, sent time.Time, sum uint64) {
	c.add(page, sent, true, true, sum)
}

// add notes a page. Found is set for changes that no watch told of.
func (c *Cache) add(page kv.Page, proven time.Time, direct, found bool, sum uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, now := c.at, c.now()
	c.at, c.sum, c.proven, c.direct = max(c.at, page.At), sum, proven, direct
	c.supersede(page.Pairs)
	for _, p := range page.Pairs {
		c.changes = append(c.changes, change{p, now, found || p.Revision <= known})
		c.bytes += size(p)
	}
	drop := 0
	for ; c.bytes > maxKept && now.Sub(c.changes[drop].at) > keptFor; drop++ {
		dropped := c.changes[drop]
		c.bytes -= size(dropped.Pair)
		c.floor = max(c.floor, dropped.Revision)
	}
	if drop > 0 { // so that what is dropped is freed
		c.changes = append([]change(nil), c.changes[drop:]...)
	}
	c.wake()
}

// supersede drops the changes of keys that newer ones tell all of; c.mu is held.
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

// now reads the clock of proofs.
func (c *Cache) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}

// Fail notes that the store gave no answer: others are to ask elsewhere.
func (c *Cache) Fail() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.direct = false
	c.wake()
}

// size returns the bytes that a pair takes.
func size(p kv.Pair) int {
	return len(p.Key) + len(p.Value) + pairOverhead
}

// wake tells those that wait that something has changed; c.mu is held.
func (c *Cache) wake() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Ask answers a question, at once when there are changes or a newer proof, and otherwise
// with the next one.
func (c *Cache) Ask(ctx context.Context, q Question) (Answer, error) {
	begun := c.now()
	timer := time.NewTimer(q.Wait)
	defer timer.Stop()
	for {
		answer, next, err := c.look(q, begun)
		if err != nil || next == nil {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		case <-timer.C:
			return Answer{}, ErrNoNews
		case <-next:
		}
	}
}

// look returns the answer to a question that came at begun, or a channel that is closed
// when another look is due.
func (c *Cache) look(q Question, begun time.Time) (Answer, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	held := now.Sub(begun)
	age := now.Sub(c.proven)
	switch {
	case !c.direct:
		return Answer{}, nil, ErrIndirect
	case q.After < c.floor:
		return Answer{}, nil, ErrForgotten
	case q.After >= c.at && age+minGain > q.Age+held:
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		return Answer{}, c.changed, nil
	}
	a := Answer{At: c.at, Age: age, Held: held, Sum: c.sum}
	for _, one := range c.changes {
		if one.late || one.Revision > q.After {
			a.Pairs = append(a.Pairs, one.Pair)
		}
	}
	return a, nil, nil
}
