package mirror_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/state/mirror"
)

// feed is an in-memory store whose pages hold two pairs.
type feed struct {
	mu        sync.Mutex
	pairs     map[string]kv.Pair
	history   []kv.Pair
	rev       uint64
	compacted uint64
	down      bool
	// unasked is set while the processes queried in place of the store do not answer.
	unasked bool
	// silent is set while calls hang until they time out.
	silent bool
	// failEvery makes every nth page fail, 0 for none. scans counts the pages.
	failEvery, scans int
	// pageTime is how long a page takes.
	pageTime time.Duration
	// old is the state that stale pages show, nil for the current one. stale counts stale pages.
	old   *feed
	stale int
}

// callTime is how long an unanswered call hangs beyond its requested wait.
const callTime = 900 * time.Millisecond

var errDown = errors.New("down")

func (f *feed) set(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	p := kv.Pair{Key: key, Value: []byte(value), Revision: f.rev}
	if f.pairs == nil {
		f.pairs = make(map[string]kv.Pair)
	}
	f.pairs[key] = p
	f.history = append(f.history, p)
}

func (f *feed) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	delete(f.pairs, key)
	f.history = append(f.history, kv.Pair{Key: key, Revision: f.rev, Deleted: true})
}

func (f *feed) compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.compacted, f.history = f.rev, nil
}

func (f *feed) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *feed) Scan(_ context.Context, _, after string) (kv.Page, error) {
	time.Sleep(f.pageTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scans++
	if f.down || f.failEvery > 0 && f.scans%f.failEvery == 0 {
		return kv.Page{}, errDown
	}
	var list []kv.Pair
	for key, p := range f.pairs {
		if key > after {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b kv.Pair) int { return cmp.Compare(a.Key, b.Key) })
	return kv.Page{Pairs: list[:min(2, len(list))], More: len(list) > 2, At: f.rev}, nil
}

func (f *feed) ScanStale(ctx context.Context, prefix, after string) (kv.Page, error) {
	f.stale++
	if f.old != nil {
		return f.old.Scan(ctx, prefix, after)
	}
	return f.Scan(ctx, prefix, after)
}

// freezeStalePages makes stale pages show the present state from now on.
func (f *feed) freezeStalePages() {
	f.old = &feed{pairs: maps.Clone(f.pairs), rev: f.rev}
}

func (f *feed) Changes(ctx context.Context, _ string, revision uint64, wait time.Duration) (kv.Page, error) {
	until := time.Now().Add(wait)
	for {
		if f.isSilent() {
			time.Sleep(time.Until(until) + callTime)
			return kv.Page{}, errDown
		}
		page, err := f.since(revision)
		if err != nil || len(page.Pairs) > 0 || !time.Now().Before(until) {
			return page, err
		}
		select {
		case <-ctx.Done():
			return kv.Page{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (f *feed) setUnasked(unasked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unasked = unasked
}

func (f *feed) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

func (f *feed) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

func (f *feed) since(revision uint64) (kv.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return kv.Page{}, errDown
	}
	if f.unasked {
		return kv.Page{}, &kv.NotSentError{Err: errDown}
	}
	if revision < f.compacted {
		return kv.Page{}, &kv.CompactedError{Revision: revision}
	}
	page := kv.Page{At: f.rev}
	for _, p := range f.history {
		if p.Revision > revision {
			page.Pairs = append(page.Pairs, p)
		}
	}
	return page, nil
}

const grace = 2 * time.Second

// copyOf runs a mirror of f on a virtual clock. Read the returned copy only while all goroutines
// wait.
func copyOf(t *testing.T, f *feed) map[string]string {
	held := make(map[string]string)
	m := &mirror.Mirror{
		Feed: f, WatchTimeout: time.Second, MinInterval: 300 * time.Millisecond, Grace: grace, Log: zerolog.Nop(),
		Put:         func(p kv.Pair) { held[p.Key] = string(p.Value) },
		Removed:     func(key string, _ uint64) { delete(held, key) },
		Confirm:     func(time.Time) {},
		StoreFailed: func(error) {},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		m.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return held
}

// pass advances the virtual clock by d.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestCopyFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(feed)
		for _, key := range []string{"a", "b", "c", "d", "e"} {
			f.set(key, "1")
		}
		held := copyOf(t, f)
		pass(time.Second)
		require.Len(t, held, 5)
		f.set("a", "2")
		f.remove("b")
		pass(time.Second)
		require.Equal(t, map[string]string{"a": "2", "c": "1", "d": "1", "e": "1"}, held)
	})
}

func TestCompactedHistoryCausesFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(feed)
		f.set("a", "1")
		f.set("b", "1")
		held := copyOf(t, f)
		pass(time.Second)
		f.remove("a")
		f.set("b", "2")
		f.compact()
		pass(2 * time.Second)
		require.Equal(t, map[string]string{"b": "2"}, held)
	})
}

// Keys whose leases expire during an outage of the store are retained for a grace period after its
// return, because their owners may come back. Keys still missing afterwards are removed.
func TestExpiredKeysAreRetainedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(feed)
		f.set("returns", "1")
		f.set("dead", "1")
		held := copyOf(t, f)
		pass(time.Second)
		f.setDown(true)
		pass(5 * time.Second)
		f.remove("returns")
		f.remove("dead")
		f.setDown(false)
		pass(time.Second)
		require.Len(t, held, 2)
		f.set("returns", "2")
		pass(2 * grace)
		require.Equal(t, map[string]string{"returns": "2"}, held)
	})
}

// The silence of other processes queried in place of the store is no outage: removals in the
// meantime take effect at once.
func TestRemovalIsImmediateAfterPeerSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(feed)
		f.set("leaves", "1")
		held := copyOf(t, f)
		pass(time.Second)
		f.setUnasked(true)
		pass(time.Second)
		f.remove("leaves")
		pass(2 * time.Second)
		f.setUnasked(false)
		pass(time.Second)
		require.Empty(t, held)
	})
}

// After an outage in which calls hang, whenever it ends, the copy is current within two seconds:
// the retry of a hung call does not wait for changes, and follows soon.
func TestCopyIsCurrentSoonAfterSilence(t *testing.T) {
	for away := 3 * time.Second; away < 6*time.Second; away += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			f := new(feed)
			f.set("a", "1")
			held := copyOf(t, f)
			pass(time.Second)
			f.setSilent(true)
			pass(away)
			f.set("a", "2")
			f.setSilent(false)
			pass(1800 * time.Millisecond)
			require.Equal(t, "2", held["a"], away)
		})
	}
}

// A store that is silent long enough for records to expire had an outage even if only one call
// failed: a waiting request hangs for two seconds and more.
func TestOneHungCallCountsAsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(feed)
		f.set("returns", "1")
		held := copyOf(t, f)
		pass(400 * time.Millisecond)
		f.setSilent(true)
		pass(100 * time.Millisecond)
		f.remove("returns")
		pass(1650 * time.Millisecond)
		f.setSilent(false)
		pass(time.Second)
		require.Contains(t, held, "returns")
		f.set("returns", "2")
		pass(2 * grace)
		require.Equal(t, "2", held["returns"])
	})
}

// Without an outage, removals take effect at once, also after a single lost answer.
func TestRemovalIsImmediateWithoutOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(feed)
		f.set("a", "1")
		held := copyOf(t, f)
		pass(time.Second)
		f.remove("a")
		pass(400 * time.Millisecond)
		require.Empty(t, held)
	})
}

// A full read continues at the page that failed. When all processes of a fleet start together,
// each reads everything from a store that needs a second for it: pages took 0.5 s and more, and
// calls that exceeded their timeout failed. Restarting from the first page after each failure meant
// that one failure in seven pages could restart the read again and again.
func TestFullReadContinuesAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{failEvery: 3}
		for i := range 20 {
			f.set(fmt.Sprintf("key-%02d", i), "a")
		}
		held := copyOf(t, f)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.Len(t, held, 20)
	})
}

// The first full read reports its content page by page, with the time of its start, so that a
// starting process can serve with it. A request for changes without a wait follows a long read,
// because its proof is as old as the read took.
func TestFirstFullReadIsReportedByPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{pageTime: 500 * time.Millisecond}
		for i := range 8 {
			f.set(fmt.Sprint("key-", i), "a")
		}
		begun := time.Now()
		var held int
		var partial, confirmed []time.Duration
		m := &mirror.Mirror{
			Feed: f, WatchTimeout: time.Second, Log: zerolog.Nop(), StoreFailed: func(error) {},
			Put: func(kv.Pair) { held++ }, Removed: func(string, uint64) {},
			ConfirmPartial: func(proven time.Time, last string) {
				require.Equal(t, begun, proven)
				require.Equal(t, fmt.Sprint("key-", held-1), last)
				require.Equal(t, 2*(len(partial)+1), held)
				partial = append(partial, time.Since(begun))
			},
			Confirm: func(time.Time) { confirmed = append(confirmed, time.Since(begun)) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			m.Run(ctx)
			close(done)
		}()
		time.Sleep(2100 * time.Millisecond)
		cancel()
		<-done
		const page = 500 * time.Millisecond
		require.Equal(t, []time.Duration{page, 2 * page, 3 * page}, partial)
		require.Equal(t, []time.Duration{4 * page, 4 * page}, confirmed[:2])
	})
}

// Most pages of a first full read are stale. The changes since the oldest of them supply what they
// lack, and nothing is confirmed before.
func TestChangesCompleteFirstReadOfStalePages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(feed)
		for _, key := range []string{"a", "b", "c", "d", "e"} {
			f.set(key, "1")
		}
		f.freezeStalePages()
		f.set("d", "2")
		f.remove("e")
		f.set("f", "1")
		newest := time.Now()
		held := make(map[string]string)
		m := &mirror.Mirror{
			Feed: f, WatchTimeout: time.Second, MinInterval: 300 * time.Millisecond, Log: zerolog.Nop(),
			Put:     func(p kv.Pair) { held[p.Key] = string(p.Value) },
			Removed: func(key string, _ uint64) { delete(held, key) },
			Confirm: func(proven time.Time) {
				require.False(t, proven.Before(newest))
				require.Equal(t, map[string]string{"a": "1", "b": "1", "c": "1", "d": "2", "f": "1"}, held)
			},
			Unproven: func(int) (time.Duration, bool) {
				require.Equal(t, "1", held["d"])
				return 200 * time.Millisecond, false
			},
			ConfirmPartial: func(time.Time, string) { require.Subset(t, []string{"a", "b"}, slices.Collect(maps.Keys(held))) },
			StoreFailed:    func(error) {},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		m.Run(ctx)
		require.Equal(t, 2, f.stale)
		require.Equal(t, 1, f.scans, "only the first page is a current one")
	})
}

// A full read whose stale pages are as new as its first one is proven without a request for
// changes.
func TestCurrentStalePagesProveFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(feed)
		for _, key := range []string{"a", "b", "c"} {
			f.set(key, "1")
		}
		begun, confirmed := time.Now(), time.Time{}
		m := &mirror.Mirror{
			Feed: f, WatchTimeout: time.Second, Log: zerolog.Nop(), Put: func(kv.Pair) {}, Removed: func(string, uint64) {},
			Confirm: func(proven time.Time) {
				if confirmed.IsZero() {
					confirmed = proven
				}
			},
			StoreFailed: func(error) {},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		m.Run(ctx)
		require.Equal(t, begun, confirmed)
	})
}

// When the store has compacted the changes since the stale pages, current pages are read instead.
func TestCompactionSinceStalePages(t *testing.T) {
	for name, unhurried := range map[string]bool{"unhurried": true, "hurried": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := new(feed)
				for _, key := range []string{"a", "b", "c"} {
					f.set(key, "1")
				}
				f.freezeStalePages()
				f.set("c", "2")
				f.compact()
				held := make(map[string]string)
				m := &mirror.Mirror{
					Feed: f, WatchTimeout: time.Second, MinInterval: time.Second, Log: zerolog.Nop(), Confirm: func(time.Time) {},
					Put: func(p kv.Pair) { held[p.Key] = string(p.Value) }, Removed: func(string, uint64) {}, StoreFailed: func(error) {},
					Unhurried: func() bool { return unhurried },
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				m.Run(ctx)
				require.Equal(t, map[string]string{"a": "1", "b": "1", "c": "2"}, held)
				require.Equal(t, 2, f.stale)
			})
		})
	}
}

// While no caller waits for it, the first full read uses stale pages only, and the changes since
// prove it.
func TestUnhurriedReadUsesStalePages(t *testing.T) {
	for name, unhurried := range map[string]bool{"unhurried": true, "hurried": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := new(feed)
				for _, key := range []string{"a", "b", "c"} {
					f.set(key, "1")
				}
				f.freezeStalePages()
				f.set("a", "2")
				newest, confirmed, partial := time.Now(), false, false
				held := make(map[string]string)
				m := &mirror.Mirror{
					Feed: f, WatchTimeout: time.Second, MinInterval: time.Second, Log: zerolog.Nop(), Removed: func(string, uint64) {}, StoreFailed: func(error) {},
					Put:       func(p kv.Pair) { held[p.Key] = string(p.Value) },
					Unhurried: func() bool { return unhurried },
					Unproven: func(readings int) (time.Duration, bool) {
						return 100 * time.Millisecond, unhurried && readings < 3
					},
					ConfirmPartial: func(time.Time, string) { partial = true },
					Confirm: func(proven time.Time) {
						confirmed = true
						require.False(t, proven.Before(newest))
						require.Equal(t, map[string]string{"a": "2", "b": "1", "c": "1"}, held)
					},
				}
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				defer cancel()
				m.Run(ctx)
				require.True(t, confirmed)
				require.Equal(t, !unhurried, partial)
				require.Equal(t, map[bool]int{true: 0, false: 1}[unhurried], f.scans)
				require.Equal(t, map[bool]int{true: 6, false: 2}[unhurried], f.stale, "two pages each time")
			})
		})
	}
}
