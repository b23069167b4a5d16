package watchcache

import (
	"fmt"

	"github.com/gravitational/trace"

	"github.com/grademill/grademill/port/kv"
)

// RevisionError reports an answer of the store at a revision below one that the store has named before.
type RevisionError struct {
	Known, Answered uint64
}

// Error returns both revisions.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("answer at revision %d, but revision %d is known", e.Answered, e.Known)
}

// checkRevision returns a kv.UnavailableError if the store answers at a revision below one that it has named before:
// such an answer is of an earlier state, or names no revision.
func checkRevision(known, answered uint64) error {
	if answered >= known {
		return nil
	}
	return trace.Wrap(&kv.UnavailableError{Err: &RevisionError{Known: known, Answered: answered}})
}

// checkChanges returns an error if an answer of the store to a request for the changes after a revision cannot be
// trusted. It is a CompactedError if the revision of the whole store has risen without a change: the request has missed
// one, which only a full read finds.
func (f *Feed) checkChanges(prefix string, revision uint64, page kv.Page) error {
	if err := checkRevision(revision, page.At); err != nil {
		return err
	}
	if prefix != "" || len(page.Pairs) > 0 || page.At == revision {
		return nil
	}
	f.Log.Warn().Uint64("revision", revision).Uint64("store_revision", page.At).Dur("proof_age_ms", f.Age()).
		Msg("the revision of the store has risen without a change, reading all again")
	return trace.Wrap(&kv.CompactedError{Revision: revision})
}
