// Package conflog keeps the operators' configuration as a log in the
// platform's key-value service: it writes changes, and feeds a replica with
// those of everyone.
package conflog

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
	"github.com/grademill/grademill/state/headlog"
	"github.com/grademill/grademill/state/replica"
)

// Keys in the store.
const (
	headKey        = "config/head"
	snapshotPrefix = "config/snapshot/"
)

// Sizes of the log's head: above maxRecords the oldest go into a snapshot and
// keepRecords stay. Every watcher gets the whole head with each change, so it is
// short.
const (
	maxRecords  = 48
	keepRecords = 16
)

// Log is the configuration log. Make one with New.
type Log struct {
	// Replica is fed with every change.
	Replica *replica.Config

	store kv.Store
	log   headlog.Log
}

// New returns a log over store that feeds r.
func New(store kv.Store, r *replica.Config) *Log {
	l := &Log{Replica: r, store: store}
	l.log = headlog.Log{Store: store, Key: headKey, Trim: l.trim}
	return l
}

// Change makes a change under a unique write ID and returns its revision. With
// match set, the object must be at that revision (0: not exist). It returns a
// config.MatchError when it is not, a config.InvalidError or a
// policy.CompileError when the change is not acceptable, a
// headlog.InDoubtError when it may have been accepted, and a
// kv.UnavailableError when it was not sent.
func (l *Log) Change(ctx context.Context, id string, c config.Change, match *uint64) (uint64, error) {
	if err := acceptable(c); err != nil {
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
		if err := l.matches(ctx, h, c, match); err != nil {
			return nil, err
		}
		return []headlog.Proposal{{ID: id, Body: body}}, nil
	})
	if err != nil {
		return 0, err
	}
	record, _ := head.Find(id)
	return record.Revision, trace.Wrap(l.feed(ctx, head))
}

// acceptable checks the change itself.
func acceptable(c config.Change) error {
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

// matches checks the change's condition against the state at h.
func (l *Log) matches(ctx context.Context, h headlog.Head, c config.Change, match *uint64) error {
	if err := l.feed(ctx, h); err != nil {
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

// stateAt returns the state at the last revision of h.
func (l *Log) stateAt(ctx context.Context, h headlog.Head) (*config.State, error) {
	if state := l.Replica.Current().State; state.Revision == h.Revision() {
		return state, nil
	}
	state, err := l.snapshot(ctx, h.Base)
	if err != nil {
		return nil, err
	}
	for _, record := range h.Records {
		if state, err = replica.Next(state, record); err != nil {
			return nil, err
		}
	}
	return state, nil
}

// Find returns the revision of a write, 0 when neither the changes that are
// remembered here nor the log have it.
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

// Pull reads the log once and feeds the replica.
func (l *Log) Pull(ctx context.Context) error {
	h, err := l.log.Read(ctx)
	if err != nil {
		return err
	}
	return l.feed(ctx, h)
}

// watchPause is the wait after a failed watch.
const watchPause = 500 * time.Millisecond

// Watch feeds the replica with each change until ctx ends. Failed, when it is
// set, is called with each error; the watch goes on.
func (l *Log) Watch(ctx context.Context, failed func(error)) {
	var h headlog.Head
	for ctx.Err() == nil {
		next, err := l.log.Wait(ctx, h)
		if err == nil {
			h = next
			err = l.feed(ctx, h)
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		if failed != nil {
			failed(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchPause):
		}
	}
}

// feed brings the replica up to h.
func (l *Log) feed(ctx context.Context, h headlog.Head) error {
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

// snapshot reads the state at a revision that the head starts from.
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

// trim writes a snapshot when the head has grown long and returns how many
// records it covers. The snapshot is in the store before any head that needs
// it; its content depends on its revision alone, so two writers do not clash.
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
		if state, err = replica.Next(state, record); err != nil {
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
	l.forget(ctx, h.Base)
	return drop, nil
}

// forget drops snapshots older than the one in use. Failing is harmless.
func (l *Log) forget(ctx context.Context, base uint64) {
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
