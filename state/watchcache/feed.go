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
	// cutFor is how long after a failed call of the store a gateway leaves asking it to
	// others.
	cutFor = 5 * time.Second
)

// Source asks another gateway.
type Source interface {
	Ask(ctx context.Context, address string, q Question) (Answer, error)
}

// Feed is a kv.Feed that asks other gateways where it can, and the store otherwise. Set
// the exported fields before the first call; calls are made by one goroutine.
type Feed struct {
	// Store is the store, Source asks other gateways.
	Store  kv.Feed
	Source Source
	// Seats returns the addresses of the gateways to ask, in turn; none when this one is
	// to ask the store.
	Seats func() []string
	// Age returns the age of this gateway's proof, and LateIn how long it takes until that
	// is late: so long another gateway may take to answer.
	Age, LateIn func() time.Duration
	// Cache is what others may ask of this gateway.
	Cache *Cache
	Log   zerolog.Logger

	// failed is when the store last gave no answer, in nanoseconds of Unix time.
	failed atomic.Int64
	// next is when the store may next be asked although others are there for that.
	next time.Time
	// keys are those that are there, scan is the reading of all that is under way.
	keys map[string]bool
	scan scan
	// source is whom the last answer came from, empty for the store.
	source string
	// waiting ends the question that waits at the store, nil while none does; refreshed is set
	// when the next one is not to wait.
	waiting   atomic.Pointer[context.CancelCauseFunc]
	refreshed atomic.Bool
}

// errRefreshed ends a question that waits at the store, since the answer is wanted at once.
var errRefreshed = errors.New("whether the store answers is wanted at once")

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
		f.scan = scan{sent: f.Cache.now(), seen: make(map[string]bool)}
	}
	page, err := f.Store.Scan(ctx, prefix, after)
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
	sent  time.Time
	at    uint64
	pairs []kv.Pair
	seen  map[string]bool
}

// take takes a page in.
func (s *scan) take(page kv.Page) {
	if len(s.seen) == 0 {
		s.at = page.At
	}
	for _, p := range page.Pairs {
		s.seen[p.Key] = true
	}
	s.pairs = append(s.pairs, page.Pairs...)
}

// scanned notes that all has been read. Who asks this gateway is told what differs from
// what had been known before, and need not read all again.
func (f *Feed) scanned() {
	if f.keys == nil {
		f.Cache.Reset(f.scan.at, f.scan.sent)
	} else {
		page := kv.Page{Pairs: f.scan.differences(f.Cache.At(), f.keys), At: f.scan.at}
		f.Cache.Add(page, f.scan.sent, true)
	}
	f.keys = f.scan.seen
	f.scan = scan{}
}

// differences returns what has changed since a revision at which some keys were there.
func (s *scan) differences(since uint64, keys map[string]bool) []kv.Pair {
	var list []kv.Pair
	for _, p := range s.pairs {
		if p.Revision > since {
			list = append(list, p)
		}
	}
	for key := range keys {
		if !s.seen[key] {
			list = append(list, kv.Pair{Key: key, Revision: s.at, Deleted: true})
		}
	}
	return list
}

// learn keeps the keys that are there current.
func (f *Feed) learn(pairs []kv.Pair) {
	if f.keys == nil {
		return // all is still to be read
	}
	for _, p := range pairs {
		if p.Deleted {
			delete(f.keys, p.Key)
		} else {
			f.keys[p.Key] = true
		}
	}
}

// Changes implements kv.Feed.
func (f *Feed) Changes(ctx context.Context, prefix string, revision uint64, wait time.Duration) (kv.Page, error) {
	seats := f.Seats()
	if len(seats) == 0 {
		return f.ask(ctx, prefix, revision, wait)
	}
	sent := f.Cache.now()
	var last error
	for _, address := range seats {
		q := Question{After: revision, Age: f.Age()}
		if wait > 0 {
			q.Wait = max(f.LateIn(), shortestWait)
		}
		answer, err := f.Source.Ask(ctx, address, q)
		if err == nil {
			f.use(address, nil)
			return f.relayed(answer, sent), nil
		}
		if ctx.Err() != nil {
			return kv.Page{}, err
		}
		last = err
	}
	if errors.Is(last, ErrForgotten) { // all is read again, which is one call
		return kv.Page{}, trace.Wrap(&kv.CompactedError{Revision: revision})
	}
	if now := time.Now(); now.Before(f.next) {
		return kv.Page{}, trace.Wrap(&kv.UnaskedError{Err: last})
	}
	f.next = time.Now().Add(storeRest + time.Duration(rand.Float64()*float64(storeRest)))
	f.use("", last)
	return f.ask(ctx, prefix, revision, 0)
}

// relayed returns the page of another gateway's answer to a question that was sent at a
// time.
func (f *Feed) relayed(a Answer, sent time.Time) kv.Page {
	page := kv.Page{Pairs: a.Pairs, At: a.At, Lag: a.Age - a.Held, Paced: true}
	f.learn(page.Pairs)
	f.Cache.Add(page, sent.Add(-page.Lag), false)
	return page
}

// ask asks the store itself.
func (f *Feed) ask(ctx context.Context, prefix string, revision uint64, wait time.Duration) (kv.Page, error) {
	sent := f.Cache.now()
	page, err := f.wait(ctx, prefix, revision, wait)
	if errors.Is(err, errRefreshed) {
		again := f.Cache.now()
		page, err = f.Store.Changes(ctx, prefix, revision, 0)
		page.Lag = sent.Sub(again) // it proves more than the question that waited
		sent = again
	}
	f.note(err)
	if err == nil {
		f.learn(page.Pairs)
		f.Cache.Add(page, sent, true)
	}
	return page, err
}

// wait asks the store, and returns errRefreshed when that was refreshed.
func (f *Feed) wait(ctx context.Context, prefix string, revision uint64, wait time.Duration) (kv.Page, error) {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	f.waiting.Store(&end)
	defer f.waiting.Store(nil)
	if f.refreshed.Swap(false) {
		wait = 0
	}
	page, err := f.Store.Changes(ctx, prefix, revision, wait)
	f.refreshed.Store(false)
	if err != nil && errors.Is(context.Cause(ctx), errRefreshed) {
		return page, errRefreshed
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
