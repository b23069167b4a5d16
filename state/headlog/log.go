// Package headlog keeps an append-only log in one key of the platform's
// key-value service. A write replaces the key's value under compare-and-swap,
// so a writer that was paused with an old view can never succeed, whatever it
// believes it holds. Each record carries the ID of its write, by which a lost
// answer is settled.
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

// Record is one entry of the log.
type Record struct {
	// Revision is the record's place; it rises by one from record to record.
	Revision uint64 `json:"revision"`
	// ID is unique to the write.
	ID string `json:"id"`
	// Body is the content.
	Body json.RawMessage `json:"body"`
}

// Head is the log as one read of the key shows it.
type Head struct {
	// Base is the revision before the first of Records.
	Base uint64 `json:"base"`
	// Records are consecutive: the i-th has revision Base+i+1.
	Records []Record `json:"records"`

	stored uint64 // revision of the key in the store
}

// Revision returns the revision of the last record.
func (h Head) Revision() uint64 {
	return h.Base + uint64(len(h.Records))
}

// Find returns the record of a write.
func (h Head) Find(id string) (Record, bool) {
	for i := len(h.Records) - 1; i >= 0; i-- {
		if h.Records[i].ID == id {
			return h.Records[i], true
		}
	}
	return Record{}, false
}

// After returns the records after revision; false when some of them are no
// longer in the head.
func (h Head) After(revision uint64) ([]Record, bool) {
	if revision < h.Base {
		return nil, false
	}
	if revision >= h.Revision() {
		return nil, true
	}
	return h.Records[revision-h.Base:], true
}

// InDoubtError is a write whose fate could not be settled in time. It may have
// taken effect, or take effect still.
type InDoubtError struct {
	// ID is the write to ask about later.
	ID string
	// Err is what kept the store from answering.
	Err error
}

// Error names the write and the cause.
func (e *InDoubtError) Error() string {
	return fmt.Sprintf("write %s is in doubt: %v", e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *InDoubtError) Unwrap() error {
	return e.Err
}

// CorruptError is a head that does not decode.
type CorruptError struct {
	Key string
	Err error
}

// Error names the key and the cause.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("head %q: %v", e.Key, e.Err)
}

// Log is one log. Set the exported fields before the first use. It is safe for
// concurrent use by any number of processes.
type Log struct {
	// Store is the key-value service.
	Store kv.Store
	// Key holds the head.
	Key string
	// Trim returns how many of the oldest records to drop before a write; nil
	// keeps all.
	Trim func(ctx context.Context, h Head) (int, error)
	// Pause is the wait between two tries while the store is down; zero means
	// DefaultPause.
	Pause time.Duration
}

// DefaultPause is the wait between two tries while the store is down.
const DefaultPause = 100 * time.Millisecond

// Read returns the head as stored now.
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

// Wait returns the head once it is later than h, or h when the service's time
// for a watch is up.
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

// Decide returns what to append to h. An error ends the append and is returned
// as it is. It is called again when another write came first.
type Decide func(h Head) ([]Proposal, error)

// Append appends what decide returns and returns the head with it. Decide
// gives a proposal the same ID on every call. Append returns an InDoubtError
// when a write had been sent and its fate could not be settled before ctx
// ended, and a kv.UnavailableError when none had been.
func (l *Log) Append(ctx context.Context, decide Decide) (Head, error) {
	var sent pending
	for {
		h, err := l.Read(ctx)
		if err == nil {
			switch sent.fate(h) {
			case fateLanded:
				return h, nil
			case fateTrimmed:
				return Head{}, trace.Wrap(&InDoubtError{sent.id, errTrimmed})
			}
			h, err = l.try(ctx, h, decide, &sent)
			if err == nil {
				return h, nil
			}
		}
		if !retriable(err) {
			return Head{}, err
		}
		if err := l.wait(ctx, err); err != nil {
			return Head{}, sent.doubt(err)
		}
	}
}

// trimmedError is a record that may have been dropped from the head before its
// writer could look.
type trimmedError struct{}

// Error says what happened.
func (trimmedError) Error() string {
	return "the record may have been trimmed"
}

var errTrimmed = trimmedError{}

// fate is what became of a write without an answer.
type fate int

const (
	fateOpen fate = iota
	fateLanded
	fateTrimmed
)

// pending is the last write without an answer. The zero pending is none. A
// later write that conflicts does not settle it: it may be what came first.
type pending struct {
	id       string
	revision uint64 // of the record, had it landed
}

func (p pending) fate(h Head) fate {
	if p.id == "" {
		return fateOpen
	}
	if _, ok := h.Find(p.id); ok {
		return fateLanded
	}
	if h.Base >= p.revision {
		return fateTrimmed
	}
	return fateOpen
}

// doubt returns err, as an InDoubtError when a write is pending.
func (p pending) doubt(err error) error {
	if p.id == "" {
		return err
	}
	return trace.Wrap(&InDoubtError{p.id, err})
}

// try makes one write and notes in sent when it got no answer.
func (l *Log) try(ctx context.Context, h Head, decide Decide, sent *pending) (Head, error) {
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

// wait pauses between two tries; it returns the cause when ctx ends.
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

// retriable reports whether another try may succeed.
func retriable(err error) bool {
	var conflict *kv.ConflictError
	var unavailable *kv.UnavailableError
	return errors.As(err, &conflict) || errors.As(err, &unavailable)
}
