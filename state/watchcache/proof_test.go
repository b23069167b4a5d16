package watchcache_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/state/mirror"
	"github.com/grademill/grademill/state/watchcache"
)

// Parameters of the random schedules.
const (
	// schedules is the number of seeds.
	schedules = 10000
	// scheduleTime is the length of a schedule on the virtual clock.
	scheduleTime = 4 * time.Second
	// compareTime is longer than the interval between two comparisons with another gateway plus
	// the full read that follows.
	compareTime = 28 * time.Second
	// lateStart is the delay between the starts of two processes.
	lateStart = 500 * time.Millisecond
	// questionWait and settle have the same values as in a gateway.
	questionWait = 1100 * time.Millisecond
	settle       = 600 * time.Millisecond
)

// write is a change of the store.
type write struct {
	at       time.Time
	key      string
	revision uint64
}

// store is an in-memory store that records the time of each write.
type store struct {
	mu      sync.Mutex
	writes  []write
	changed chan struct{}
	chance  *rand.Rand
	// missing is set while watches miss changes although they report later revisions. compacted is
	// the revision up to which the history is compacted.
	missing   bool
	compacted uint64
}

// setMissing sets whether watches miss changes. Unsetting it compacts the history and writes one
// change.
func (s *store) setMissing(missing bool) {
	s.mu.Lock()
	s.missing = missing
	if !missing {
		s.compacted = uint64(len(s.writes) + 1)
	}
	s.mu.Unlock()
	if !missing {
		s.put()
	}
}

// put writes a random one of three keys.
func (s *store) put() {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := fmt.Sprint("key-", s.chance.IntN(3))
	s.writes = append(s.writes, write{time.Now(), key, uint64(len(s.writes) + 1)})
	close(s.changed)
	s.changed = make(chan struct{})
}

// delay draws the delay of a message, including pauses of its sender or receiver.
func (s *store) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chance.IntN(12) == 0 {
		return time.Duration(s.chance.IntN(1500)) * time.Millisecond
	}
	return time.Duration(s.chance.IntN(8)) * time.Millisecond
}

// writeInterval draws the time between two writes.
func (s *store) writeInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(50+s.chance.IntN(900)) * time.Millisecond
}

// lost draws whether an answer is lost.
func (s *store) lost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chance.IntN(10) == 0
}

var errLost = errors.New("the answer was lost")

// Scan implements kv.Feed. A page holds one key.
func (s *store) Scan(_ context.Context, _, after string) (kv.Page, error) {
	return s.page(after, 0)
}

// staleness bounds the age of a stale page.
const staleness = 2 * time.Second

// ScanStale implements kv.Feed.
func (s *store) ScanStale(_ context.Context, _, after string) (kv.Page, error) {
	s.mu.Lock()
	old := time.Duration(s.chance.Int64N(int64(staleness)))
	s.mu.Unlock()
	return s.page(after, old)
}

// page returns the first key after another one, as of the given time ago.
func (s *store) page(after string, old time.Duration) (kv.Page, error) {
	time.Sleep(s.delay())
	page := s.asOf(time.Now().Add(-old), after)
	time.Sleep(s.delay())
	if s.lost() {
		return kv.Page{}, errLost
	}
	return page, nil
}

// asOf returns the first key after another one, as of a point in time.
func (s *store) asOf(at time.Time, after string) kv.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page, newest := kv.Page{}, make(map[string]uint64)
	for _, w := range s.writes {
		if w.at.After(at) {
			break
		}
		page.At, newest[w.key] = w.revision, w.revision
	}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if key > after {
			page.More = len(page.Pairs) > 0
			if page.More {
				break
			}
			page.Pairs = append(page.Pairs, kv.Pair{Key: key, Revision: newest[key]})
		}
	}
	return page
}

// Revision implements watchcache.Store.
func (s *store) Revision(context.Context) (uint64, error) {
	time.Sleep(s.delay())
	s.mu.Lock()
	revision := uint64(len(s.writes))
	s.mu.Unlock()
	time.Sleep(s.delay())
	if s.lost() {
		return 0, errLost
	}
	return revision, nil
}

// maxChanges is the largest number of changes in an answer.
const maxChanges = 2

// Changes implements kv.Feed. It answers up to maxChanges changes, and does not tell whether there are others.
func (s *store) Changes(ctx context.Context, _ string, revision uint64, wait time.Duration) (kv.Page, error) {
	time.Sleep(s.delay())
	page, next := s.since(revision)
	if len(page.Pairs) == 0 {
		select {
		case <-ctx.Done():
			return kv.Page{}, ctx.Err()
		case <-time.After(wait):
		case <-next:
		}
		page, _ = s.since(revision)
	}
	if revision < s.compactedRevision() {
		return kv.Page{}, &kv.CompactedError{Revision: revision}
	}
	time.Sleep(s.delay())
	if s.lost() {
		return kv.Page{}, errLost
	}
	return page, nil
}

// compactedRevision returns the revision up to which the history is compacted.
func (s *store) compactedRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compacted
}

func (s *store) since(revision uint64) (kv.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := kv.Page{At: uint64(len(s.writes))}
	if s.missing {
		return page, s.changed
	}
	for _, w := range s.writes {
		if w.revision > revision && len(page.Pairs) < maxChanges {
			page.Pairs, page.At, page.More = append(page.Pairs, kv.Pair{Key: w.key, Revision: w.revision}), w.revision, true
		}
	}
	return page, s.changed
}

// process is a gateway that keeps a copy of the store.
type process struct {
	s     *store
	feed  watchcache.Feed
	cache watchcache.Cache
	// held are the newest revisions of the keys. Only the mirror's goroutine uses it.
	held map[string]uint64
	// proven is the latest time up to which the copy was certainly complete.
	mu     sync.Mutex
	proven time.Time
	// violation describes the first write that a proof did not cover, empty if there is none.
	violation string
	// confirms counts the proofs.
	confirms int
	// unhurried is set for a process that starts with stale pages.
	unhurried bool
}

// confirm checks a proof: the copy must contain every write before that time.
func (p *process) confirm(proven time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if proven.After(p.proven) {
		p.proven = proven
	}
	p.confirms++
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	for _, w := range p.s.writes {
		if w.at.Before(proven) && p.held[w.key] < w.revision && p.violation == "" {
			p.violation = fmt.Sprintf("%s at revision %d was written %v before the time of the proof", w.key, w.revision, proven.Sub(w.at))
		}
	}
}

// run follows the store until ctx ends.
func (p *process) run(ctx context.Context) {
	p.held = make(map[string]uint64)
	p.feed.Cache, p.feed.Log = &p.cache, zerolog.Nop()
	p.feed.Age = func() time.Duration {
		p.mu.Lock()
		defer p.mu.Unlock()
		return time.Since(p.proven)
	}
	p.feed.TimeUntilLate = func() time.Duration { return 2*questionWait - p.feed.Age() }
	m := mirror.Mirror{
		Feed: &p.feed, WatchTimeout: questionWait, MinInterval: settle, Log: zerolog.Nop(),
		Put:     func(pair kv.Pair) { p.held[pair.Key] = max(p.held[pair.Key], pair.Revision) },
		Removed: func(string, uint64) {}, Confirm: p.confirm, StoreFailed: func(error) {},
		Unhurried: func() bool { return p.unhurried },
	}
	m.Run(ctx)
}

// source queries other processes by name, with random delays and losses.
type source struct {
	s     *store
	named map[string]*process
	// blind makes answers omit the age of the proof.
	blind bool
}

// Fetch implements watchcache.Source.
func (s source) Fetch(ctx context.Context, address string, q watchcache.Request) (watchcache.Answer, error) {
	time.Sleep(s.s.delay())
	answer, err := s.named[address].cache.Fetch(ctx, q)
	time.Sleep(s.s.delay())
	if s.s.lost() {
		return watchcache.Answer{}, errLost
	}
	if s.blind {
		answer.Age = 0
	}
	return answer, err
}

// fleet consists of two processes that query the store and two that query those.
type fleet struct {
	store *store
	from  source
	all   []*process
}

// newFleet returns a fleet whose schedule depends on the seed.
func newFleet(seed uint64) *fleet {
	s := &store{changed: make(chan struct{}), chance: rand.New(rand.NewPCG(seed, 1))}
	s.put()
	f := &fleet{store: s, from: source{s: s, named: map[string]*process{"a": {s: s}, "b": {s: s}}}}
	f.all = []*process{f.from.named["a"], f.from.named["b"], {s: s}, {s: s}}
	f.all[1].unhurried, f.all[2].unhurried = true, true
	return f
}

// run starts the processes, which run until ctx ends. The returned function waits for them.
func (f *fleet) run(ctx context.Context) (wait func()) {
	sources := [][]string{nil, nil, {"a", "b"}, {"b", "a"}}
	var group sync.WaitGroup
	for i, p := range f.all {
		p.feed.Store, p.feed.Source = f.store, f.from
		p.feed.Sources = func() ([]string, bool) { return sources[i], i == 2 }
		group.Go(func() {
			time.Sleep(time.Duration(i) * lateStart)
			p.run(ctx)
		})
	}
	return group.Wait
}

// write writes to the store for the given time.
func (f *fleet) write(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(f.store.writeInterval())
		f.store.put()
	}
}

// runSchedule runs the schedule of a seed. It returns a description of an invalid proof, empty if
// there is none, and the number of proofs of the processes that query others.
func runSchedule(t *testing.T, seed uint64, blind bool) (violation string, confirms int) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(seed)
		f.from.blind = blind
		ctx, cancel := context.WithCancel(t.Context())
		wait := f.run(ctx)
		f.write(scheduleTime)
		cancel()
		wait()
		for i, p := range f.all {
			if p.violation != "" {
				violation = fmt.Sprintf("process %d: %s", i, p.violation)
			}
			if i > 1 {
				confirms += p.confirms
			}
		}
	})
	return violation, confirms
}

// A freshness proof relayed by another process never covers a write that the copy lacks, whichever
// process pauses between request and answer and whichever answers are lost.
func TestRelayedProofsAreValid(t *testing.T) {
	t.Parallel()
	confirms := 0
	for seed := range uint64(schedules) {
		violation, n := runSchedule(t, seed, false)
		require.Empty(t, violation, "seed %d", seed)
		confirms += n
	}
	require.Greater(t, confirms, 4*schedules)
}

// The check detects proofs that omit the ages. About half of the schedules show it; the exact
// share depends on the order in which the processes draw random numbers, so the bound is far
// below.
func TestCheckDetectsProofsWithoutAges(t *testing.T) {
	t.Parallel()
	const blind = 1000
	wrong := 0
	for seed := range uint64(blind) {
		if violation, _ := runSchedule(t, seed, true); violation != "" {
			wrong++
		}
	}
	require.Greater(t, wrong, blind/4)
}

// A change missed by all watches reaches every copy once one of them has been read in full.
func TestMissedChangesReachAllCopies(t *testing.T) {
	t.Parallel()
	for seed := range uint64(1000) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(seed)
			ctx, cancel := context.WithCancel(t.Context())
			done := f.run(ctx)
			for range 3 {
				f.write(time.Second)
				f.store.setMissing(true)
				f.write(time.Second)
				f.store.setMissing(false)
			}
			time.Sleep(compareTime) // answers continue to be lost
			cancel()
			done()
			newest := make(map[string]uint64)
			for _, w := range f.store.writes {
				newest[w.key] = w.revision
			}
			for i, p := range f.all {
				require.Equal(t, newest, p.held, "seed %d, process %d", seed, i)
			}
		})
	}
}
