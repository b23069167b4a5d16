package watchcache

import (
	"time"

	"github.com/grademill/grademill/port/kv"
)

// scan is a full read, page by page.
type scan struct {
	sent time.Time
	// stale is set if the first page may be older than the request for it.
	stale bool
	// first is the revision of the first page, and at is the lowest revision of any page.
	first, at uint64
	pairs     []kv.Pair
	seen      replica
}

// addPage adds a page to the read.
func (s *scan) addPage(page kv.Page) {
	if !s.seen.loaded() {
		s.first, s.at = page.At, page.At
		s.seen.revisions = make(map[string]uint64)
	}
	s.at = min(s.at, page.At)
	for _, p := range page.Pairs {
		s.seen.put(p.Key, p.Revision)
	}
	s.pairs = append(s.pairs, page.Pairs...)
}

// differences returns the changes relative to the known revisions of keys. It does not filter by
// the revision up to which all changes seemed to be known, because a watch may have missed some.
func (s *scan) differences(known map[string]uint64) []kv.Pair {
	var list []kv.Pair
	for _, p := range s.pairs {
		if p.Revision > known[p.Key] {
			list = append(list, p)
		}
	}
	for key := range known {
		if _, there := s.seen.revisions[key]; !there {
			list = append(list, kv.Pair{Key: key, Revision: s.at, Deleted: true})
		}
	}
	return list
}
