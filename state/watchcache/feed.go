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

// The figures of asking other gateways.
const (
	// shortestWait is how long another gateway is given for a newer proof, however old
	// this one's is: a way and back.
	shortestWait = 100 * time.Millisecond
	// storeRest is the least time between two calls of the store by a gateway that
	// asks others, while none of them has an answer: a store that is away or has just
	// come back is not to meet the whole fleet, and those that others ask go on asking
	// it. As much again at most, drawn anew each time, is added.
	storeRest = 2 * time.Second
	// compareRest is the least time between two readings of all because another gateway's replica
	// differs: it may be that one which lacks something. As much again at most is added.
	compareRest = 10 * time.Second
	// firstResort is how long one that has no proof yet leaves the store to those that it has heard: they
	// may have started with it.
	firstResort = time.Second
	// lastResort is by how much a proof must be late for a gateway to ask the store though it has heard
	// those that are there for that, and resortRest the least time between two such calls: the gateways
	// of a hall may differ on who they are. As much again at most is added.
	lastResort = 500 * time.Millisecond
	resortRest = 10 * time.Second
	// overdue is how much later than after its wait the store is asked anew, since its answer does not
	// come: a store that forgets its history leaves questions that wait without one, and a slow one
	// takes less.
	overdue = 250 * time.Millisecond
	// anewWait bounds that second question: a store that forgets its history may leave it without an
	// answer, too, and all is read then.
	anewWait = 300 * time.Millisecond
	// cutFor is how long after a failed call of the store a gateway leaves asking it to
	// others.
	cutFor = 5 * time.Second
)

// Source asks another gateway.
type Source interface {
	Ask(ctx context.Context, address string, q Question) (Answer, error)
}

// Feed is a kv.Feed that asks other gateways where it can, and the store otherwise. A watch of the
// store may pass a change over; a reading of all finds it, and whoever asks this gateway is told it
// late, whatever revision it knows. Set the exported fields before the first call; calls are made by
// one goroutine.
type Feed struct {
	// Store is the store, Source asks other gateways.
	Store  kv.Feed
	Source Source
	// Sources returns the addresses of the gateways to ask, in turn; none when this one is
	// to ask the store. With standby it is to do so when none of them has an answer.
	Sources func() (addresses []string, standby bool)
	// Age returns the age of this gateway's proof, and LateIn how long it takes until that
	// is late: so long another gateway may take to answer.
	Age, LateIn func() time.Duration
	// Cache is what others may ask of this gateway.
	Cache *Cache
	Log   zerolog.Logger

	// failed is when the store last gave no answer, in nanoseconds of Unix time.
	failed atomic.Int64
	// next is when the store may next be asked although others are there for that, and resort the
	// same where these have been heard.
	next, resort time.Time
	// replica is what is known, scan the reading of all that is under way.
	replica replica
	scan    scan
	// compared is when a difference to another gateway's replica last had all read anew.
	compared time.Time
	// silent are the gateways that have lately not been heard when they were asked.
	silent silent
	// proven is set once changes have proven the replica.
	proven bool
	// source is whom the last answer came from, empty for the store.
	source string
	// waiting ends the question that waits at the store, nil while none does; refreshed is set
	// when the next one is not to wait.
	waiting   atomic.Pointer[context.CancelCauseFunc]
	refreshed atomic.Bool
}

// errRefreshed ends a question that waits at the store, since the answer is wanted at once.
var errRefreshed = errors.New("whether the store answers is wanted at once")

// errOverdue ends a question that waits at the store and should have been answered.
var errOverdue = errors.New("the store should have answered")

// Refresh has the question that waits at the store asked again without a wait, or the next one if
// none waits: the next proof, or the failure, is there as soon as the store answers.
func (f *Feed) Refresh() {
	f.refreshed.Store(true)
	if end := f.waiting.Swap(nil); end != nil {
		(*end)(errRefreshed)
	}
}

var _ kv.Feed = (*Feed)(nil)

// Cut reports whether the store has given this gateway no answer lately, so that others
// are to ask it.
func (f *Feed) Cut(now time.Time) bool {
	return now.UnixNano()-f.failed.Load() < int64(cutFor)
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

// scannedPage notes what the store has answered to a question for a page.
func (f *Feed) scannedPage(page kv.Page, err error) (kv.Page, error) {
	f.note(err)
	if err != nil {
		return page, err
	}
	f.scan.take(page)
	if !page.More || len(page.Pairs) == 0 {
		f.scanned()
	}
	return page, nil
}

// scan is a reading of all, page by page.
type scan struct {
	sent time.Time
	// stale is set when the first page may be older than the question for it.
	stale bool
	// first is the revision of the first page, at the lowest one of a page.
	first, at uint64
	pairs     []kv.Pair
	seen      replica
}

// take takes a page in.
func (s *scan) take(page kv.Page) {
	if !s.seen.read() {
		s.first, s.at = page.At, page.At
		s.seen.revisions = make(map[string]uint64)
	}
	s.at = min(s.at, page.At)
	for _, p := range page.Pairs {
		s.seen.put(p.Key, p.Revision)
	}
	s.pairs = append(s.pairs, page.Pairs...)
}

// scanned notes that all has been read. Who asks this gateway is told what differs from
// what had been known before, and need not read all again.
func (f *Feed) scanned() {
	sum := f.scan.seen.sumAt(f.scan.at)
	switch {
	case f.scan.stale || f.scan.at < f.scan.first: // it proves nothing yet
		f.Cache.Begin(f.scan.at)
	case !f.replica.read():
		f.Cache.Reset(f.scan.at, f.scan.sent, sum)
	default:
		page := kv.Page{Pairs: f.scan.differences(f.replica.revisions), At: f.scan.at}
		f.Cache.AddFound(page, f.scan.sent, sum)
	}
	f.replica = f.scan.seen
	f.scan = scan{}
}

// differences returns what has changed since some keys had some revisions. A revision up to which
// all seemed to be known does not do: a watch may have passed changes over.
func (s *scan) differences(known map[string]uint64) []kv.Pair {
	var list []kv.Pair
	for _, p := range s.pairs {
		if p.Revision > known[p.Key] {
			list = append(list, p)
		}
	}
	for key := range known {
		if _, there := s.seen.revisions[key]; !there {
			list = append(list, kv.Pair{Key: key, Revision: s.at, Deleted: true})
		}
	}
	return list
}

// Changes implements kv.Feed.
func (f *Feed) Changes(ctx context.Context, prefix string, revision uint64, wait time.Duration) (kv.Page, error) {
	addresses, standby := f.Sources()
	if len(addresses) == 0 {
		return f.ask(ctx, prefix, revision, wait)
	}
	sent := f.Cache.now()
	var last error
	alive, forgotten := false, false
	for _, address := range f.silent.last(addresses, time.Now()) {
		q := Question{After: revision, Age: f.Age()}
		if wait > 0 {
			q.Wait = max(f.LateIn(), shortestWait)
		}
		answer, err := f.Source.Ask(ctx, address, q)
		if err == nil {
			f.use(address, nil)
			return f.relayed(address, answer, revision, sent)
		}
		if ctx.Err() != nil {
			return kv.Page{}, err
		}
		if errors.Is(err, ErrRefused) {
			alive = true
		} else {
			f.silent.note(address, time.Now())
		}
		last, forgotten = err, forgotten || errors.Is(err, ErrForgotten)
	}
	if forgotten { // the store keeps more, and reading all again takes several calls
		return f.ask(ctx, prefix, revision, 0)
	}
	if !f.mayAsk(alive && !standby, time.Now()) {
		return kv.Page{}, trace.Wrap(&kv.UnaskedError{Err: last})
	}
	f.use("", last)
	return f.ask(ctx, prefix, revision, 0)
}

// mayAsk reports whether this gateway is to ask the store at now though others are there for that. Where
// these have been heard, it is left to them until this one's proof is old.
func (f *Feed) mayAsk(left bool, now time.Time) bool {
	next, rest := &f.next, storeRest
	if left {
		if f.LateIn() > -lastResort {
			return false
		}
		if !f.proven && f.resort.IsZero() {
			f.resort = now.Add(firstResort)
		}
		next, rest = &f.resort, resortRest
	}
	if now.Before(*next) {
		return false
	}
	*next = now.Add(rest + time.Duration(rand.Float64()*float64(rest)))
	return true
}

// relayed returns the page of another gateway's answer to a question for the changes after a
// revision that was sent at a time. Where the replicas differ that this gateway and the other one
// have of the same revision, one of them lacks a change, and all is read anew.
func (f *Feed) relayed(address string, a Answer, revision uint64, sent time.Time) (kv.Page, error) {
	page := kv.Page{Pairs: a.Pairs, At: a.At, Lag: a.Age - a.Held, Paced: true}
	page, sum := f.learn(page, sent.Add(-page.Lag), false, revision)
	if a.Sum == 0 || sum == 0 || a.Sum == sum || revision > a.At || time.Since(f.compared) < compareRest {
		return page, nil
	}
	f.compared = time.Now().Add(time.Duration(rand.Float64() * float64(compareRest)))
	f.Log.Warn().Str("address", address).Uint64("revision", a.At).Int("keys", len(f.replica.revisions)).
		Msg("another gateway holds something else of the store at the same revision, reading all again")
	return kv.Page{}, trace.Wrap(&kv.CompactedError{Revision: a.At})
}

// ask asks the store itself.
func (f *Feed) ask(ctx context.Context, prefix string, revision uint64, wait time.Duration) (kv.Page, error) {
	sent := f.Cache.now()
	page, err := f.wait(ctx, prefix, revision, wait)
	late := errors.Is(err, errOverdue)
	if late || errors.Is(err, errRefreshed) {
		again := f.Cache.now()
		page, err = f.anew(ctx, prefix, revision, late)
		page.Lag = sent.Sub(again) // it proves more than the question that waited
		sent = again
	}
	f.note(err)
	if err == nil {
		page, _ = f.learn(page, sent, true, revision)
	}
	return page, err
}

// learn takes a page of the changes after a revision into the replica and the cache, and returns it
// with what is news alone, and the sum of the replica. A reading of all holds changes beyond its
// revision, which are no news and belong into the cache all the same: who asks may lack them.
func (f *Feed) learn(page kv.Page, proven time.Time, direct bool, revision uint64) (kv.Page, uint64) {
	all := page
	page.Pairs, all.Pairs = f.replica.learn(page.Pairs, f.Cache.At())
	sum := f.replica.sumAt(max(revision, page.At))
	f.Cache.Add(all, proven, direct, sum)
	f.proven = true
	return page, sum
}

// anew asks the store without a wait. Where a question is overdue already and this one has no answer
// either, it returns a CompactedError, so that all is read.
func (f *Feed) anew(ctx context.Context, prefix string, revision uint64, late bool) (kv.Page, error) {
	if !late {
		return f.Store.Changes(ctx, prefix, revision, 0)
	}
	bounded, end := context.WithTimeout(ctx, anewWait)
	defer end()
	page, err := f.Store.Changes(bounded, prefix, revision, 0)
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		f.Log.Warn().Uint64("revision", revision).Dur("proof_age_ms", f.Age()).
			Msg("the store leaves questions for changes without an answer, reading all again")
		return kv.Page{}, trace.Wrap(&kv.CompactedError{Revision: revision})
	}
	return page, err
}

// wait asks the store, and returns errRefreshed when that was refreshed, errOverdue when the answer is.
func (f *Feed) wait(ctx context.Context, prefix string, revision uint64, wait time.Duration) (kv.Page, error) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	f.waiting.Store(&end)
	defer f.waiting.Store(nil)
	if f.refreshed.Swap(false) {
		wait = 0
	}
	if wait > 0 {
		late := time.AfterFunc(wait+overdue, func() { end(errOverdue) })
		defer late.Stop()
	}
	page, err := f.Store.Changes(ctx, prefix, revision, wait)
	f.refreshed.Store(false)
	if cause := context.Cause(ctx); err != nil && (cause == errRefreshed || cause == errOverdue) {
		return page, cause
	}
	return page, err
}

// note notes whether the store has answered: one that has forgotten its history has.
func (f *Feed) note(err error) {
	var compacted *kv.CompactedError
	if err == nil || errors.As(err, &compacted) {
		f.failed.Store(0)
		return
	}
	f.failed.Store(time.Now().UnixNano())
	f.Cache.Fail()
}

// use logs whom changes come from when that is another one than before.
func (f *Feed) use(source string, why error) {
	if source == f.source {
		return
	}
	f.source = source
	f.Log.Info().Str("address", source).Dur("proof_age_ms", f.Age()).AnErr("error", why).
		Msg("changes of the store come from another gateway, or with no address from the store")
}
