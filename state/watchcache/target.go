package watchcache

import (
	"context"
	"time"

	"github.com/grademill/grademill/port/kv"
)

// setTarget asks the store for its revision, unless the replica, which has reached revision known, has yet to reach
// an earlier answer. If the store does not answer, the next call requests changes, of which an answer without any is a
// proof.
func (f *Feed) setTarget(ctx context.Context, known uint64) error {
	if f.target != 0 {
		return nil
	}
	asked := f.Cache.now()
	target, err := f.Store.Revision(ctx)
	if err == nil {
		err = checkRevision(known, target)
	}
	f.note(err)
	if err != nil {
		f.partial = false
		return err
	}
	f.target, f.targetAt = target, asked
	return nil
}

// forgetTarget forgets what the replica has yet to reach, since it is proven current otherwise.
func (f *Feed) forgetTarget() { f.partial, f.target = false, 0 }

// applyProven applies a page, requested at time sent, with which the replica has reached target.
func (f *Feed) applyProven(page kv.Page, sent time.Time, revision uint64) kv.Page {
	page.More = false
	page.Lag += sent.Sub(f.targetAt) // negative if the proof is newer than the request
	f.forgetTarget()
	page, _ = f.apply(page, f.targetAt, true, revision)
	return page
}
