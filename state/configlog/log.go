// Package configlog stores the operators' configuration as a log in the platform's
// key-value service. A Log appends changes and applies those of all processes to a
// local replica.
package configlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/decide/policy"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/state/configreplica"
	"github.com/grademill/grademill/state/headlog"
)

// Keys in the store.
const (
	headKey        = "config/head"
	snapshotPrefix = "config/snapshot/"
)

// At maxRecords records, the oldest go into a snapshot and keepRecords stay in the head.
// The head is short because every watcher receives all of it with each change.
const (
	maxRecords  = 48
	keepRecords = 16
)

// Log reads and appends to the configuration log. Create it with New.
type Log struct {
	// Replica is the local replica to which the log applies every change.
	Replica *configreplica.Config

	store kv.Store
	log   headlog.Log
}

// New returns a log in store that applies its changes to r.
func New(store kv.Store, r *configreplica.Config) *Log {
	l := &Log{Replica: r, store: store}
	l.log = headlog.Log{Store: store, Key: headKey, Trim: l.trim}
	return l
}

// Change appends a change under a unique write ID and returns its revision. If match
// is not nil, the object must be at that revision; 0 means that it must not exist.
// Change returns a config.MatchError if the object is at another revision, a
// config.InvalidError or a policy.CompileError if the change is not valid, a
// headlog.UncertainError if the change may have been written, and a
// kv.UnavailableError if it was not sent.
func (l *Log) Change(ctx context.Context, id string, c config.Change, match *uint64) (uint64, error) {
	if err := validate(c); err != nil {
		return 0, err
	}
	body, err := json.Marshal(c)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	head, err := l.log.Append(ctx, func(h headlog.Head) ([]headlog.Proposal, error) {
		if _, repeated := h.Find(id); repeated {
			return nil, nil
		}
		if err := l.checkMatch(ctx, h, c, match); err != nil {
			return nil, err
		}
		return []headlog.Proposal{{ID: id, Body: body}}, nil
	})
	if err != nil {
		return 0, err
	}
	record, _ := head.Find(id)
	return record.Revision, trace.Wrap(l.updateReplica(ctx, head))
}

// validate checks a change without regard to the current state.
func validate(c config.Change) error {
	if len(c.Body) == 0 {
		return nil
	}
	if err := config.Check(c.Kind, c.Name, c.Body); err != nil {
		return err
	}
	if c.Kind != config.KindPolicy {
		return nil
	}
	var p config.Policy
	if err := json.Unmarshal(c.Body, &p); err != nil {
		return trace.Wrap(err)
	}
	return policy.Check(c.Name, p)
}

// checkMatch checks the condition of a change against the state at h. An object to be
// deleted must exist.
func (l *Log) checkMatch(ctx context.Context, h headlog.Head, c config.Change, match *uint64) error {
	if err := l.updateReplica(ctx, h); err != nil {
		return err
	}
	state, err := l.stateAt(ctx, h)
	if err != nil {
		return err
	}
	have := state.ObjectRevision(c.Kind, c.Name)
	if match != nil && have != *match {
		return trace.Wrap(&config.MatchError{Kind: c.Kind, Name: c.Name, Have: have, Want: *match})
	}
	if len(c.Body) == 0 && have == 0 {
		return trace.Wrap(&config.MatchError{Kind: c.Kind, Name: c.Name, Want: 1})
	}
	return nil
}

// stateAt returns the configuration at the last revision of h.
func (l *Log) stateAt(ctx context.Context, h headlog.Head) (*config.State, error) {
	if state := l.Replica.Current().State; state.Revision == h.Revision() {
		return state, nil
	}
	state, err := l.snapshot(ctx, h.Base)
	if err != nil {
		return nil, err
	}
	for _, record := range h.Records {
		if state, err = configreplica.ApplyRecord(state, record); err != nil {
			return nil, err
		}
	}
	return state, nil
}

// Find returns the revision of a write, or 0 if neither the replica's recent changes nor
// the head of the log contain it.
func (l *Log) Find(ctx context.Context, id string) (uint64, error) {
	if revision := l.Replica.Find(id); revision > 0 {
		return revision, nil
	}
	h, err := l.log.Read(ctx)
	if err != nil {
		return 0, err
	}
	record, _ := h.Find(id)
	return record.Revision, nil
}

// Refresh reads the log once and updates the replica.
func (l *Log) Refresh(ctx context.Context) error {
	h, err := l.log.Read(ctx)
	if err != nil {
		return err
	}
	return l.updateReplica(ctx, h)
}

// watchRetryDelay is the wait after a failed watch.
const watchRetryDelay = 500 * time.Millisecond

// Watch applies each change to the replica until ctx ends. It calls failed, if not nil,
// with each error and continues.
func (l *Log) Watch(ctx context.Context, failed func(error)) {
	var h headlog.Head
	for ctx.Err() == nil {
		next, err := l.log.Wait(ctx, h)
		if err == nil {
			h = next
			err = l.updateReplica(ctx, h)
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		if failed != nil {
			failed(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay):
		}
	}
}

// updateReplica brings the replica up to the last revision of h.
func (l *Log) updateReplica(ctx context.Context, h headlog.Head) error {
	records, ok := h.After(l.Replica.Revision())
	if ok {
		return l.Replica.Apply(records)
	}
	state, err := l.snapshot(ctx, h.Base)
	if err != nil {
		return err
	}
	if err := l.Replica.Install(state); err != nil {
		return err
	}
	return l.Replica.Apply(h.Records)
}

// snapshot reads the state at a revision that is the base of a head.
func (l *Log) snapshot(ctx context.Context, revision uint64) (*config.State, error) {
	state := new(config.State)
	if revision == 0 {
		return state, nil
	}
	pair, err := l.store.Get(ctx, snapshotKey(revision))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return state, trace.Wrap(json.Unmarshal(pair.Value, state))
}

func snapshotKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, revision)
}

// trim writes a snapshot when the head has maxRecords records, and returns the number of
// records that the snapshot replaces. The snapshot is in the store before any head that
// depends on it. Its content depends only on its revision, so it does not matter which
// of two concurrent writers stores it.
func (l *Log) trim(ctx context.Context, h headlog.Head) (int, error) {
	if len(h.Records) < maxRecords {
		return 0, nil
	}
	drop := len(h.Records) - keepRecords
	state, err := l.snapshot(ctx, h.Base)
	if err != nil {
		return 0, err
	}
	for _, record := range h.Records[:drop] {
		if state, err = configreplica.ApplyRecord(state, record); err != nil {
			return 0, err
		}
	}
	value, err := json.Marshal(state)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	_, err = l.store.Put(ctx, kv.Write{Key: snapshotKey(state.Revision), Value: value})
	var exists *kv.ConflictError
	if err != nil && !errors.As(err, &exists) {
		return 0, trace.Wrap(err)
	}
	l.deleteOldSnapshots(ctx, h.Base)
	return drop, nil
}

// deleteOldSnapshots deletes the snapshots older than the one at base, which the head in
// the store still needs. It ignores errors: the next trim tries again.
func (l *Log) deleteOldSnapshots(ctx context.Context, base uint64) {
	pairs, err := l.store.List(ctx, snapshotPrefix, "", maxRecords)
	if err != nil {
		return
	}
	for _, pair := range pairs {
		if pair.Key < snapshotKey(base) {
			_ = l.store.Delete(ctx, pair.Key, pair.Revision)
		}
	}
}
