package watchcache

import (
	"hash/fnv"

	"github.com/grademill/grademill/port/kv"
)

// replica holds the revision of each key that a process knows. The zero replica has not been
// loaded yet.
type replica struct {
	revisions map[string]uint64
	// sum is the exclusive or of the digests of all keys with their revisions. It allows two
	// replicas at the same revision of the store to be compared.
	sum uint64
	// newest is the newest revision of any key. During a full read it may exceed the revision of
	// the first page.
	newest uint64
}

// loaded reports whether a full read has filled the replica, or is filling it.
func (r *replica) loaded() bool { return r.revisions != nil }

// put records the revision of a written key. The replica must be loaded or being loaded.
func (r *replica) put(key string, revision uint64) {
	r.remove(key)
	r.revisions[key] = revision
	r.sum ^= digest(key, revision)
	r.newest = max(r.newest, revision)
}

// remove records that a key was deleted.
func (r *replica) remove(key string) {
	if former, there := r.revisions[key]; there {
		r.sum ^= digest(key, former)
		delete(r.revisions, key)
	}
}

// apply applies changes. It returns as updates those that are new to this replica, and as toRelay
// these and all others with a revision above after, which requesters may lack. While the replica is
// not loaded, both are all changes.
func (r *replica) apply(pairs []kv.Pair, after uint64) (updates, toRelay []kv.Pair) {
	if !r.loaded() {
		return pairs, pairs
	}
	for _, p := range pairs {
		fresh := r.applyPair(p)
		if fresh {
			updates = append(updates, p)
		}
		if fresh || p.Revision > after {
			toRelay = append(toRelay, p)
		}
	}
	return updates, toRelay
}

// applyPair applies a change and reports whether it is new.
func (r *replica) applyPair(p kv.Pair) bool {
	known, there := r.revisions[p.Key]
	switch {
	case there && p.Revision <= known || p.Deleted && !there:
		return false
	case p.Deleted:
		r.remove(p.Key)
	default:
		r.put(p.Key, p.Revision)
	}
	return true
}

// sumAt returns the checksum of the replica for a revision of the store, 0 if the replica is not
// loaded or contains later changes.
func (r *replica) sumAt(revision uint64) uint64 {
	if !r.loaded() || r.newest > revision {
		return 0
	}
	return r.sum
}

// digest returns the FNV-1a hash of a key with its revision.
func digest(key string, revision uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // never fails
	var text [8]byte
	for i := range text {
		text[i] = byte(revision >> (8 * i))
	}
	_, _ = h.Write(text[:])
	return h.Sum64()
}
