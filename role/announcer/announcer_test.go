package announcer_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/role/announcer"
	"github.com/grademill/grademill/state/peers"
)

const prefix = "grademill/gateways/"

// store holds announcements, notifies gateways of changes, and counts the calls by kind.
type store struct {
	mu       sync.Mutex // guards the fields below
	revision uint64
	pairs    map[string]kv.Pair
	calls    map[string]int
	watchers []*announcer.Announcer
	// loseAnswer makes the next write succeed but its answer fail.
	loseAnswer bool
}

func newStore() *store { return &store{pairs: make(map[string]kv.Pair), calls: make(map[string]int)} }

var errLost = errors.New("answer lost")

func (s *store) Put(_ context.Context, w kv.Write) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["write"]++
	if w.If != s.pairs[w.Key].Revision {
		return 0, &kv.ConflictError{Key: w.Key}
	}
	s.revision++
	pair := kv.Pair{Key: w.Key, Value: w.Value, Revision: s.revision}
	s.pairs[w.Key] = pair
	for _, a := range s.watchers {
		a.Put(pair)
	}
	if s.loseAnswer {
		s.loseAnswer = false
		return 0, errLost
	}
	return s.revision, nil
}

func (s *store) Remove(_ context.Context, pairs []kv.Pair) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["removal"]++
	for _, p := range pairs {
		if s.pairs[p.Key].Revision != p.Revision {
			return &kv.ConflictError{Key: p.Key}
		}
	}
	for _, p := range pairs {
		s.remove(p.Key)
	}
	return nil
}

// remove removes a pair; s.mu is held.
func (s *store) remove(key string) {
	s.revision++
	delete(s.pairs, key)
	for _, a := range s.watchers {
		a.Removed(key, s.revision)
	}
}

// check returns the names that are announced, and the calls since the last check.
func (s *store) check() (names []string, calls map[string]int) {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.pairs)) {
		names = append(names, strings.TrimPrefix(key, prefix))
	}
	calls = s.calls
	s.calls = make(map[string]int)
	return names, calls
}

// incarnation is one incarnation of a gateway.
type incarnation struct {
	*announcer.Announcer
	s      *store
	cancel context.CancelFunc
	done   chan struct{}
}

// startGateway starts an incarnation of a gateway that has read the store.
func startGateway(t *testing.T, s *store, name, hall, address string) *incarnation {
	var ready, ending atomic.Bool
	ready.Store(true)
	self := overlay.Member{Name: name, Address: address, Hall: hall}
	table := new(peers.Table)
	l := &incarnation{s: s, done: make(chan struct{}), Announcer: &announcer.Announcer{
		Self: self, Store: s, Peers: table, Ready: &ready, Ending: &ending, Log: zerolog.Nop(),
		Overlay: func() overlay.Overlay {
			return overlay.Overlay{Self: self, Others: table.Members(name), FlatFleetSize: 2}
		},
	}}
	s.mu.Lock()
	for _, p := range s.pairs {
		require.True(t, l.Put(p))
	}
	s.watchers = append(s.watchers, l.Announcer)
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	l.cancel = cancel
	go func() {
		l.Run(ctx)
		close(l.done)
	}()
	return l
}

// stop stops the incarnation gracefully.
func (l *incarnation) stop() {
	l.cancel()
	<-l.done
}

// kill ends the incarnation without any call to the store.
func (l *incarnation) kill() {
	l.s.mu.Lock()
	l.s.watchers = slices.DeleteFunc(l.s.watchers, func(a *announcer.Announcer) bool { return a == l.Announcer })
	pairs, revision := maps.Clone(l.s.pairs), l.s.revision
	watchers := l.s.watchers
	l.s.watchers = nil
	l.s.mu.Unlock()
	l.stop()
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	l.s.pairs, l.s.revision, l.s.watchers = pairs, revision, watchers
}

// hear delivers the digests of the gateways to each other within a hall, and the sums of the named
// other halls to all.
func hear(all []*incarnation, number uint64, halls ...string) {
	now := time.Now()
	for _, l := range all {
		for _, other := range all {
			if other != l && other.Self.Hall == l.Self.Hall {
				l.Peers.AddReport(peers.Report{From: other.Self, Number: number}, l.Self, now)
			}
		}
		for _, hall := range halls {
			l.Peers.AddReport(peers.Report{From: overlay.Member{Name: "speaker", Hall: hall}, Number: number, Members: 3}, l.Self, now)
		}
		l.Peers.Expire(now, 6, time.Second)
		l.Peers.MarkAbsent(now, 8*time.Second)
	}
}

// pass lets time pass while the incarnations hear each other.
func pass(d time.Duration, all []*incarnation, halls ...string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		hear(all, uint64(time.Now().UnixNano()), halls...)
	}
}

// An announcement takes one call, and a restart at the same address none.
func TestAnnouncementTakesOneCall(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		l := startGateway(t, s, "a", "north", "10.0.0.1:7340")
		time.Sleep(time.Minute)
		names, calls := s.check()
		require.Equal(t, []string{"a"}, names)
		require.Equal(t, map[string]int{"write": 1}, calls)
		l.kill()
		s.check()
		l = startGateway(t, s, "a", "north", "10.0.0.1:7340")
		time.Sleep(time.Minute)
		_, calls = s.check()
		require.Empty(t, calls)
		l.stop()
		names, _ = s.check()
		require.Empty(t, names)
	})
}

func TestGatewayAtAnotherAddressIsAnnouncedAnew(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		startGateway(t, s, "a", "north", "10.0.0.1:7340").kill()
		l := startGateway(t, s, "a", "north", "10.0.0.2:7340")
		time.Sleep(time.Second)
		s.check()
		require.Contains(t, string(s.pairs[prefix+"a"].Value), "10.0.0.2:7340")
		l.stop()
	})
}

// A write whose answer was lost is not repeated once the store has reported the change.
func TestWriteWithLostAnswerIsNotRepeated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.loseAnswer = true
		l := startGateway(t, s, "a", "north", "10.0.0.1:7340")
		time.Sleep(10 * time.Second)
		names, calls := s.check()
		require.Equal(t, []string{"a"}, names)
		require.Equal(t, map[string]int{"write": 1}, calls)
		l.stop()
	})
}

// startHall starts n gateways in a hall.
func startHall(t *testing.T, s *store, name string, n int) []*incarnation {
	var all []*incarnation
	for i := range n {
		all = append(all, startGateway(t, s, fmt.Sprint(name, "-", i), name, fmt.Sprint("10.0.0.", i)))
	}
	time.Sleep(time.Second)
	return all
}

// The announcement of a gateway that has ended is removed by one other gateway, after half a
// minute.
func TestAnnouncementOfAnEndedGatewayIsRemoved(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		all := startHall(t, s, "north", 5)
		pass(10*time.Second, all)
		all[2].kill()
		rest := slices.Delete(slices.Clone(all), 2, 3)
		s.check()
		pass(28*time.Second, rest)
		names, calls := s.check()
		require.Len(t, names, 5, "removed too early: the gateway may only be cut off")
		require.Empty(t, calls)
		pass(10*time.Second, rest)
		names, calls = s.check()
		require.Equal(t, []string{"north-0", "north-1", "north-3", "north-4"}, names)
		require.Equal(t, map[string]int{"removal": 1}, calls)
		for _, l := range rest {
			l.stop()
		}
	})
}

// When all gateways of a hall have ended, a gateway of another hall removes their announcements.
func TestAnnouncementsOfAnEndedHallAreRemoved(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		north, south := startHall(t, s, "north", 4), startHall(t, s, "south", 4)
		pass(10*time.Second, north, "south")
		for _, l := range south {
			l.kill()
		}
		s.check()
		pass(60*time.Second, north)
		names, calls := s.check()
		require.Equal(t, []string{"north-0", "north-1", "north-2", "north-3"}, names)
		require.Equal(t, map[string]int{"removal": 1}, calls)
		for _, l := range north {
			l.stop()
		}
	})
}

// A gateway that is cut off from all others, but not from the store, does not consider them ended.
// The others remove its announcement in the end, and it announces itself again.
func TestIsolatedGatewayRemovesNoAnnouncements(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		all := startHall(t, s, "north", 5)
		pass(10*time.Second, all)
		s.check()
		for range 45 {
			hear(all[1:], uint64(time.Now().UnixNano()))
			hear(all[:1], uint64(time.Now().UnixNano()))
			time.Sleep(time.Second)
		}
		names, calls := s.check()
		require.Len(t, names, 5)
		require.Equal(t, map[string]int{"removal": 1, "write": 1}, calls)
		for _, l := range all {
			l.stop()
		}
	})
}
