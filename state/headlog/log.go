// Package headlog keeps an append-only log in one key of the platform's key-value
// service.
//
// A write replaces the key's value under compare-and-swap, so a writer that was
// paused and resumes with an outdated head always fails. Each record carries the ID
// of its write; a writer that lost the answer looks for this ID in the log.
package headlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/grademill/grademill/port/kv"
)

// Record is one record of the log.
type Record struct {
	// Revision is the record's position in the log; consecutive records have
	// consecutive revisions.
	Revision uint64 `json:"revision"`
	// ID identifies the write and is unique.
	ID string `json:"id"`
	// Body is the content, which this package does not interpret.
	Body json.RawMessage `json:"body"`
}

// Head is the log as of one read of its key, without the records trimmed so far.
type Head struct {
	// Base is the revision before the first of Records.
	Base uint64 `json:"base"`
	// Records are consecutive: the i-th has revision Base+i+1.
	Records []Record `json:"records"`

	stored uint64 // revision of the key in the store
}

// Revision returns the revision of the last record, or Base if there are none.
func (h Head) Revision() uint64 {
	return h.Base + uint64(len(h.Records))
}

// Find returns the record of the write with the given ID, and whether the head has it.
func (h Head) Find(id string) (Record, bool) {
	for i := len(h.Records) - 1; i >= 0; i-- {
		if h.Records[i].ID == id {
			return h.Records[i], true
		}
	}
	return Record{}, false
}

// After returns the records after revision. It returns false if some of them have been
// trimmed from the head.
func (h Head) After(revision uint64) ([]Record, bool) {
	if revision < h.Base {
		return nil, false
	}
	if revision >= h.Revision() {
		return nil, true
	}
	return h.Records[revision-h.Base:], true
}

// UncertainError reports a write whose outcome is still uncertain at the end of its
// context. The write may have taken effect, or may yet do so.
type UncertainError struct {
	// ID identifies the write, for a later Find.
	ID string
	// Err is the reason why the outcome is uncertain.
	Err error
}

// Error returns the ID of the write and the cause.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("write %s is in doubt: %v", e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error {
	return e.Err
}

// CorruptError reports that the stored head does not decode.
type CorruptError struct {
	Key string
	Err error
}

// Error returns the key and the cause.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("head %q: %v", e.Key, e.Err)
}

// Log reads and appends to one log. Set the exported fields before the first use. It is
// safe for concurrent use by any number of processes.
type Log struct {
	// Store is the key-value service.
	Store kv.Store
	// Key is the key in the store that holds the head.
	Key string
	// Trim returns the number of oldest records to drop with a write. A nil Trim
	// keeps all records.
	Trim func(ctx context.Context, h Head) (int, error)
	// Pause is the wait between two attempts while the store is unavailable; zero
	// means DefaultPause.
	Pause time.Duration
}

// DefaultPause is the default wait between two attempts while the store is unavailable.
const DefaultPause = 100 * time.Millisecond

// Read returns the stored head, which is empty if the key does not exist.
func (l *Log) Read(ctx context.Context) (Head, error) {
	pair, err := l.Store.Get(ctx, l.Key)
	var missing *kv.NotFoundError
	if errors.As(err, &missing) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, trace.Wrap(err)
	}
	return l.decode(pair)
}

// Wait waits for a later head than h and returns it. It returns h if the store ends the
// watch without a change.
func (l *Log) Wait(ctx context.Context, h Head) (Head, error) {
	pairs, err := l.Store.Watch(ctx, l.Key, h.stored)
	if err != nil {
		return h, trace.Wrap(err)
	}
	for i := len(pairs) - 1; i >= 0; i-- {
		if pairs[i].Key == l.Key && !pairs[i].Deleted {
			return l.decode(pairs[i])
		}
	}
	return h, nil
}

func (l *Log) decode(pair kv.Pair) (Head, error) {
	var h Head
	if err := json.Unmarshal(pair.Value, &h); err != nil {
		return Head{}, trace.Wrap(&CorruptError{l.Key, err})
	}
	h.stored = pair.Revision
	return h, nil
}

// Proposal is a record to append.
type Proposal struct {
	ID   string
	Body json.RawMessage
}

// Decide returns the records to append to h. It is called again with the new head if
// another write came first. An error ends the append, which returns it unchanged.
type Decide func(h Head) ([]Proposal, error)

// Append appends the records that decide returns and returns the resulting head. Decide
// must give a proposal the same ID on every call. When ctx ends first, Append returns
// an UncertainError if the outcome of a sent write is uncertain, and a
// kv.UnavailableError if no write was sent.
func (l *Log) Append(ctx context.Context, decide Decide) (Head, error) {
	var sent pending
	for {
		h, err := l.Read(ctx)
		if err == nil {
			switch sent.outcome(h) {
			case outcomeWritten:
				return h, nil
			case outcomeTrimmed:
				return Head{}, trace.Wrap(&UncertainError{sent.id, errTrimmed})
			}
			h, err = l.attempt(ctx, h, decide, &sent)
			if err == nil {
				return h, nil
			}
		}
		if !retriable(err) {
			return Head{}, err
		}
		if err := l.wait(ctx, err); err != nil {
			return Head{}, sent.uncertain(err)
		}
	}
}

// trimmedError reports that the record may have been trimmed from the head before its
// writer read it.
type trimmedError struct{}

// Error returns a fixed message.
func (trimmedError) Error() string {
	return "the record may have been trimmed"
}

var errTrimmed = trimmedError{}

// outcome is the outcome of a write that got no answer.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeWritten
	outcomeTrimmed
)

// pending is the last write that got no answer; the zero value means none. A conflict
// of a later write does not settle it, since the pending write itself may be the one
// that caused the conflict.
type pending struct {
	id       string
	revision uint64 // of the write's first record, if the write took effect
}

func (p pending) outcome(h Head) outcome {
	if p.id == "" {
		return outcomeUnknown
	}
	if _, ok := h.Find(p.id); ok {
		return outcomeWritten
	}
	if h.Base >= p.revision {
		return outcomeTrimmed
	}
	return outcomeUnknown
}

// uncertain returns err, wrapped in an UncertainError if a write is pending.
func (p pending) uncertain(err error) error {
	if p.id == "" {
		return err
	}
	return trace.Wrap(&UncertainError{p.id, err})
}

// attempt makes one write and stores it in sent if it got no answer.
func (l *Log) attempt(ctx context.Context, h Head, decide Decide, sent *pending) (Head, error) {
	proposals, err := decide(h)
	if err != nil {
		return Head{}, err
	}
	if len(proposals) == 0 {
		return h, nil
	}
	next, err := l.extend(ctx, h, proposals)
	if err != nil {
		return Head{}, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Head{}, trace.Wrap(err)
	}
	next.stored, err = l.Store.Put(ctx, kv.Write{Key: l.Key, Value: value, If: h.stored})
	var unavailable *kv.UnavailableError
	if errors.As(err, &unavailable) {
		*sent = pending{proposals[0].ID, h.Revision() + 1}
	}
	if err != nil {
		return Head{}, err
	}
	return next, nil
}

// extend returns h with proposals appended and old records trimmed.
func (l *Log) extend(ctx context.Context, h Head, proposals []Proposal) (Head, error) {
	drop := 0
	if l.Trim != nil {
		n, err := l.Trim(ctx, h)
		if err != nil {
			return Head{}, err
		}
		drop = n
	}
	next := Head{Base: h.Base + uint64(drop)}
	next.Records = append(next.Records, h.Records[drop:]...)
	for _, p := range proposals {
		next.Records = append(next.Records, Record{Revision: next.Revision() + 1, ID: p.ID, Body: p.Body})
	}
	return next, nil
}

// wait pauses before the next attempt, but not after a conflict. It returns cause once
// ctx has ended.
func (l *Log) wait(ctx context.Context, cause error) error {
	var conflict *kv.ConflictError
	if errors.As(cause, &conflict) && ctx.Err() == nil {
		return nil
	}
	pause := l.Pause
	if pause == 0 {
		pause = DefaultPause
	}
	select {
	case <-ctx.Done():
		return cause
	case <-time.After(pause):
		return nil
	}
}

// retriable reports whether another attempt may succeed.
func retriable(err error) bool {
	var conflict *kv.ConflictError
	var unavailable *kv.UnavailableError
	return errors.As(err, &conflict) || errors.As(err, &unavailable)
}
