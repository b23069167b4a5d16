// Package platform is a small stand-in for the platform's key-value service
// and its list of hosts, with the faults that the real ones have.
package platform

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/grademill/grademill/port/hosts"
	"github.com/grademill/grademill/port/kv"
)

// MaxValue is the size of the largest value.
const MaxValue = 1 << 20

// watchTime is how long a watch waits before it returns nothing.
const watchTime = 20 * time.Second

// Fault is what the store does wrong now. The zero Fault does nothing wrong.
type Fault struct {
	// Down fails every call without effect.
	Down bool `json:"down"`
	// LoseAnswers lets writes take effect and fails their answers.
	LoseAnswers bool `json:"lose_answers"`
	// Delay is added to each call.
	Delay time.Duration `json:"delay"`
}

// faultError is a call that the store failed on purpose.
type faultError string

// Error returns the fault.
func (e faultError) Error() string {
	return string(e)
}

const (
	errDown = faultError("service is down")
	errLost = faultError("answer was lost")
)

// Store is the stand-in. The zero Store is empty and ready.
type Store struct {
	// Lag is how long a change of the host list takes to show.
	Lag time.Duration

	mu       sync.Mutex
	revision uint64
	pairs    map[string]kv.Pair
	gone     map[string]uint64
	leases   map[string]*lease
	changed  chan struct{}
	fault    Fault
	calls    map[string]int
	hosts    []hosts.Host
	former   []hosts.Host
	shown    time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
	keys map[string]bool
}

// SetFault makes the store go wrong from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// Calls returns the number of calls so far, by kind.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for kind, n := range s.calls {
		calls[kind] = n
	}
	return calls
}

// SetHosts replaces the list of hosts; it shows after Lag.
func (s *Store) SetHosts(list []hosts.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.former = s.visible()
	s.hosts = list
	s.shown = time.Now().Add(s.Lag)
}

// Hosts returns the list of hosts as it shows now.
func (s *Store) Hosts(ctx context.Context) ([]hosts.Host, error) {
	if _, err := s.begin(ctx, "hosts"); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	return append([]hosts.Host(nil), s.visible()...), nil
}

func (s *Store) visible() []hosts.Host {
	if time.Now().Before(s.shown) {
		return s.former
	}
	return s.hosts
}

// begin counts a call, lets the fault act, and returns with s.mu held unless it
// returns an error.
func (s *Store) begin(ctx context.Context, kind string) (Fault, error) {
	s.mu.Lock()
	if s.calls == nil {
		s.calls = make(map[string]int)
		s.pairs = make(map[string]kv.Pair)
		s.gone = make(map[string]uint64)
		s.leases = make(map[string]*lease)
		s.changed = make(chan struct{})
	}
	s.calls[kind]++
	fault := s.fault
	s.mu.Unlock()
	if fault.Delay > 0 {
		select {
		case <-ctx.Done():
			return fault, trace.Wrap(&kv.UnavailableError{Err: ctx.Err()})
		case <-time.After(fault.Delay):
		}
	}
	if fault.Down {
		return fault, trace.Wrap(&kv.UnavailableError{Err: errDown})
	}
	s.mu.Lock()
	s.lapse()
	return fault, nil
}

// Get returns a pair.
func (s *Store) Get(ctx context.Context, key string) (kv.Pair, error) {
	if _, err := s.begin(ctx, "get"); err != nil {
		return kv.Pair{}, err
	}
	defer s.mu.Unlock()
	pair, ok := s.pairs[key]
	if !ok {
		return kv.Pair{}, trace.Wrap(&kv.NotFoundError{Key: key})
	}
	return pair, nil
}

// List returns pairs in the order of their keys.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]kv.Pair, error) {
	if _, err := s.begin(ctx, "list"); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	var list []kv.Pair
	for key, pair := range s.pairs {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, pair)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list[:min(len(list), limit)], nil
}

// Put writes a pair if its condition holds.
func (s *Store) Put(ctx context.Context, w kv.Write) (uint64, error) {
	fault, err := s.begin(ctx, "put")
	if err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if len(w.Value) > MaxValue {
		return 0, trace.LimitExceeded("value of %d bytes", len(w.Value))
	}
	if now := s.pairs[w.Key].Revision; now != w.If {
		return 0, trace.Wrap(&kv.ConflictError{Key: w.Key, Revision: now})
	}
	if w.Lease != "" {
		held := s.leases[w.Lease]
		if held == nil {
			return 0, trace.Wrap(&kv.NotFoundError{Key: w.Lease})
		}
		held.keys[w.Key] = true
	}
	s.revision++
	value := append([]byte(nil), w.Value...)
	s.pairs[w.Key] = kv.Pair{Key: w.Key, Value: value, Revision: s.revision}
	delete(s.gone, w.Key)
	s.wake()
	if fault.LoseAnswers {
		return 0, trace.Wrap(&kv.UnavailableError{Err: errLost})
	}
	return s.revision, nil
}

// Delete removes a pair.
func (s *Store) Delete(ctx context.Context, key string, revision uint64) error {
	fault, err := s.begin(ctx, "delete")
	if err != nil {
		return err
	}
	defer s.mu.Unlock()
	if now := s.pairs[key].Revision; now != revision {
		return trace.Wrap(&kv.ConflictError{Key: key, Revision: now})
	}
	s.remove(key)
	if fault.LoseAnswers {
		return trace.Wrap(&kv.UnavailableError{Err: errLost})
	}
	return nil
}

// Watch waits for changes under prefix.
func (s *Store) Watch(ctx context.Context, prefix string, revision uint64) ([]kv.Pair, error) {
	timeout := time.NewTimer(watchTime)
	defer timeout.Stop()
	for first := true; ; first = false {
		kind := "watch"
		if !first {
			kind = "watch again"
		}
		if _, err := s.begin(ctx, kind); err != nil {
			return nil, err
		}
		news := s.since(prefix, revision)
		changed := s.changed
		s.mu.Unlock()
		if len(news) > 0 {
			return news, nil
		}
		select {
		case <-ctx.Done():
			return nil, trace.Wrap(&kv.UnavailableError{Err: ctx.Err()})
		case <-timeout.C:
			return nil, nil
		case <-changed:
		}
	}
}

// since returns what changed under prefix after revision, in order.
func (s *Store) since(prefix string, revision uint64) []kv.Pair {
	var news []kv.Pair
	for key, pair := range s.pairs {
		if pair.Revision > revision && strings.HasPrefix(key, prefix) {
			news = append(news, pair)
		}
	}
	for key, gone := range s.gone {
		if gone > revision && strings.HasPrefix(key, prefix) {
			news = append(news, kv.Pair{Key: key, Revision: gone, Deleted: true})
		}
	}
	sort.Slice(news, func(i, j int) bool { return news[i].Revision < news[j].Revision })
	return news
}

// Grant makes a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	if _, err := s.begin(ctx, "grant"); err != nil {
		return "", err
	}
	defer s.mu.Unlock()
	s.revision++
	id := fmt.Sprintf("lease-%d", s.revision)
	s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl), keys: make(map[string]bool)}
	return id, nil
}

// KeepAlive renews a lease.
func (s *Store) KeepAlive(ctx context.Context, id string) error {
	if _, err := s.begin(ctx, "keepalive"); err != nil {
		return err
	}
	defer s.mu.Unlock()
	held := s.leases[id]
	if held == nil {
		return trace.Wrap(&kv.NotFoundError{Key: id})
	}
	held.ends = time.Now().Add(held.ttl)
	return nil
}

// lapse removes the keys of leases that ran out.
func (s *Store) lapse() {
	now := time.Now()
	for id, held := range s.leases {
		if now.Before(held.ends) {
			continue
		}
		for key := range held.keys {
			s.remove(key)
		}
		delete(s.leases, id)
	}
}

func (s *Store) remove(key string) {
	s.revision++
	delete(s.pairs, key)
	s.gone[key] = s.revision
	s.wake()
}

// wake lets watches look again.
func (s *Store) wake() {
	if s.changed == nil {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
