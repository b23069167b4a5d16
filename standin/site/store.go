package site

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key of the store on the wire.
type Item struct {
	Key   string `json:"key"`
	Value string `json:"value,omitempty"`
	Rev   uint64 `json:"rev"`
	Made  uint64 `json:"made,omitempty"`
	Lease uint64 `json:"lease,omitempty"`
	Gone  bool   `json:"gone,omitempty"`
}

// Fault is what becomes of one call of the store.
type Fault struct {
	// Status refuses the call without doing anything; 0 does it.
	Status int
	// Silent gives no answer: before the call is done, or after it with Lost.
	Silent, Lost bool
	// Delay is how much later the answer comes.
	Delay time.Duration
}

// Store is the store. The zero Store is empty and ready to use.
type Store struct {
	mu      sync.Mutex // guards what follows
	items   map[string]Item
	leases  map[uint64]time.Time
	ttls    map[uint64]time.Duration
	history []Item
	// floor is the revision up to which the history has been forgotten.
	floor   uint64
	rev     uint64
	changed chan struct{}
	// old is the store as stale pages show it, nil for one that is current, and oldRev its revision.
	old    map[string]Item
	oldRev uint64
	fault  func(*http.Request) Fault
	calls  map[string]int
}

// protected are the keys that only operators and endpoints may write.
var protected = []string{"op/", "servers/"}

// Set writes a key as its owner would.
func (s *Store) Set(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // tests set values that can be encoded
	}
	s.SetText(key, text)
}

// SetText writes the text of a key.
func (s *Store) SetText(key string, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, base64.StdEncoding.EncodeToString(text), 0)
}

// SetValue writes the value of a key as it stands on the wire.
func (s *Store) SetValue(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Remove takes a key away.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Value returns the text of a key, empty for none.
func (s *Store) Value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, err := base64.StdEncoding.DecodeString(s.items[key].Value)
	if err != nil {
		return ""
	}
	return string(text)
}

// Keys returns the keys with a prefix, in order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.floor = nil, s.rev
	s.wake()
}

// Age has stale pages show the store as it is now from here on.
func (s *Store) Age() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.old, s.oldRev = maps.Clone(s.items), s.rev
}

// Break decides from now on what becomes of each call; nil for no faults.
func (s *Store) Break(fault func(*http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.wake()
}

// Calls returns how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if s.calls == nil {
		s.calls = make(map[string]int)
	}
	s.calls[r.URL.Path]++
	fault := Fault{}
	if s.fault != nil {
		fault = s.fault(r)
	}
	s.mu.Unlock()
	if fault.Delay > 0 {
		time.Sleep(fault.Delay)
	}
	switch {
	case fault.Status != 0:
		w.WriteHeader(fault.Status)
		return
	case fault.Silent && !fault.Lost:
		hang(r)
		return
	}
	status, answer := s.call(r)
	if fault.Silent {
		hang(r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // the caller may have left
}

// hang waits until the caller has left, which shows only once the body has been read.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// call does one call.
func (s *Store) call(r *http.Request) (int, any) {
	switch {
	case r.URL.Path == "/-/kv-key":
		return s.get(r.URL.Query().Get("key"))
	case r.URL.Path == "/-/kv-range":
		return s.scan(r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after_rev"), r.URL.Query().Get("stale") == "1")
	case r.URL.Path == "/-/kv-watch":
		return s.watch(r)
	case r.URL.Path == "/-/kv-txn":
		return s.transact(r)
	case r.URL.Path == "/-/kv-lease":
		return s.grant(r)
	case strings.HasPrefix(r.URL.Path, "/-/kv-keep/"):
		return s.keep(strings.TrimPrefix(r.URL.Path, "/-/kv-keep/"))
	case strings.HasPrefix(r.URL.Path, "/-/kv-lease-end/"):
		return s.end(strings.TrimPrefix(r.URL.Path, "/-/kv-lease-end/"))
	}
	return http.StatusNotFound, nil
}

func (s *Store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	item, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, item
}

// pageItems is the number of items of a page; small, so that tests meet several.
const pageItems = 50

func (s *Store) scan(prefix, after string, stale bool) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	items, at := s.items, s.rev
	if stale && s.old != nil {
		items, at = s.old, s.oldRev
	}
	list := make([]Item, 0, len(items))
	for key, item := range items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, item)
		}
	}
	slices.SortFunc(list, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	more := len(list) > pageItems
	return http.StatusOK, map[string]any{"items": list[:min(len(list), pageItems)], "more": more, "at": at}
}

// watch waits for changes.
func (s *Store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after_rev"), 10, 64)
	millis, err2 := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || err2 != nil {
		return http.StatusBadRequest, nil
	}
	over := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer over.Stop()
	for {
		events, at, changed, compacted := s.since(query.Get("path_prefix"), after)
		if compacted {
			return http.StatusGone, nil
		}
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "at": at}
		}
		select {
		case <-changed:
		case <-over.C:
			return http.StatusOK, map[string]any{"events": []Item{}, "at": at}
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

// since returns the changes under a prefix after a revision, with a channel that
// is closed at the next change.
func (s *Store) since(prefix string, after uint64) ([]Item, uint64, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if after < s.floor {
		return nil, 0, nil, true
	}
	var events []Item
	for _, item := range s.history {
		if item.Rev > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.rev, s.changed, false
}

// transaction is the body of a conditional change.
type transaction struct {
	Conditions []struct {
		Key string `json:"key"`
		Rev uint64 `json:"rev"`
	} `json:"expect_rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"put"`
	Removes []string `json:"remove"`
}

func (s *Store) transact(r *http.Request) (int, any) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	for _, c := range t.Conditions {
		if s.items[c.Key].Rev != c.Rev {
			return http.StatusPreconditionFailed, map[string]any{"items": []Item{s.items[c.Key]}}
		}
	}
	for _, p := range t.Puts {
		if slices.ContainsFunc(protected, func(prefix string) bool { return strings.HasPrefix(p.Key, prefix) }) {
			return http.StatusForbidden, nil
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Removes {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"rev": s.rev}
}

func (s *Store) grant(r *http.Request) (int, any) {
	var ask struct {
		Millis int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		s.leases, s.ttls = make(map[uint64]time.Time), make(map[uint64]time.Duration)
	}
	s.rev++
	id := s.rev
	s.ttls[id] = time.Duration(ask.Millis) * time.Millisecond
	s.leases[id] = time.Now().Add(s.ttls[id])
	return http.StatusOK, map[string]any{"lease": id, "ttl_ms": ask.Millis}
}

func (s *Store) keep(text string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse()
	id, err := strconv.ParseUint(text, 10, 64)
	if _, ok := s.leases[id]; err != nil || !ok {
		return http.StatusNotFound, nil
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	return http.StatusOK, map[string]any{"ttl_ms": s.ttls[id].Milliseconds()}
}

func (s *Store) end(text string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, err := strconv.ParseUint(text, 10, 64)
	if _, ok := s.leases[id]; err != nil || !ok {
		return http.StatusNotFound, nil
	}
	s.over(id)
	return http.StatusOK, nil
}

// lapse ends the leases that have run out; s.mu is held.
func (s *Store) lapse() {
	now := time.Now()
	for id, until := range s.leases {
		if now.After(until) {
			s.over(id)
		}
	}
}

// over ends a lease with its keys; s.mu is held.
func (s *Store) over(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

// put writes a key; s.mu is held.
func (s *Store) put(key, value string, lease uint64) {
	if s.items == nil {
		s.items = make(map[string]Item)
	}
	s.rev++
	item := Item{Key: key, Value: value, Rev: s.rev, Made: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.Made = old.Made
	}
	s.items[key] = item
	s.history = append(s.history, item)
	s.wake()
}

// remove takes a key away; s.mu is held.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.rev++
	s.history = append(s.history, Item{Key: key, Rev: s.rev, Gone: true})
	s.wake()
}

// wake lets the waiting watches look again; s.mu is held.
func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
