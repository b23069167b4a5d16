package watchcache

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/grademill/grademill/port/kv"
)

// Timing of requests to other gateways and to the store.
const (
	// minPeerWait is the least time that another gateway gets to provide a newer proof, whatever
	// the age of this gateway's proof: one network round trip.
	minPeerWait = 100 * time.Millisecond
	// fallbackInterval is the least time between two calls to the store while no other gateway has
	// an answer. It keeps the requests of the whole fleet from a store that is unavailable or has
	// just recovered; the gateways that always query the store continue to do so. A random extra
	// of up to the same length is added each time.
	fallbackInterval = 2 * time.Second
	// compareInterval is the least time between two full reads caused by a difference from another
	// gateway's replica. It bounds their rate because the other replica may be the incomplete one.
	// A random extra of up to the same length is added.
	compareInterval = 10 * time.Second
	// initialFallbackDelay is how long a gateway that has had no proof yet leaves the store to
	// other gateways that answered its request without a proof, since they may have started at the
	// same time.
	initialFallbackDelay = time.Second
	// staleFallbackAfter is how overdue its proof must be for a gateway to query the store although
	// the other gateways answer, but without a newer proof: the gateways of a hall may disagree on
	// which of them query the store. staleFallbackInterval is the least time between two such
	// calls. A random extra of up to the same length is added to the interval.
	staleFallbackAfter    = 500 * time.Millisecond
	staleFallbackInterval = 10 * time.Second
	// overdueAfter is how long after the end of its wait a request to the store is overdue and is
	// repeated. A store that compacts its history leaves waiting requests unanswered; one that is
	// only slow answers within this time.
	overdueAfter = 250 * time.Millisecond
	// overdueRetryTimeout bounds the repeated request, which a store that compacts its history may
	// leave unanswered as well. After it, everything is read again.
	overdueRetryTimeout = 300 * time.Millisecond
	// failureWindow is how long after a failed call to the store Cut reports true, so that other
	// gateways query the store instead.
	failureWindow = 5 * time.Second
)

// Source queries another gateway.
type Source interface {
	Fetch(ctx context.Context, address string, q Request) (Answer, error)
}

// Store is the store's interface for reading.
type Store interface {
	kv.Feed
	// Revision returns the revision of the store: it is at least that of every write before the call
	// was sent.
	Revision(ctx context.Context) (uint64, error)
}

// Feed is a kv.Feed that queries other gateways where possible, and the store otherwise.
//
// A watch of the store may miss a change. A full read finds it, and gateways that query this one
// then receive it late, whatever revision they already know.
//
// Set the exported fields before the first call. Calls must come from a single goroutine.
type Feed struct {
	// Store is the store, Source queries other gateways.
	Store  Store
	Source Source
	// Sources returns the addresses of the gateways to query, in order; none if this gateway
	// queries the store itself. If standby is set, it also queries the store when none of them has
	// an answer.
	Sources func() (addresses []string, standby bool)
	// Age returns the age of this gateway's freshness proof. TimeUntilLate returns the time until
	// the proof is overdue, which bounds the wait for another gateway's answer.
	Age, TimeUntilLate func() time.Duration
	// Cache holds what other gateways may request from this one.
	Cache *Cache
	// Latest is a key of which only the newest value is of use, such as the configuration; empty for none. Older values in
	// an answer are left out. It is read on its own when the store answers again after a failure and what was missed takes
	// several answers: they may take seconds.
	Latest string
	Log    zerolog.Logger

	// failed is when a call to the store last failed, in nanoseconds of Unix time.
	failed atomic.Int64
	// next is the earliest time of the next call to the store if no other gateway answers,
	// nextStale the same if they answer without a newer proof.
	next, nextStale time.Time
	// replica holds the known revisions, scan the full read in progress.
	replica replica
	scan    scan
	// compared is when a difference from another gateway's replica last caused a full read, plus
	// the random extra.
	compared time.Time
	// partial is set if the last answer of the store may lack changes. target is a revision of the
	// store as of targetAt that the replica has yet to reach to be proven current, 0 for none.
	partial  bool
	target   uint64
	targetAt time.Time
	// silent are the gateways that recently did not answer.
	silent silent
	// proven is set once a page of changes has proven the replica current.
	proven bool
	// source is the address that the last answer came from, empty for the store.
	source string
	// waiting cancels the request that waits at the store, nil if there is none. refreshed is set
	// if the next request must not wait.
	waiting   atomic.Pointer[context.CancelCauseFunc]
	refreshed atomic.Bool
}

// errRefreshed cancels a request that waits at the store, because the caller of Refresh needs an
// immediate answer.
var errRefreshed = errors.New("request to the store repeated without a wait")

// errOverdue cancels a request to the store whose answer is overdue.
var errOverdue = errors.New("answer of the store is overdue")

// Refresh repeats the request that waits at the store without a wait; if none waits, the next one
// does not wait. The next proof, or the failure, then arrives as soon as the store answers.
func (f *Feed) Refresh() {
	f.refreshed.Store(true)
	if end := f.waiting.Swap(nil); end != nil {
		(*end)(errRefreshed)
	}
}

var _ kv.Feed = (*Feed)(nil)

// Cut reports whether the store is unreachable for this gateway: its latest call to the store failed
// less than failureWindow ago. Other gateways should then query the store instead.
func (f *Feed) Cut(now time.Time) bool {
	return now.UnixNano()-f.failed.Load() < int64(failureWindow)
}

// Scan implements kv.Feed.
func (f *Feed) Scan(ctx context.Context, prefix, after string) (kv.Page, error) {
	if after == "" {
		f.scan = scan{sent: f.Cache.now()}
	}
	page, err := f.Store.Scan(ctx, prefix, after)
	return f.scannedPage(page, err)
}

// ScanStale implements kv.Feed.
func (f *Feed) ScanStale(ctx context.Context, prefix, after string) (kv.Page, error) {
	if after == "" {
		f.scan = scan{stale: true}
	}
	page, err := f.Store.ScanStale(ctx, prefix, after)
	return f.scannedPage(page, err)
}

// scannedPage records the store's answer to a request for a page.
func (f *Feed) scannedPage(page kv.Page, err error) (kv.Page, error) {
	f.note(err)
	if err != nil {
		return page, err
	}
	f.scan.addPage(page)
	if !page.More || len(page.Pairs) == 0 {
		f.finishScan()
	}
	return page, nil
}

// finishScan records a completed full read. Gateways that query this one receive the differences
// from the previously known state, and need not read everything again.
func (f *Feed) finishScan() {
	sum := f.scan.seen.sumAt(f.scan.at)
	switch {
	case f.scan.stale || f.scan.at < f.scan.first: // yields no freshness proof
		f.Cache.ResetUnproven(f.scan.at)
	case !f.replica.loaded():
		f.Cache.Reset(f.scan.at, f.scan.sent, sum)
	default:
		page := kv.Page{Pairs: f.scan.differences(f.replica.revisions), At: f.scan.at}
		f.Cache.AddFromScan(page, f.scan.sent, sum)
	}
	f.replica = f.scan.seen
	f.scan = scan{}
	f.forgetTarget()
}

// Changes implements kv.Feed.
func (f *Feed) Changes(ctx context.Context, prefix string, revision uint64, wait time.Duration) (kv.Page, error) {
	addresses, standby := f.Sources()
	if len(addresses) == 0 {
		return f.askStore(ctx, prefix, revision, wait)
	}
	sent := f.Cache.now()
	var last error
	answered, forgotten := false, false
	for _, address := range f.silent.last(addresses, time.Now()) {
		q := Request{After: revision, Age: f.Age()}
		if wait > 0 {
			q.Wait = max(f.TimeUntilLate(), minPeerWait)
		}
		answer, err := f.Source.Fetch(ctx, address, q)
		if err == nil {
			f.logSource(address, nil)
			f.forgetTarget()
			return f.applyRelayed(address, answer, revision, sent)
		}
		if ctx.Err() != nil {
			return kv.Page{}, err
		}
		if errors.Is(err, ErrRefused) {
			answered = true
		} else {
			f.silent.note(address, time.Now())
		}
		last, forgotten = err, forgotten || errors.Is(err, ErrNotRetained)
	}
	if forgotten { // the store retains more history, and a full read takes several calls
		return f.askStore(ctx, prefix, revision, 0)
	}
	if !f.mayAskStore(answered && !standby, time.Now()) {
		return kv.Page{}, trace.Wrap(&kv.NotSentError{Err: last})
	}
	f.logSource("", last)
	return f.askStore(ctx, prefix, revision, 0)
}

// mayAskStore reports whether this gateway may query the store at now although it normally queries
// other gateways. If leaveToOthers is set, those have answered without a newer proof, and this
// gateway queries the store only once its own proof is overdue by staleFallbackAfter.
func (f *Feed) mayAskStore(leaveToOthers bool, now time.Time) bool {
	next, interval := &f.next, fallbackInterval
	if leaveToOthers {
		if f.TimeUntilLate() > -staleFallbackAfter {
			return false
		}
		if !f.proven && f.nextStale.IsZero() {
			f.nextStale = now.Add(initialFallbackDelay)
		}
		next, interval = &f.nextStale, staleFallbackInterval
	}
	if now.Before(*next) {
		return false
	}
	*next = now.Add(interval + time.Duration(rand.Float64()*float64(interval)))
	return true
}

// applyRelayed returns the page of another gateway's answer to a request for the changes after
// revision, sent at time sent. If the replicas of both gateways differ at the same revision, one
// of them lacks a change, and it returns a CompactedError to cause a full read.
func (f *Feed) applyRelayed(address string, a Answer, revision uint64, sent time.Time) (kv.Page, error) {
	page := kv.Page{Pairs: a.Pairs, At: a.At, Lag: a.Age - a.Waited, RateLimited: true}
	page, sum := f.apply(page, sent.Add(-page.Lag), false, revision)
	if a.Sum == 0 || sum == 0 || a.Sum == sum || revision > a.At || time.Since(f.compared) < compareInterval {
		return page, nil
	}
	f.compared = time.Now().Add(time.Duration(rand.Float64() * float64(compareInterval)))
	f.Log.Warn().Str("address", address).Uint64("revision", a.At).Int("keys", len(f.replica.revisions)).
		Msg("another gateway holds something else of the store at the same revision, reading all again")
	return kv.Page{}, trace.Wrap(&kv.CompactedError{Revision: a.At})
}

// askStore queries the store itself. If the last answer may lack changes, it first asks the store for
// its revision: a replica that has reached it holds everything written before. That answer was passed
// on at once, since another call may take long.
func (f *Feed) askStore(ctx context.Context, prefix string, revision uint64, wait time.Duration) (kv.Page, error) {
	sent := f.Cache.now()
	if f.partial {
		if err := f.setTarget(ctx, revision); err != nil {
			return kv.Page{}, err
		}
		if revision >= f.target {
			return f.applyProven(kv.Page{At: revision}, sent, revision), nil
		}
		f.Log.Info().Uint64("revision", revision).Uint64("store_revision", f.target).Dur("proof_age_ms", f.Age()).
			Msg("the changes have not reached the revision of the store yet")
	}
	page, err := f.wait(ctx, prefix, revision, wait)
	overdue := errors.Is(err, errOverdue)
	if overdue || errors.Is(err, errRefreshed) {
		resent := f.Cache.now()
		page, err = f.askAgain(ctx, prefix, revision, overdue)
		page.Lag = sent.Sub(resent) // negative: the proof is newer than the request that waited
		sent = resent
	}
	if err == nil {
		err = f.checkChanges(prefix, revision, page)
	}
	regained := f.failed.Load() != 0
	f.note(err)
	if err != nil {
		return page, err
	}
	if regained && page.More {
		page.Pairs = f.addLatest(ctx, page.Pairs)
	}
	page.Pairs = newestOf(f.Latest, page.Pairs)
	if page.More && f.target != 0 && page.At >= f.target {
		return f.applyProven(page, sent, revision), nil
	}
	if !page.More {
		f.forgetTarget()
	}
	f.partial = page.More
	page, _ = f.apply(page, sent, true, revision)
	return page, nil
}

// apply applies a page of the changes after a revision to the replica and the cache, which it proves
// current as of a time unless changes may be missing. It returns the page reduced to new changes, and
// the checksum of the replica. A full read contains changes beyond its revision. They are not new to
// this gateway, but are added to the cache because requesters may lack them.
func (f *Feed) apply(page kv.Page, proven time.Time, direct bool, revision uint64) (kv.Page, uint64) {
	all := page
	page.Pairs, all.Pairs = f.replica.apply(page.Pairs, f.Cache.At())
	sum := f.replica.sumAt(max(revision, page.At))
	if page.More {
		f.Cache.AddPartial(all, sum)
		return page, sum
	}
	f.Cache.Add(all, proven, direct, sum)
	f.proven = true
	return page, sum
}

// askAgain queries the store without a wait. If overdue is set, the previous request was overdue; if
// this one gets no answer within overdueRetryTimeout either, askAgain returns a CompactedError, so
// that everything is read again.
func (f *Feed) askAgain(ctx context.Context, prefix string, revision uint64, overdue bool) (kv.Page, error) {
	if !overdue {
		return f.Store.Changes(ctx, prefix, revision, 0)
	}
	bounded, end := context.WithTimeout(ctx, overdueRetryTimeout)
	defer end()
	page, err := f.Store.Changes(bounded, prefix, revision, 0)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		f.Log.Warn().Uint64("revision", revision).Dur("proof_age_ms", f.Age()).
			Msg("the store leaves questions for changes without an answer, reading all again")
		return kv.Page{}, trace.Wrap(&kv.CompactedError{Revision: revision})
	}
	return page, err
}

// wait queries the store with a wait. It returns errRefreshed if Refresh interrupted the request,
// and errOverdue if the answer is overdue.
func (f *Feed) wait(ctx context.Context, prefix string, revision uint64, wait time.Duration) (kv.Page, error) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	f.waiting.Store(&end)
	defer f.waiting.Store(nil)
	if f.refreshed.Swap(false) {
		wait = 0
	}
	if wait > 0 {
		late := time.AfterFunc(wait+overdueAfter, func() { end(errOverdue) })
		defer late.Stop()
	}
	page, err := f.Store.Changes(ctx, prefix, revision, wait)
	f.refreshed.Store(false)
	if cause := context.Cause(ctx); err != nil && (cause == errRefreshed || cause == errOverdue) {
		return page, cause
	}
	return page, err
}

// note records whether the store answered; a CompactedError is an answer.
func (f *Feed) note(err error) {
	var compacted *kv.CompactedError
	if err == nil || errors.As(err, &compacted) {
		f.failed.Store(0)
		return
	}
	f.failed.Store(time.Now().UnixNano())
	f.Cache.SetIndirect()
}

// logSource logs a change of the source of changes.
func (f *Feed) logSource(source string, why error) {
	if source == f.source {
		return
	}
	f.source = source
	f.Log.Info().Str("address", source).Dur("proof_age_ms", f.Age()).AnErr("error", why).
		Msg("source of store changes switched; without an address it is the store itself")
}
