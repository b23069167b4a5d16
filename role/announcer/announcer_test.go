package announcer_test

import (
	"context"
	"errors"
	"fmt"
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

// store keeps one announcement, and counts the calls by kind.
type store struct {
	mu       sync.Mutex
	revision uint64
	pair     kv.Pair
	lease    string
	granted  int
	calls    map[string]int
	fault    error
	// lost has the next write done and its answer lost.
	lost bool
}

var errAway = errors.New("the store is away")

func (s *store) count(kind string) error {
	if s.calls == nil {
		s.calls = make(map[string]int)
	}
	s.calls[kind]++
	return s.fault
}

func (s *store) Grant(context.Context, time.Duration) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted++
	return fmt.Sprint("lease-", s.granted), s.count("grant")
}

func (s *store) KeepAlive(_ context.Context, lease string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.count("renewal"); err != nil {
		return err
	}
	if lease != s.lease {
		return &kv.NotFoundError{Key: lease}
	}
	return nil
}

func (s *store) Put(_ context.Context, w kv.Write) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.count("write"); err != nil {
		return 0, err
	}
	if w.If != s.pair.Revision {
		return 0, &kv.ConflictError{Key: w.Key, Revision: s.pair.Revision}
	}
	s.revision++
	s.pair, s.lease = kv.Pair{Key: w.Key, Value: w.Value, Revision: s.revision}, w.Lease
	if s.lost {
		s.lost = false
		return 0, errAway
	}
	return s.revision, nil
}

func (s *store) Revoke(context.Context, string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	return s.count("end")
}

// look returns the announcement and the calls since the last look.
func (s *store) look() (kv.Pair, map[string]int) {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = nil
	return s.pair, calls
}

// lapse ends the lease; s.mu is held.
func (s *store) lapse() {
	s.revision++
	s.pair, s.lease = kv.Pair{Key: s.pair.Key, Revision: 0}, ""
}

// life runs one life of a gateway at an address; kill ends it without a word.
func life(t *testing.T, s *store, address string) (a *announcer.Announcer, kill func()) {
	var ready, ending atomic.Bool
	a = &announcer.Announcer{
		Self:  overlay.Member{Name: "gateway", Address: address, Hall: "north", LinkMegabits: 20},
		Store: s, Peers: new(peers.Table), Ready: &ready, Ending: &ending, Log: zerolog.Nop(),
	}
	if s.pair.Revision > 0 {
		require.True(t, a.Put(s.pair))
	}
	ready.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		a.Run(ctx)
		close(done)
	}()
	return a, func() {
		pair, _ := s.look()
		lease := s.lease
		cancel()
		<-done
		s.pair, s.lease = pair, lease // as if nothing had been revoked
		s.look()
	}
}

// Once it is announced a gateway makes a call in ten seconds, and a restart makes one more.
func TestAnnouncementCostsFewCalls(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := new(store)
		_, kill := life(t, s, "10.0.0.1:7340")
		time.Sleep(59 * time.Second)
		_, calls := s.look()
		require.Equal(t, map[string]int{"grant": 1, "write": 1, "renewal": 5}, calls)
		kill()
		_, kill = life(t, s, "10.0.0.1:7340")
		time.Sleep(5 * time.Second)
		_, calls = s.look()
		require.Equal(t, map[string]int{"renewal": 1}, calls, "the former life's announcement goes on")
		kill()
	})
}

func TestGatewayAtAnotherAddressIsAnnouncedAnew(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := new(store)
		_, kill := life(t, s, "10.0.0.1:7340")
		time.Sleep(time.Second)
		kill()
		former := s.pair.Revision
		_, kill = life(t, s, "10.0.0.2:7340")
		time.Sleep(time.Second)
		pair, _ := s.look()
		require.Greater(t, pair.Revision, former)
		kill()
	})
}

// An announcement whose lease has lapsed is written again, soon after the store has told of it.
func TestLapsedAnnouncementIsWrittenAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := new(store)
		a, kill := life(t, s, "10.0.0.1:7340")
		time.Sleep(time.Second)
		key := "grademill/gateways/gateway"
		s.look()
		s.mu.Lock()
		s.lapse()
		gone := s.revision
		s.mu.Unlock()
		require.True(t, a.Gone(key, gone))
		time.Sleep(1100 * time.Millisecond)
		pair, calls := s.look()
		require.Greater(t, pair.Revision, gone)
		require.Equal(t, map[string]int{"grant": 1, "write": 1}, calls)
		require.True(t, a.Gone(key, gone), "told once more, after it has been written")
		time.Sleep(5 * time.Second)
		_, calls = s.look()
		require.Empty(t, calls)
		kill()
	})
}

// A write whose answer was lost is not made again once the store has told of it.
func TestWriteWithoutAnAnswerIsFound(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &store{lost: true}
		a, kill := life(t, s, "10.0.0.1:7340")
		time.Sleep(time.Second)
		pair, _ := s.look()
		require.True(t, a.Put(pair))
		time.Sleep(5 * time.Second)
		_, calls := s.look()
		require.Equal(t, map[string]int{"renewal": 1}, calls)
		kill()
	})
}
