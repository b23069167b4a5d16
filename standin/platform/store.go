// Package platform is a stand-in for the platform's key-value service and its
// list of hosts. Use a Store directly in a process, or serve its Handler; SetFault
// makes it fail as the real service can.
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

// MaxValue is the largest size of a value in bytes.
const MaxValue = 1 << 20

// watchTimeout is how long a watch waits for a change before it returns none.
const watchTimeout = 20 * time.Second

// Fault describes how the store fails. The zero Fault is no fault.
type Fault struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// LoseAnswers makes writes take effect but return an error.
	LoseAnswers bool `json:"lose_answers"`
	// Delay is added to each call.
	Delay time.Duration `json:"delay"`
}

// faultError is the cause of an injected failure.
type faultError string

// Error returns the cause.
func (e faultError) Error() string {
	return string(e)
}

const (
	errDown = faultError("service is down")
	errLost = faultError("answer was lost")
)

// Store is the stand-in for the key-value service and the list of hosts. The zero
// Store is empty and ready to use.
type Store struct {
	// HostsDelay is the delay before a change of the host list becomes visible.
	HostsDelay time.Duration

	mu        sync.Mutex
	revision  uint64
	pairs     map[string]kv.Pair
	deleted   map[string]uint64
	leases    map[string]*lease
	changed   chan struct{}
	fault     Fault
	calls     map[string]int
	hosts     []hosts.Host
	previous  []hosts.Host
	visibleAt time.Time
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// SetFault sets the fault of all calls from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notifyWatches()
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

// SetHosts replaces the list of hosts; the new list becomes visible after HostsDelay.
func (s *Store) SetHosts(list []hosts.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previous = s.visible()
	s.hosts = list
	s.visibleAt = time.Now().Add(s.HostsDelay)
}

// Hosts returns the list of hosts that is visible now.
func (s *Store) Hosts(ctx context.Context) ([]hosts.Host, error) {
	if _, err := s.begin(ctx, "hosts"); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	return append([]hosts.Host(nil), s.visible()...), nil
}

func (s *Store) visible() []hosts.Host {
	if time.Now().Before(s.visibleAt) {
		return s.previous
	}
	return s.hosts
}

// begin counts a call and applies the fault. It returns with s.mu held unless it
// returns an error.
func (s *Store) begin(ctx context.Context, kind string) (Fault, error) {
	s.mu.Lock()
	if s.calls == nil {
		s.calls = make(map[string]int)
		s.pairs = make(map[string]kv.Pair)
		s.deleted = make(map[string]uint64)
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
	s.expireLeases()
	return fault, nil
}

// Get returns the pair of a key, or a NotFoundError.
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

// List returns at most limit pairs with a prefix, in the order of their keys, from
// the first key after the given one.
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

// Put writes a pair if the key is at the revision w.If, 0 if it must not exist, and
// returns the new revision. Otherwise it returns a ConflictError.
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
	delete(s.deleted, w.Key)
	s.notifyWatches()
	if fault.LoseAnswers {
		return 0, trace.Wrap(&kv.UnavailableError{Err: errLost})
	}
	return s.revision, nil
}

// Delete removes a pair if it is at a revision, and returns a ConflictError otherwise.
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

// Watch waits for changes under prefix after a revision and returns them in order.
// It returns none if watchTimeout passes without one.
func (s *Store) Watch(ctx context.Context, prefix string, revision uint64) ([]kv.Pair, error) {
	timeout := time.NewTimer(watchTimeout)
	defer timeout.Stop()
	for first := true; ; first = false {
		kind := "watch"
		if !first {
			kind = "watch again"
		}
		if _, err := s.begin(ctx, kind); err != nil {
			return nil, err
		}
		changes := s.since(prefix, revision)
		changed := s.changed
		s.mu.Unlock()
		if len(changes) > 0 {
			return changes, nil
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

// since returns the changes under prefix after revision, in order.
func (s *Store) since(prefix string, revision uint64) []kv.Pair {
	var changes []kv.Pair
	for key, pair := range s.pairs {
		if pair.Revision > revision && strings.HasPrefix(key, prefix) {
			changes = append(changes, pair)
		}
	}
	for key, deleted := range s.deleted {
		if deleted > revision && strings.HasPrefix(key, prefix) {
			changes = append(changes, kv.Pair{Key: key, Revision: deleted, Deleted: true})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Revision < changes[j].Revision })
	return changes
}

// Grant creates a lease that expires after ttl without renewal, and returns its ID.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	if _, err := s.begin(ctx, "grant"); err != nil {
		return "", err
	}
	defer s.mu.Unlock()
	s.revision++
	id := fmt.Sprintf("lease-%d", s.revision)
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: make(map[string]bool)}
	return id, nil
}

// KeepAlive renews a lease for its time to live.
func (s *Store) KeepAlive(ctx context.Context, id string) error {
	if _, err := s.begin(ctx, "keepalive"); err != nil {
		return err
	}
	defer s.mu.Unlock()
	held := s.leases[id]
	if held == nil {
		return trace.Wrap(&kv.NotFoundError{Key: id})
	}
	held.expires = time.Now().Add(held.ttl)
	return nil
}

// expireLeases removes expired leases and their keys; s.mu is held.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, held := range s.leases {
		if now.Before(held.expires) {
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
	s.deleted[key] = s.revision
	s.notifyWatches()
}

// notifyWatches makes the waiting watches check for changes; s.mu is held.
func (s *Store) notifyWatches() {
	if s.changed == nil {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
