package watchcache

import (
	"hash/fnv"

	"github.com/grademill/grademill/port/kv"
)

// replica is which revision of each key a process has. The zero replica is one that has not been
// read yet.
type replica struct {
	revisions map[string]uint64
	// sum is the exclusive or of the digests of all keys with their revisions, so that two replicas
	// at the same revision of the store can be compared.
	sum uint64
	// newest is the newest revision of a key. While a reading of all is taken in it is beyond the
	// revision of its first page.
	newest uint64
}

// read reports whether all has been read.
func (r *replica) read() bool { return r.revisions != nil }

// put notes the revision of a key that has been written; the replica has been read, or is being read.
func (r *replica) put(key string, revision uint64) {
	r.remove(key)
	r.revisions[key] = revision
	r.sum ^= digest(key, revision)
	r.newest = max(r.newest, revision)
}

// remove notes that a key has gone.
func (r *replica) remove(key string) {
	if former, there := r.revisions[key]; there {
		r.sum ^= digest(key, former)
		delete(r.revisions, key)
	}
}

// learn takes changes in. It returns those that are news, which are all until all has been read, and
// with them those after a revision.
func (r *replica) learn(pairs []kv.Pair, after uint64) (news, later []kv.Pair) {
	if !r.read() {
		return pairs, pairs
	}
	for _, p := range pairs {
		fresh := r.take(p)
		if fresh {
			news = append(news, p)
		}
		if fresh || p.Revision > after {
			later = append(later, p)
		}
	}
	return news, later
}

// take takes a change in, and reports whether it is news.
func (r *replica) take(p kv.Pair) bool {
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

// sumAt returns the sum of the replica as one of a revision of the store, 0 when it holds later
// changes than that.
func (r *replica) sumAt(revision uint64) uint64 {
	if !r.read() || r.newest > revision {
		return 0
	}
	return r.sum
}

// digest returns that of a key with its revision.
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
