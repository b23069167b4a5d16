// Package mirror keeps a local copy of the keys under a prefix of a store up to date.
//
// Set the fields of a Mirror and call Run: it reads all keys once, then follows the changes, and
// calls back for each change and each freshness proof.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/grademill/grademill/decide/backoff"
	"github.com/grademill/grademill/port/kv"
)

// retryWait spaces out calls to a failing store. The first retry comes soon, since the usual cause
// is a lost answer; the longest delay is short enough to notice the store's return within a
// second.
var retryWait = backoff.Backoff{Base: 60 * time.Millisecond, Max: 600 * time.Millisecond}

// Mirror follows a prefix of a store. Set the exported fields before Run. Run calls the functions
// from its own goroutine only.
type Mirror struct {
	// Feed reads the store.
	Feed kv.Feed
	// Prefix selects the keys, empty for all.
	Prefix string
	// WatchTimeout is how long one request for changes waits. It bounds the age of the last
	// freshness proof while nothing changes.
	WatchTimeout time.Duration
	// MinInterval is the least time between the starts of two requests, so that changes in quick
	// succession arrive together. It does not apply to pages with RateLimited set.
	MinInterval time.Duration
	// Refresh ends a pause between two requests when it delivers a value, nil for never.
	Refresh <-chan struct{}
	// Grace is how long after an outage of the store a removed key is retained: leases expire
	// while nobody can renew them, and their owners return.
	Grace time.Duration
	// Put receives each pair that was written, and Removed each key that was removed with the
	// revision of its removal.
	Put     func(kv.Pair)
	Removed func(key string, revision uint64)
	// Confirm receives, after the changes of each answer, a time up to which the copy contains all
	// writes: when the request was sent, or, if another process answered in place of the store, the
	// time of that process's proof.
	Confirm func(proven time.Time)
	// Applied is called after the changes of an answer that may lack others, which are then requested
	// at once. Nil for no calls.
	Applied func()
	// ConfirmPartial receives such a time after each page but the last of the first full read,
	// while the pages prove it: the keys read so far, up to key last, include all writes before it.
	// Keys after last may be known from stale pages, of which that does not hold. Nil for no calls.
	ConfirmPartial func(proven time.Time, last string)
	// Unhurried reports, after a stale first page of the first full read, whether no caller waits
	// for a proof. If so, full reads use stale pages only, until a proof is found. Nil for never.
	Unhurried func() bool
	// Unproven is called after each full read that yields no freshness proof, with the number of
	// such reads. It returns how long to pause, and whether to read everything again afterwards
	// instead of requesting the changes since. Both results are ignored unless Unhurried has
	// reported true. Nil for no pause and no second read.
	Unproven func(reads int) (pause time.Duration, again bool)
	// Now reads the clock of the times passed to Confirm, nil for time.Now. Where proofs must not
	// appear newer than they are, it must continue while the host is suspended.
	Now func() time.Time
	// StoreFailed receives the first failure after a success.
	StoreFailed func(error)
	Log         zerolog.Logger

	// known holds the revisions of the keys in the copy.
	known map[string]uint64
	// pendingRemovals holds the keys removed around an outage.
	pendingRemovals map[string]pendingRemoval
	// at is the revision up to which the copy is current.
	at uint64
	// fullRead is the full read in progress, nil if there is none. After a failed call it continues
	// at the same page: while a whole fleet reads, the store is slow, and would stay slow if each
	// failure restarted the read.
	fullRead *fullRead
	// unhurried is set while reads use stale pages only. unproven counts the reads that yielded no
	// proof.
	unhurried bool
	unproven  int
	// overdue is set after a full read whose proof is old or missing.
	overdue bool
	// lag, paced and more are the values of the last page.
	lag         time.Duration
	paced, more bool
	// failures counts consecutive failures, unanswered those of the store itself.
	failures, unanswered int
	// lastAnswer is the time of the store's last answer, restored that of its first answer after
	// an outage.
	lastAnswer, restored time.Time
}

// pendingRemoval is the removal of a key at a revision, which takes effect at time due.
type pendingRemoval struct {
	revision uint64
	due      time.Time
}

// fullRead is a full read of all keys, page by page.
type fullRead struct {
	// begun and sent are the time of the request for the first page, by the clock of package
	// time and by Mirror.Now.
	begun, sent time.Time
	// first is the revision of the first page, and at is the lowest revision of any page, after
	// which the mirror then requests the changes. The read proves that it contains all writes
	// before its start, as long as no page is older than the first one and the first one is not
	// itself stale.
	first, at uint64
	stale     bool
	// after is the last key read, seen holds all keys read.
	after string
	seen  map[string]bool
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	m.known = make(map[string]uint64)
	m.pendingRemovals = make(map[string]pendingRemoval)
	if m.Now == nil {
		m.Now = time.Now
	}
	loaded := false
	for first := true; ctx.Err() == nil; first = first && (!loaded || m.unhurried) {
		begun, sent := time.Now(), m.Now()
		var err error
		if loaded {
			err = m.follow(ctx)
		} else {
			sent, err = m.load(ctx, first)
		}
		var compacted *kv.CompactedError
		switch {
		case errors.As(err, &compacted):
			m.Log.Info().Uint64("revision", m.at).Msg("the store forgot its history, reading all again")
			loaded, first, m.unhurried = false, false, false
		case err != nil:
			m.recordFailure(ctx, err)
		default:
			loaded = true
			m.expire()
			if sent.IsZero() {
				loaded = !m.readAgain(ctx)
				continue
			}
			m.unhurried = false
			if m.more {
				m.applied()
				continue
			}
			m.Confirm(sent.Add(-m.lag))
			if !m.paced {
				m.pause(ctx, m.MinInterval-time.Since(begun))
			}
		}
	}
}

// applied reports the changes of an answer that may lack others.
func (m *Mirror) applied() {
	if m.Applied != nil {
		m.Applied()
	}
}

// readAgain pauses after a full read without a proof, and reports whether to read everything
// again.
func (m *Mirror) readAgain(ctx context.Context) bool {
	if m.Unproven == nil {
		return false
	}
	m.unproven++
	pause, again := m.Unproven(m.unproven)
	if !m.unhurried {
		return false
	}
	m.pause(ctx, pause)
	return again
}

// pause waits between two requests.
func (m *Mirror) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.Refresh:
	}
}

// load reads all keys and reconciles the copy with them. It returns the start of the read, which
// may precede a failed call, and the zero time if the pages yield no proof. The first full read is
// reported page by page.
func (m *Mirror) load(ctx context.Context, first bool) (time.Time, error) {
	if m.fullRead == nil {
		m.fullRead = &fullRead{begun: time.Now(), sent: m.Now(), seen: make(map[string]bool)}
	}
	r := m.fullRead
	for {
		page, err := m.page(ctx, r, first)
		if err != nil {
			return r.sent, err
		}
		m.recordAnswer()
		if r.after == "" {
			r.first, r.at = page.At, page.At
		}
		r.at = min(r.at, page.At)
		for _, p := range page.Pairs {
			r.seen[p.Key] = true
			m.put(p)
			r.after = p.Key
		}
		if !page.More || len(page.Pairs) == 0 {
			break
		}
		if first && m.ConfirmPartial != nil && r.proves() {
			m.ConfirmPartial(r.sent, r.after)
		}
	}
	for key := range m.known {
		if !r.seen[key] {
			m.remove(key, r.first)
		}
	}
	m.at, m.lag, m.paced, m.more = r.at, 0, false, false
	m.overdue = !r.proves() || time.Since(r.begun) > m.WatchTimeout
	m.fullRead = nil
	if !r.proves() {
		m.Log.Info().Int("keys", len(r.seen)).Uint64("revision", r.at).Uint64("first_page", r.first).
			Msg("full read yields no freshness proof, requesting the changes since its revision")
		return time.Time{}, nil
	}
	return r.sent, nil
}

// page reads the next page of a full read. While nothing is known yet, all pages but the first may
// be stale, and the first as well while no caller waits for a proof: when a whole fleet starts,
// these pages make up most of the store's load.
func (m *Mirror) page(ctx context.Context, r *fullRead, first bool) (kv.Page, error) {
	if !first {
		return m.Feed.Scan(ctx, m.Prefix, r.after)
	}
	if r.after != "" || m.unhurried {
		r.stale = m.unhurried
		return m.Feed.ScanStale(ctx, m.Prefix, r.after)
	}
	if m.Unhurried != nil {
		page, err := m.Feed.ScanStale(ctx, m.Prefix, "")
		if err != nil {
			return page, err
		}
		for _, p := range page.Pairs {
			m.put(p)
		}
		if m.unhurried = m.Unhurried(); m.unhurried {
			r.stale = true
			return page, nil
		}
	}
	return m.Feed.Scan(ctx, m.Prefix, "")
}

// proves reports whether the pages read so far contain all writes to their keys before the read
// began.
func (r *fullRead) proves() bool {
	return !r.stale && r.at >= r.first
}

// follow requests changes once and applies them.
func (m *Mirror) follow(ctx context.Context) error {
	wait := m.WatchTimeout
	if m.failures > 0 || m.overdue || m.more {
		wait = 0 // detect the store's return, or its continued silence, at once; ask for the rest of the changes
	}
	for _, removal := range m.pendingRemovals {
		wait = min(wait, max(time.Until(removal.due), 0))
	}
	page, err := m.Feed.Changes(ctx, m.Prefix, m.at, wait)
	if err != nil {
		return err
	}
	m.recordAnswer()
	for _, p := range page.Pairs {
		if p.Deleted {
			m.remove(p.Key, p.Revision)
		} else {
			m.put(p)
		}
	}
	if len(page.Pairs) == 0 && page.At > m.at {
		m.Log.Debug().Uint64("from", m.at).Uint64("to", page.At).Msg("revision of the store rose without a change")
	}
	m.at, m.lag, m.paced, m.more, m.overdue = max(m.at, page.At), page.Lag, page.RateLimited, page.More, false
	return nil
}

// put applies a pair, unless the copy has the same or a later revision.
func (m *Mirror) put(p kv.Pair) {
	if _, pending := m.pendingRemovals[p.Key]; pending {
		m.Log.Info().Str("key", p.Key).Uint64("revision", p.Revision).Msg("a key that had lapsed around an outage is back")
		delete(m.pendingRemovals, p.Key)
	}
	if p.Revision <= m.known[p.Key] {
		return
	}
	m.known[p.Key] = p.Revision
	m.Put(p)
}

// remove removes a key deleted at a revision, at once or after the grace period that follows an
// outage.
func (m *Mirror) remove(key string, revision uint64) {
	if _, held := m.known[key]; !held {
		return
	}
	due := m.restored.Add(m.Grace)
	if time.Now().Before(due) {
		if _, pending := m.pendingRemovals[key]; !pending {
			m.pendingRemovals[key] = pendingRemoval{revision, due}
			m.Log.Info().Str("key", key).Uint64("revision", m.known[key]).Uint64("gone_revision", revision).Time("until", due).
				Msg("a key has gone around an outage, and is kept for a grace as it was")
		}
		return
	}
	m.forget(key, revision)
}

func (m *Mirror) forget(key string, revision uint64) {
	delete(m.known, key)
	delete(m.pendingRemovals, key)
	m.Removed(key, revision)
}

// expire removes the pending keys whose grace period is over.
func (m *Mirror) expire() {
	now := time.Now()
	for key, removal := range m.pendingRemovals {
		if !now.Before(removal.due) {
			m.forget(key, removal.revision)
		}
	}
}

// recordFailure records a failure and pauses before the next call.
func (m *Mirror) recordFailure(ctx context.Context, err error) {
	m.failures++
	var unasked *kv.NotSentError
	if !errors.As(err, &unasked) {
		m.unanswered++
	}
	if m.failures == 1 && ctx.Err() == nil {
		m.StoreFailed(err)
	}
	m.pause(ctx, retryWait.Delay(m.failures, rand.Float64()))
}

// An outage of the store is a series of failures, or a silence long enough for records to expire,
// which they do about 3 s after their owner's last renewal. A single lost answer is not an outage.
// Neither is the silence of other gateways queried in place of the store: when it counted as one,
// a departed endpoint was removed 3.3 s late although the store worked well.
const (
	outageFailures = 2
	outageSilence  = 2 * time.Second
)

// recordAnswer records an answer of the store, before its content is applied.
func (m *Mirror) recordAnswer() {
	now := time.Now()
	silence := now.Sub(m.lastAnswer)
	if m.unanswered >= outageFailures || m.unanswered > 0 && silence > outageSilence {
		m.restored = now
		m.Log.Info().Int("failures", m.failures).Dur("silence_ms", silence).Msg("the store answers again")
	}
	m.failures, m.unanswered = 0, 0
	m.lastAnswer = now
}
