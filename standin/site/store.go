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

// Item is a key with its value and revisions, or the removal of one, on the wire.
type Item struct {
	Key   string `json:"key"`
	Value string `json:"value,omitempty"`
	Rev   uint64 `json:"rev"`
	Made  uint64 `json:"made,omitempty"`
	Lease uint64 `json:"lease,omitempty"`
	Gone  bool   `json:"gone,omitempty"`
}

// Fault is a fault injected into one call of the store.
type Fault struct {
	// Status, if not 0, is the status with which the call is refused without effect.
	Status int
	// Silent means that the call gets no answer and has no effect. If Applied is set as well, the call
	// has its effect and only the answer is lost; Applied alone does nothing.
	Silent, Applied bool
	// Delay is added before the call.
	Delay time.Duration
}

// Store is the stand-in for the platform's key-value store: keys with revisions,
// leases, conditional changes, and watches over a history that can be compacted.
// The zero Store is empty and ready to use.
type Store struct {
	mu     sync.Mutex // guards what follows
	items  map[string]Item
	leases map[uint64]time.Time
	ttls   map[uint64]time.Duration
	// granted is the number of leases granted so far.
	granted uint64
	history []Item
	// compactedRev is the revision up to which the history has been compacted.
	compactedRev uint64
	rev          uint64
	changed      chan struct{}
	// staleItems is the content that stale reads return, nil for the current one; staleRev is its revision.
	staleItems map[string]Item
	staleRev   uint64
	fault      func(*http.Request) Fault
	calls      map[string]int
}

// protected lists the prefixes of keys that only operators and endpoints may write.
var protected = []string{"op/", "servers/"}

// Set writes the JSON encoding of value to a key, even to a protected one.
func (s *Store) Set(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // a test set a value that cannot be encoded
	}
	s.SetText(key, text)
}

// SetText writes a text to a key in the encoding of the wire.
func (s *Store) SetText(key string, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, base64.StdEncoding.EncodeToString(text), 0)
}

// SetValue writes a value to a key as is, without the encoding of the wire.
func (s *Store) SetValue(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Remove removes a key, even a protected one.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Value returns the decoded text of a key, empty if there is none or it cannot be decoded.
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

// Compact discards the history, so that watches from earlier revisions fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRev = nil, s.rev
	s.notifyWatches()
}

// FreezeStaleReads makes stale reads return the present content from now on.
func (s *Store) FreezeStaleReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleItems, s.staleRev = maps.Clone(s.items), s.rev
}

// SetFaults sets the function that returns the fault for each call from now on; nil
// for no faults.
func (s *Store) SetFaults(fault func(*http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.notifyWatches()
}

// Calls returns how many times a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// ServeHTTP serves one call, with the fault set by SetFaults.
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
	case fault.Silent && !fault.Applied:
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
	_ = json.NewEncoder(w).Encode(answer) // the caller may have closed the connection
}

// hang waits until the caller has closed the connection, which the server notices only once the body
// has been read.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// call executes one call and returns the status and body of the answer.
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
		return s.renew(strings.TrimPrefix(r.URL.Path, "/-/kv-keep/"))
	case strings.HasPrefix(r.URL.Path, "/-/kv-lease-end/"):
		return s.revoke(strings.TrimPrefix(r.URL.Path, "/-/kv-lease-end/"))
	}
	return http.StatusNotFound, nil
}

func (s *Store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	item, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, item
}

// pageItems is the largest number of items in a page, and of events in an answer to a
// watch; it is small so that tests read several.
const pageItems = 50

// answerBytes is the size of the values beyond which a page, or the answer to a watch, holds no further item.
const answerBytes = 1 << 20

func (s *Store) scan(prefix, after string, stale bool) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	items, at := s.items, s.rev
	if stale && s.staleItems != nil {
		items, at = s.staleItems, s.staleRev
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

// watch waits for changes under a prefix, up to the time that the caller asks for.
func (s *Store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after_rev"), 10, 64)
	millis, err2 := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || err2 != nil {
		return http.StatusBadRequest, nil
	}
	timeout := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timeout.Stop()
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
		case <-timeout.C:
			return http.StatusOK, map[string]any{"events": []Item{}, "at": at}
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, nil
		}
	}
}

// since returns up to pageItems changes under a prefix after a revision, the revision up to
// which these are all changes, a channel that is closed at the next change, and whether those
// changes have been compacted.
func (s *Store) since(prefix string, after uint64) ([]Item, uint64, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if after < s.compactedRev {
		return nil, 0, nil, true
	}
	var events []Item
	bytes := 0
	for _, item := range s.history {
		if item.Rev > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
			bytes += len(item.Value)
		}
		if len(events) == pageItems || bytes >= answerBytes {
			return events, item.Rev, s.changed, false
		}
	}
	return events, s.rev, s.changed, false
}

// transaction is the body of a change that applies only if every listed key is at
// its expected revision.
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
	s.expireLeases()
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
	var body struct {
		Millis int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		s.leases, s.ttls = make(map[uint64]time.Time), make(map[uint64]time.Duration)
	}
	s.granted++
	id := s.granted
	s.ttls[id] = time.Duration(body.Millis) * time.Millisecond
	s.leases[id] = time.Now().Add(s.ttls[id])
	return http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.Millis}
}

func (s *Store) renew(text string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	id, err := strconv.ParseUint(text, 10, 64)
	if _, ok := s.leases[id]; err != nil || !ok {
		return http.StatusNotFound, nil
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	return http.StatusOK, map[string]any{"ttl_ms": s.ttls[id].Milliseconds()}
}

func (s *Store) revoke(text string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, err := strconv.ParseUint(text, 10, 64)
	if _, ok := s.leases[id]; err != nil || !ok {
		return http.StatusNotFound, nil
	}
	s.endLease(id)
	return http.StatusOK, nil
}

// expireLeases ends the leases that have expired; s.mu is held.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, until := range s.leases {
		if now.After(until) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys; s.mu is held.
func (s *Store) endLease(id uint64) {
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
	s.notifyWatches()
}

// remove removes a key, if present; s.mu is held.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.rev++
	s.history = append(s.history, Item{Key: key, Rev: s.rev, Gone: true})
	s.notifyWatches()
}

// notifyWatches makes the waiting watches check for changes; s.mu is held.
func (s *Store) notifyWatches() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
