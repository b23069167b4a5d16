// Package mirror keeps a copy of the keys under a prefix of a store current.
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

// retryWait spaces out calls of a store that fails: the first retry comes soon,
// since a lost answer is the usual cause, and the last ones often enough to be
// back within a second of the store.
var retryWait = backoff.Backoff{Base: 60 * time.Millisecond, Max: 600 * time.Millisecond}

// Mirror follows a prefix of a store. Set the exported fields before Run; its
// functions are called from Run's goroutine alone.
type Mirror struct {
	// Feed is the store.
	Feed kv.Feed
	// Prefix selects the keys, empty for all.
	Prefix string
	// Wait is how long one question for changes waits. It bounds the age of the
	// last confirmation while nothing changes.
	Wait time.Duration
	// Settle is the least time between two questions for changes, so that
	// changes that come in quick succession are taken together.
	Settle time.Duration
	// Refresh ends a rest between two questions when something is received, nil for never.
	Refresh <-chan struct{}
	// Grace is how long after an outage of the store an entry that has gone is
	// kept: leases lapse while nobody can renew them, and their owners return.
	Grace time.Duration
	// Put and Gone are told of each key that was written or has gone, and of the revision at which
	// it had.
	Put  func(kv.Pair)
	Gone func(key string, revision uint64)
	// Confirm is told, after the changes of each answer, a time by which the copy held
	// all that had been written: when the question was sent, or what another process
	// that answered it could prove.
	Confirm func(proven time.Time)
	// Partial is told the same after each page but the last of the first reading of all, while the
	// pages prove it: what they hold had been written by then. Nil for nobody.
	Partial func(proven time.Time)
	// Unhurried reports, after a stale first page of the first reading, whether nobody waits for it to be
	// proven: all readings are of stale pages alone then until one is. Nil for never.
	Unhurried func() bool
	// Unproven is told of each reading of all that proves nothing yet, and of their number. It returns
	// how long to rest, and whether to read all again after it rather than to ask for what has changed;
	// neither is done once the reading is hurried. Nil for neither.
	Unproven func(readings int) (rest time.Duration, again bool)
	// Now reads the clock of the times that Confirm is told, nil for time.Now. Where proofs must
	// not seem younger than they are, it goes on while the host is suspended.
	Now func() time.Time
	// Lost is told of the first failure after a success.
	Lost func(error)
	Log  zerolog.Logger

	// known are the revisions of the keys in the copy.
	known map[string]uint64
	// doubtful are keys that have gone around an outage.
	doubtful map[string]doubt
	// at is the revision up to which the copy is current.
	at uint64
	// reading is the reading of all that is under way, nil for none. It goes on where a call
	// failed: while a whole fleet reads, the store is slow, and would be for good if each
	// failure began it anew.
	reading *reading
	// unhurried is set while readings are of stale pages alone, and unproven counts those that proved
	// nothing.
	unhurried bool
	unproven  int
	// overdue is set after a reading whose proof is old, or that proves nothing.
	overdue bool
	// lag and paced are those of the last page.
	lag   time.Duration
	paced bool
	// failures counts the failures in a row, unanswered those of the store itself.
	failures, unanswered int
	// lastAnswer is when the store last answered, restored when it did so again
	// after an outage.
	lastAnswer, restored time.Time
}

// doubt is a key that has gone at a revision, and counts as gone from due on.
type doubt struct {
	revision uint64
	due      time.Time
}

// reading is a reading of all keys, page by page.
type reading struct {
	// begun and sent are when the first page was asked for, by the clock of package time and by
	// that of the proofs.
	begun, sent time.Time
	// first is the revision of the first page, and at the lowest one of a page: what changes
	// later is told by changes. The reading proves what had been written when it began while
	// no page is older than the first, unless that is stale itself.
	first, at uint64
	stale     bool
	// after is the last key that was read, and seen are all.
	after string
	seen  map[string]bool
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	m.known = make(map[string]uint64)
	m.doubtful = make(map[string]doubt)
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
			m.failed(ctx, err)
		default:
			loaded = true
			m.expire()
			if sent.IsZero() {
				loaded = !m.readAgain(ctx)
				continue
			}
			m.unhurried = false
			m.Confirm(sent.Add(-m.lag))
			if !m.paced {
				m.rest(ctx, m.Settle-time.Since(begun))
			}
		}
	}
}

// readAgain rests after a reading that proves nothing, and reports whether all is to be read again.
func (m *Mirror) readAgain(ctx context.Context) bool {
	if m.Unproven == nil {
		return false
	}
	m.unproven++
	rest, again := m.Unproven(m.unproven)
	if !m.unhurried {
		return false
	}
	m.rest(ctx, rest)
	return again
}

// rest waits between two questions.
func (m *Mirror) rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.Refresh:
	}
}

// load reads all keys and settles the difference to the copy. It returns when the reading
// began, which may be before a call that failed, and the zero time when the pages prove nothing.
// What the first one reads is told page by page.
func (m *Mirror) load(ctx context.Context, first bool) (time.Time, error) {
	if m.reading == nil {
		m.reading = &reading{begun: time.Now(), sent: m.Now(), seen: make(map[string]bool)}
	}
	r := m.reading
	for {
		page, err := m.page(ctx, r, first)
		if err != nil {
			return r.sent, err
		}
		m.answered()
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
		if first && m.Partial != nil && r.proves() {
			m.Partial(r.sent)
		}
	}
	for key := range m.known {
		if !r.seen[key] {
			m.gone(key, r.first)
		}
	}
	m.at, m.lag, m.paced = r.at, 0, false
	m.overdue = !r.proves() || time.Since(r.begun) > m.Wait
	m.reading = nil
	if !r.proves() {
		m.Log.Info().Int("keys", len(r.seen)).Uint64("revision", r.at).Uint64("first_page", r.first).
			Msg("what has been read of the store is old, asking for what has changed since")
		return time.Time{}, nil
	}
	return r.sent, nil
}

// page reads the next page of a reading. Where nothing is known yet, all pages but the first may be
// stale, and that one, too, while nobody waits for the reading to be proven: when a whole fleet starts,
// they are most of what it asks of the store.
func (m *Mirror) page(ctx context.Context, r *reading, first bool) (kv.Page, error) {
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

// proves reports whether the pages so far hold all that had been written under their keys when the
// reading began.
func (r *reading) proves() bool {
	return !r.stale && r.at >= r.first
}

// follow asks once for changes and applies them.
func (m *Mirror) follow(ctx context.Context) error {
	wait := m.Wait
	if m.failures > 0 || m.overdue {
		wait = 0 // a store that is back is to be known at once, and its silence too
	}
	for _, d := range m.doubtful {
		wait = min(wait, max(time.Until(d.due), 0))
	}
	page, err := m.Feed.Changes(ctx, m.Prefix, m.at, wait)
	if err != nil {
		return err
	}
	m.answered()
	for _, p := range page.Pairs {
		if p.Deleted {
			m.gone(p.Key, p.Revision)
		} else {
			m.put(p)
		}
	}
	if len(page.Pairs) == 0 && page.At > m.at {
		m.Log.Debug().Uint64("from", m.at).Uint64("to", page.At).Msg("the store's revision has risen without a change")
	}
	m.at, m.lag, m.paced, m.overdue = max(m.at, page.At), page.Lag, page.Paced, false
	return nil
}

// put takes in a pair, unless the copy has it or a later one.
func (m *Mirror) put(p kv.Pair) {
	if _, waited := m.doubtful[p.Key]; waited {
		m.Log.Info().Str("key", p.Key).Uint64("revision", p.Revision).Msg("a key that had lapsed around an outage is back")
		delete(m.doubtful, p.Key)
	}
	if p.Revision <= m.known[p.Key] {
		return
	}
	m.known[p.Key] = p.Revision
	m.Put(p)
}

// gone takes a key away that has gone at a revision, at once or after the grace of an outage.
func (m *Mirror) gone(key string, revision uint64) {
	if _, held := m.known[key]; !held {
		return
	}
	due := m.restored.Add(m.Grace)
	if time.Now().Before(due) {
		if _, waits := m.doubtful[key]; !waits {
			m.doubtful[key] = doubt{revision, due}
			m.Log.Info().Str("key", key).Uint64("revision", m.known[key]).Uint64("gone_revision", revision).Time("until", due).
				Msg("a key has gone around an outage, and is kept for a grace as it was")
		}
		return
	}
	m.forget(key, revision)
}

func (m *Mirror) forget(key string, revision uint64) {
	delete(m.known, key)
	delete(m.doubtful, key)
	m.Gone(key, revision)
}

// expire forgets the doubtful keys whose grace is over.
func (m *Mirror) expire() {
	now := time.Now()
	for key, d := range m.doubtful {
		if !now.Before(d.due) {
			m.forget(key, d.revision)
		}
	}
}

// failed notes a failure and waits before the next call.
func (m *Mirror) failed(ctx context.Context, err error) {
	m.failures++
	var unasked *kv.UnaskedError
	if !errors.As(err, &unasked) {
		m.unanswered++
	}
	if m.failures == 1 && ctx.Err() == nil {
		m.Lost(err)
	}
	m.rest(ctx, retryWait.Delay(m.failures, rand.Float64()))
}

// What counts as an outage of the store: several failures in a row, or a silence in
// which records may have lapsed, which do so after some three seconds without their
// owner. A single lost answer is none, and neither is the silence of other gateways that
// are asked in its place: taken for one, it kept an endpoint that had left while the store
// was well in use for 3.3 s.
const (
	outageFailures = 2
	outageSilence  = 2 * time.Second
)

// answered notes an answer, before its content is taken in.
func (m *Mirror) answered() {
	now := time.Now()
	silence := now.Sub(m.lastAnswer)
	if m.unanswered >= outageFailures || m.unanswered > 0 && silence > outageSilence {
		m.restored = now
		m.Log.Info().Int("failures", m.failures).Dur("silence_ms", silence).Msg("the store answers again")
	}
	m.failures, m.unanswered = 0, 0
	m.lastAnswer = now
}
