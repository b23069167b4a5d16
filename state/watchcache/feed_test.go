package watchcache_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/state/watchcache"
)

// scripted is a store that answers with prepared pages and errors.
type scripted struct {
	scan    kv.Page
	changes kv.Page
	err     error
	scans   int
	asked   int // calls of Changes
}

func (s *scripted) Scan(context.Context, string, string) (kv.Page, error) {
	s.scans++
	return s.scan, s.err
}

func (s *scripted) ScanStale(ctx context.Context, prefix, after string) (kv.Page, error) {
	return s.Scan(ctx, prefix, after)
}

func (s *scripted) Revision(context.Context) (uint64, error) {
	return s.changes.At, s.err
}

func (s *scripted) Changes(context.Context, string, uint64, time.Duration) (kv.Page, error) {
	s.asked++
	return s.changes, s.err
}

// newFeed returns a feed over a store that queries the gateways at the given addresses.
func newFeed(s watchcache.Store, from watchcache.Source, addresses ...string) *watchcache.Feed {
	return &watchcache.Feed{
		Store: s, Source: from, Cache: new(watchcache.Cache), Log: zerolog.Nop(),
		Sources: func() ([]string, bool) { return addresses, true },
		Age:     func() time.Duration { return time.Second }, TimeUntilLate: func() time.Duration { return time.Second },
	}
}

// cacheSource is a Source that answers from a cache, whatever the address.
type cacheSource struct{ cache *watchcache.Cache }

func (a cacheSource) Fetch(ctx context.Context, _ string, q watchcache.Request) (watchcache.Answer, error) {
	return a.cache.Fetch(ctx, q)
}

// partialStore answers a request for changes with one change, whether or not there are others.
type partialStore struct {
	scripted
	revision uint64
	err      error
	// revisions counts the calls of Revision.
	revisions int
}

func (p *partialStore) Changes(_ context.Context, _ string, revision uint64, _ time.Duration) (kv.Page, error) {
	next := min(revision+1, p.revision)
	page := kv.Page{At: next, More: next > revision}
	if page.More {
		page.Pairs = []kv.Pair{{Key: "k", Revision: next}}
	}
	return page, nil
}

func (p *partialStore) Revision(context.Context) (uint64, error) {
	p.revisions++
	return p.revision, p.err
}

// Guards against an answer that holds a part of the changes being taken for proof that the replica is current, by this
// gateway or by those that query it: after a cut, keys that had been taken away were accepted.
func TestPartOfTheChangesProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &partialStore{revision: 1}
		f := newFeed(s, nil)
		f.Sources = func() ([]string, bool) { return nil, false }
		for at := range uint64(2) {
			_, err := f.Changes(t.Context(), "", at, 0)
			require.NoError(t, err)
		}
		s.revision = 4 // three changes during a cut
		time.Sleep(time.Minute)
		for at := uint64(1); at < 3; at++ {
			page, err := f.Changes(t.Context(), "", at, 0)
			require.NoError(t, err)
			require.True(t, page.More)
			answer, err := f.Cache.Fetch(t.Context(), watchcache.Request{After: at})
			require.NoError(t, err)
			require.Equal(t, time.Minute, answer.Age, "the former proof")
		}
		s.revision = 5 // written after the store told its revision
		page, err := f.Changes(t.Context(), "", 3, 0)
		require.NoError(t, err)
		require.False(t, page.More)
		answer, err := f.Cache.Fetch(t.Context(), watchcache.Request{After: 3})
		require.NoError(t, err)
		require.Zero(t, answer.Age)
		s.err = errors.New("no answer")
		asked := s.revisions
		page, err = f.Changes(t.Context(), "", 4, 0)
		require.NoError(t, err)
		require.True(t, page.More)
		require.Equal(t, asked, s.revisions, "changes do not wait for another call")
		_, err = f.Changes(t.Context(), "", 5, 0)
		require.Error(t, err, "the store does not tell its revision: no second call in a row")
		page, err = f.Changes(t.Context(), "", 5, 0)
		require.NoError(t, err)
		require.False(t, page.More, "an answer without changes is a proof")
	})
}

// Guards against proofs by answers of the store that cannot be one: the revision has risen without a change, so that the
// request has missed one, or is below a known one. A revocation that was missed so was never learned.
func TestContradictoryAnswerProvesNothing(t *testing.T) {
	for name, at := range map[string]uint64{"risen without a change": 8, "below a known revision": 3, "no revision": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scripted{changes: kv.Page{Pairs: []kv.Pair{{Key: "a", Revision: 5}}, At: 5}}
				f := newFeed(s, nil)
				_, err := f.Changes(t.Context(), "", 4, 0)
				require.NoError(t, err)
				time.Sleep(time.Minute)
				s.changes = kv.Page{At: at}
				_, err = f.Changes(t.Context(), "", 5, 0)
				var compacted *kv.CompactedError
				require.Equal(t, at > 5, errors.As(err, &compacted))
				require.Error(t, err)
				if answer, err := f.Cache.Fetch(t.Context(), watchcache.Request{After: 4}); err == nil {
					require.Equal(t, time.Minute, answer.Age, "others get no newer proof either")
				}
			})
		})
	}
}

// Guards against a gateway that, after a cut, puts one former configuration after the other in force before the newest
// one, while requests go by them.
func TestNewestValueComesFirstAfterAFailure(t *testing.T) {
	s := &scripted{scan: kv.Page{Pairs: []kv.Pair{{Key: "c", Revision: 1}}, At: 1}}
	f := newFeed(s, nil)
	f.Latest = "c"
	_, err := f.Scan(t.Context(), "", "")
	require.NoError(t, err)
	s.err = errLost
	_, err = f.Changes(t.Context(), "", 1, 0)
	require.Error(t, err)
	s.err = nil
	s.changes = kv.Page{Pairs: []kv.Pair{{Key: "c", Revision: 2}, {Key: "a", Revision: 3}, {Key: "c", Revision: 4}}, At: 4, More: true}
	s.scan = kv.Page{Pairs: []kv.Pair{{Key: "c", Revision: 9}, {Key: "c-more", Revision: 8}}, At: 9}
	page, err := f.Changes(t.Context(), "", 1, 0)
	require.NoError(t, err)
	require.Equal(t, []kv.Pair{{Key: "a", Revision: 3}, {Key: "c", Revision: 9}}, page.Pairs)
	require.True(t, page.More, "it proves nothing of the other keys")
	require.Equal(t, 2, s.scans)
	s.changes = kv.Page{Pairs: []kv.Pair{{Key: "c", Revision: 5}, {Key: "c", Revision: 9}}, At: 9, More: true}
	page, err = f.Changes(t.Context(), "", 4, 0)
	require.NoError(t, err)
	require.Equal(t, 2, s.scans, "once")
	require.Empty(t, page.Pairs, "it is known")
}

// A store that does not tell its revision has not told that a part of its changes is all of them.
func TestRevisionBelowAKnownOneProvesNothing(t *testing.T) {
	s := &partialStore{revision: 5}
	f := newFeed(s, nil)
	page, err := f.Changes(t.Context(), "", 4, 0)
	require.NoError(t, err)
	require.True(t, page.More)
	s.revision = 0
	_, err = f.Changes(t.Context(), "", 5, 0)
	var below *watchcache.RevisionError
	require.ErrorAs(t, err, &below)
}

// When the store has compacted its history, only the gateway that queries it needs a full read. A
// gateway that queries the other one receives the differences from it.
func TestCompactedHistoryNeedsNoFullReadByOthers(t *testing.T) {
	s := &scripted{scan: kv.Page{Pairs: []kv.Pair{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, At: 2}}
	peer := newFeed(s, nil)
	_, err := peer.Scan(t.Context(), "", "")
	require.NoError(t, err)
	s.scan = kv.Page{Pairs: []kv.Pair{{Key: "b", Revision: 7}, {Key: "c", Revision: 8}}, At: 9}
	_, err = peer.Scan(t.Context(), "", "")
	require.NoError(t, err)

	other := &scripted{}
	page, err := newFeed(other, cacheSource{peer.Cache}, "seat").Changes(t.Context(), "", 2, time.Second)
	require.NoError(t, err)
	require.ElementsMatch(t, []kv.Pair{
		{Key: "b", Revision: 7}, {Key: "c", Revision: 8}, {Key: "a", Revision: 9, Deleted: true},
	}, page.Pairs)
	require.EqualValues(t, 9, page.At)
	require.Zero(t, other.scans+other.asked)
}

// Changes that another gateway no longer retains are requested from the store at once. A full read
// follows only if the store has compacted them as well.
func TestOlderRevisionsAreRequestedFromStore(t *testing.T) {
	var cache watchcache.Cache
	cache.Reset(100, time.Now(), 0)
	s := &scripted{changes: kv.Page{Pairs: []kv.Pair{{Key: "a", Revision: 90}}, At: 101}}
	feed := newFeed(s, cacheSource{&cache}, "seat")
	page, err := feed.Changes(t.Context(), "", 5, time.Second)
	require.NoError(t, err)
	require.Equal(t, s.changes.Pairs, page.Pairs)
	require.EqualValues(t, 101, page.At)
	s.err = &kv.CompactedError{Revision: 5}
	for i := range 3 {
		_, err := feed.Changes(t.Context(), "", 5, time.Second)
		var compacted *kv.CompactedError
		require.ErrorAs(t, err, &compacted)
		require.Equal(t, i+2, s.asked, "at once")
	}
	require.Zero(t, s.scans)
}

// While neither the other gateways nor the store answer, calls to the store stay rare.
func TestCallsToSilentStoreAreRare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{err: errLost}
		feed := newFeed(s, cacheSource{new(watchcache.Cache)}, "seat")
		for begun := time.Now(); time.Since(begun) < 20*time.Second; {
			before := s.asked
			_, err := feed.Changes(t.Context(), "", 5, time.Second)
			require.Error(t, err)
			var unasked *kv.NotSentError
			require.Equal(t, s.asked == before, errors.As(err, &unasked), "the error reports whether the store was called")
			time.Sleep(300 * time.Millisecond)
		}
		require.GreaterOrEqual(t, s.asked, 4)
		require.LessOrEqual(t, s.asked, 11)
		require.True(t, feed.Cut(time.Now()))
	})
}

// If the first gateway does not answer, the second one still has enough time to answer with its
// next proof.
func TestSecondGatewayHasTimeToAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cache watchcache.Cache
		cache.Reset(5, time.Now(), 0)
		go func() {
			time.Sleep(400 * time.Millisecond)
			cache.Add(kv.Page{At: 5}, time.Now(), true, 0)
		}()
		s := &scripted{}
		feed := newFeed(s, halfDead{cacheSource{&cache}}, "dead", "seat")
		feed.Age = func() time.Duration { return 100 * time.Millisecond }
		page, err := feed.Changes(t.Context(), "", 5, time.Second)
		require.NoError(t, err)
		require.Less(t, page.Lag, time.Duration(0))
		require.Zero(t, s.asked)
	})
}

// The age of a proof includes the time for which the host was suspended, also in answers to other
// gateways.
func TestProofAgesWhileTheHostIsSuspended(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	cache := watchcache.Cache{Now: func() time.Time { return now }}
	cache.Reset(5, now, 0)
	now = now.Add(10 * time.Second) // no code ran in between
	answer, err := cache.Fetch(t.Context(), watchcache.Request{After: 5, Age: time.Minute, Wait: time.Second})
	require.NoError(t, err)
	require.Equal(t, 10*time.Second, answer.Age)
}

// idleStore is a store without changes that answers at the end of the wait.
type idleStore struct{ scripted }

func (p *idleStore) Changes(ctx context.Context, prefix string, revision uint64, wait time.Duration) (kv.Page, error) {
	select {
	case <-ctx.Done():
		return kv.Page{}, ctx.Err()
	case <-time.After(wait):
	}
	return p.scripted.Changes(ctx, prefix, revision, wait)
}

// Refresh repeats a waiting request at once: the proof is as new as the second request, and the
// interruption does not count as a failure of the store.
func TestRefreshRepeatsWaitingRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		feed := newFeed(&idleStore{scripted{changes: kv.Page{At: 5}}}, nil)
		feed.Refresh() // the next request does not wait
		begun := time.Now()
		_, err := feed.Changes(t.Context(), "", 5, time.Second)
		require.NoError(t, err)
		require.Equal(t, begun, time.Now())
		go func() {
			time.Sleep(300 * time.Millisecond)
			feed.Refresh()
		}()
		page, err := feed.Changes(t.Context(), "", 5, time.Second)
		require.NoError(t, err)
		require.Equal(t, 300*time.Millisecond, time.Since(begun))
		require.Equal(t, -300*time.Millisecond, page.Lag)
		require.False(t, feed.Cut(time.Now()))
		answer, err := feed.Cache.Fetch(t.Context(), watchcache.Request{Age: time.Minute})
		require.NoError(t, err)
		require.Zero(t, answer.Age, "the proof belongs to the second request")
	})
}

// halfDead is a Source in which the gateway "dead" does not answer.
type halfDead struct{ cacheSource }

func (h halfDead) Fetch(ctx context.Context, address string, q watchcache.Request) (watchcache.Answer, error) {
	if address == "dead" {
		return watchcache.Answer{}, errLost
	}
	return h.cacheSource.Fetch(ctx, address, q)
}

// A watch may miss a change and still answer with a later revision. Gateways that query this one
// must receive the change once a full read has found it.
func TestChangeMissedByWatchIsRelayedLater(t *testing.T) {
	for name, at := range map[string]uint64{"at a later revision": 9, "at the same revision": 8} {
		t.Run(name, func(t *testing.T) {
			s := &scripted{scan: kv.Page{Pairs: []kv.Pair{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, At: 2}}
			peer := newFeed(s, nil)
			_, err := peer.Scan(t.Context(), "", "")
			require.NoError(t, err)
			s.changes = kv.Page{Pairs: []kv.Pair{{Key: "c", Revision: 8}}, At: 8}
			_, err = peer.Changes(t.Context(), "", 2, 0)
			require.NoError(t, err)
			asker := newFeed(&scripted{}, cacheSource{peer.Cache}, "seat")
			page, err := asker.Changes(t.Context(), "", 2, time.Second)
			require.NoError(t, err)
			require.EqualValues(t, 8, page.At)

			s.scan = kv.Page{Pairs: []kv.Pair{{Key: "a", Revision: 1}, {Key: "b", Revision: 7}, {Key: "c", Revision: 8}}, At: at}
			_, err = peer.Scan(t.Context(), "", "")
			require.NoError(t, err)
			page, err = asker.Changes(t.Context(), "", 8, time.Second)
			require.NoError(t, err)
			require.Equal(t, []kv.Pair{{Key: "b", Revision: 7}}, page.Pairs)
		})
	}
}

// After a full read of stale pages, a gateway requests the changes since then from other gateways,
// and from the store only if these no longer retain them.
func TestOtherGatewaysCompleteStaleRead(t *testing.T) {
	stale := &scripted{scan: kv.Page{Pairs: []kv.Pair{{Key: "a", Revision: 9}}, At: 9, More: true}}
	var peer watchcache.Cache
	peer.Reset(5, time.Now(), 0)
	peer.Add(kv.Page{Pairs: []kv.Pair{{Key: "b", Revision: 7}}, At: 9}, time.Now(), true, 0)
	feed := newFeed(stale, cacheSource{&peer}, "seat")
	_, err := feed.Scan(t.Context(), "", "")
	require.NoError(t, err)
	stale.scan = kv.Page{Pairs: []kv.Pair{{Key: "b", Revision: 2}}, At: 5}
	_, err = feed.ScanStale(t.Context(), "", "a")
	require.NoError(t, err)
	_, err = feed.Cache.Fetch(t.Context(), watchcache.Request{Age: time.Minute})
	require.ErrorIs(t, err, watchcache.ErrNotDirect, "stale pages yield no proof")

	page, err := feed.Changes(t.Context(), "", 5, 0)
	require.NoError(t, err)
	require.Equal(t, []kv.Pair{{Key: "b", Revision: 7}}, page.Pairs)
	require.Zero(t, stale.asked)
}

func TestStoreCompletesStaleReadBeyondRetainedChanges(t *testing.T) {
	s := &scripted{scan: kv.Page{Pairs: []kv.Pair{{Key: "a", Revision: 9}}, At: 9, More: true}}
	var peer watchcache.Cache
	peer.Reset(8, time.Now(), 0)
	feed := newFeed(s, cacheSource{&peer}, "seat")
	_, err := feed.Scan(t.Context(), "", "")
	require.NoError(t, err)
	s.scan = kv.Page{Pairs: []kv.Pair{{Key: "b", Revision: 2}}, At: 5}
	_, err = feed.ScanStale(t.Context(), "", "a")
	require.NoError(t, err)
	s.changes = kv.Page{Pairs: []kv.Pair{{Key: "b", Revision: 7}, {Key: "a", Revision: 9}}, At: 9}
	page, err := feed.Changes(t.Context(), "", 5, 0)
	require.NoError(t, err)
	require.Equal(t, []kv.Pair{{Key: "b", Revision: 7}}, page.Pairs)
	require.Equal(t, 1, s.asked)

	// Other gateways also receive the changes that the pages contained beyond the revision of the
	// read.
	answer, err := feed.Cache.Fetch(t.Context(), watchcache.Request{After: 5, Age: time.Minute})
	require.NoError(t, err)
	require.Len(t, answer.Pairs, 2)
}

// The changes in the first second of a large fleet exceed the bound in bytes but are retained.
// Otherwise every gateway would read the whole store again.
func TestChangesOfLargeFleetStartAreRetained(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	cache := watchcache.Cache{Now: func() time.Time { return now }}
	cache.Reset(0, now, 0)
	value := make([]byte, 400)
	for i := range uint64(1000) {
		now = now.Add(time.Millisecond)
		cache.Add(kv.Page{Pairs: []kv.Pair{{Key: fmt.Sprint("endpoint-", i), Value: value, Revision: i + 1}}, At: i + 1}, now, true, 0)
	}
	answer, err := cache.Fetch(t.Context(), watchcache.Request{Age: time.Minute})
	require.NoError(t, err)
	require.Len(t, answer.Pairs, 1000)

	now = now.Add(10 * time.Second)
	cache.Add(kv.Page{Pairs: []kv.Pair{{Key: "another", Revision: 1001}}, At: 1001}, now, true, 0)
	_, err = cache.Fetch(t.Context(), watchcache.Request{Age: time.Minute})
	require.ErrorIs(t, err, watchcache.ErrNotRetained, "older changes are bounded in bytes")
}

// Only the newest value of a frequently written key is retained and sent.
func TestOnlyNewestChangeOfKeyIsRetained(t *testing.T) {
	t.Parallel()
	var cache watchcache.Cache
	cache.Reset(0, time.Now(), 0)
	for i := range uint64(20) {
		page := kv.Page{Pairs: []kv.Pair{{Key: "configuration", Value: make([]byte, 80<<10), Revision: i + 1}}, At: i + 1}
		cache.Add(page, time.Now(), true, 0)
	}
	answer, err := cache.Fetch(t.Context(), watchcache.Request{Age: time.Minute})
	require.NoError(t, err)
	require.Len(t, answer.Pairs, 1)
	require.EqualValues(t, 20, answer.Pairs[0].Revision)
}

// A gateway whose peers answer leaves the store to them even if they have no newer proof. Without
// this, when the store had compacted its history, each of 469 gateways queried it and then read
// everything again.
func TestFleetLeavesStoreWithoutNewerProofToItsReaders(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := new(scripted)
		feed := newFeed(s, cacheSource{new(watchcache.Cache)}, "seat", "standby")
		feed.Sources = func() ([]string, bool) { return []string{"seat", "standby"}, false }
		_, err := feed.Changes(t.Context(), "", 5, time.Second)
		var unasked *kv.NotSentError
		require.ErrorAs(t, err, &unasked)
		require.Zero(t, s.asked)

		feed.TimeUntilLate = func() time.Duration { return -time.Second }
		for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(300 * time.Millisecond) {
			_, _ = feed.Changes(t.Context(), "", 5, time.Second) // only the number of calls matters
		}
		require.GreaterOrEqual(t, s.asked, 1, "the gateways of a hall may disagree on which of them query the store")
		require.LessOrEqual(t, s.asked, 2)
	})
}

// recordingSource is a Source that records the addresses queried and never answers.
type recordingSource struct{ list []string }

func (h *recordingSource) Fetch(_ context.Context, address string, _ watchcache.Request) (watchcache.Answer, error) {
	h.list = append(h.list, address)
	if address == "dead" {
		return watchcache.Answer{}, errLost
	}
	return watchcache.Answer{}, watchcache.ErrNoNewerProof
}

func TestSilentGatewayIsQueriedLast(t *testing.T) {
	t.Parallel()
	from := new(recordingSource)
	feed := newFeed(new(scripted), from, "dead", "seat")
	for range 2 {
		_, _ = feed.Changes(t.Context(), "", 5, time.Second) // only the recorded addresses matter
	}
	require.Equal(t, []string{"dead", "seat", "seat", "dead"}, from.list)
}

// hangingStore is a store that never answers a request with a wait; if always is set, it answers
// no request for changes.
type hangingStore struct {
	scripted
	always bool
}

func (m *hangingStore) Changes(ctx context.Context, prefix string, revision uint64, wait time.Duration) (kv.Page, error) {
	if wait > 0 || m.always {
		<-ctx.Done()
		return kv.Page{}, ctx.Err()
	}
	return m.scripted.Changes(ctx, prefix, revision, wait)
}

// A waiting request whose answer is overdue is repeated. A store that compacts its history leaves
// such a request unanswered, and meanwhile the freshness proofs of the whole hall become old.
func TestOverdueRequestIsRepeated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		feed := newFeed(&hangingStore{scripted: scripted{changes: kv.Page{At: 5}}}, nil)
		begun := time.Now()
		_, err := feed.Changes(t.Context(), "", 5, time.Second)
		require.NoError(t, err)
		require.LessOrEqual(t, time.Since(begun), 1300*time.Millisecond)
		require.False(t, feed.Cut(time.Now()))
	})
}

// If the repeated request gets no answer either, everything is read again before the freshness
// proofs of the hall become old.
func TestUnansweredRepeatCausesFullRead(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		feed := newFeed(&hangingStore{always: true}, nil)
		begun := time.Now()
		_, err := feed.Changes(t.Context(), "", 5, time.Second)
		var compacted *kv.CompactedError
		require.ErrorAs(t, err, &compacted)
		require.LessOrEqual(t, time.Since(begun), 1600*time.Millisecond)
		require.False(t, feed.Cut(time.Now()))
	})
}
