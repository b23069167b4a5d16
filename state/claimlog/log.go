// Package claimlog stores claims to run a call in the platform's key-value service.
// Claims are spread over a fixed number of logs by the hash of their key, and
// concurrent claims of one log share a write.
package claimlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/grademill/grademill/decide/claim"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/state/headlog"
)

// buckets is the number of logs. It is part of the store's layout, so all processes
// must use the same number.
const buckets = 16

// maxClaims bounds the claims of a log, so that its value stays below 1 MB. A full
// log refuses new claims rather than drop one before its retention period ends.
const maxClaims = 3500

// TakenError reports that another claim holds the key.
type TakenError struct {
	// Holder is the claim in force.
	Holder claim.Claim
}

// Error returns the ID and the endpoint of the holder.
func (e *TakenError) Error() string {
	return fmt.Sprintf("key is claimed by %s at %s", e.Holder.ID, e.Holder.Endpoint)
}

// FullError reports that a log takes no more claims until some have expired. The
// claim was not written.
type FullError struct {
	// RetryAfter is the time until the oldest claim expires.
	RetryAfter time.Duration
}

// Error returns the time until the oldest claim expires.
func (e *FullError) Error() string {
	return fmt.Sprintf("too many claims are remembered, the oldest for another %s", e.RetryAfter)
}

// Log writes claims to the store. Set the exported fields before the first use. Claim
// is safe for concurrent use.
type Log struct {
	// Store is the key-value service.
	Store kv.Store
	// Retention is the retention period of a claim.
	Retention time.Duration
	// BatchDelay is how long a write waits for further claims to share it.
	BatchDelay time.Duration
	// Timeout bounds each write to the store, with its retries.
	Timeout time.Duration

	mu sync.Mutex // guards what follows
	// waiting holds the claims that no write includes yet, by bucket. writing is set while a
	// goroutine writes the claims of a bucket.
	waiting [buckets][]*waiter
	writing [buckets]bool
}

// waiter is a call of Claim that waits for the write of its claim.
type waiter struct {
	claim claim.Claim
	done  chan error
}

// Claim returns nil once c is in the store. It returns a TakenError if another claim
// holds the key, a FullError or a kv.UnavailableError if nothing was written, and a
// headlog.UncertainError if c may have been written. In that last case the caller must
// not use c; the next caller with the same key settles it with the agent.
func (l *Log) Claim(c claim.Claim) error {
	bucket := int(xxhash.Sum64String(c.Key) % buckets)
	w := &waiter{claim: c, done: make(chan error, 1)}
	l.mu.Lock()
	l.waiting[bucket] = append(l.waiting[bucket], w)
	if !l.writing[bucket] {
		l.writing[bucket] = true
		go l.write(bucket)
	}
	l.mu.Unlock()
	return <-w.done
}

// write writes the bucket's waiting claims to the store until none are left.
func (l *Log) write(bucket int) {
	for {
		time.Sleep(l.BatchDelay)
		l.mu.Lock()
		batch := l.waiting[bucket]
		l.waiting[bucket] = nil
		l.writing[bucket] = len(batch) > 0
		l.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		l.commit(bucket, batch)
	}
}

// commit writes a batch of claims and reports to each waiter its result.
func (l *Log) commit(bucket int, batch []*waiter) {
	ctx, cancel := context.WithTimeout(context.Background(), l.Timeout)
	defer cancel()
	log := headlog.Log{Store: l.Store, Key: fmt.Sprintf("claims/%02d", bucket), Trim: l.trim}
	head, err := log.Append(ctx, func(h headlog.Head) ([]headlog.Proposal, error) {
		return l.decide(h, batch)
	})
	for _, w := range batch {
		w.done <- l.result(head, err, w.claim)
	}
}

func (l *Log) trim(_ context.Context, h headlog.Head) (int, error) {
	return expired(h, time.Now(), l.Retention), nil
}

// decide returns proposals for those claims of a batch that the claims in force allow.
func (l *Log) decide(h headlog.Head, batch []*waiter) ([]headlog.Proposal, error) {
	if len(h.Records)-expired(h, time.Now(), l.Retention)+len(batch) > maxClaims {
		return nil, l.fullError(h)
	}
	latest := make(map[string]claim.Claim)
	for _, record := range h.Records {
		if c, err := decode(record); err == nil {
			latest[c.Key] = c
		}
	}
	var proposals []headlog.Proposal
	for _, w := range batch {
		holder, exists := latest[w.claim.Key]
		if !w.claim.Allows(holder, exists) {
			continue
		}
		body, err := json.Marshal(w.claim)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		latest[w.claim.Key] = w.claim
		proposals = append(proposals, headlog.Proposal{ID: w.claim.ID, Body: body})
	}
	return proposals, nil
}

// fullError returns a FullError with the time until the oldest claim expires.
func (l *Log) fullError(h headlog.Head) error {
	oldest, err := decode(h.Records[0])
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(&FullError{max(time.Until(oldest.At.Add(l.Retention)), time.Second)})
}

// result derives the result of one claim from the outcome of its batch's write.
func (l *Log) result(h headlog.Head, err error, c claim.Claim) error {
	var uncertain *headlog.UncertainError
	if errors.As(err, &uncertain) {
		return trace.Wrap(&headlog.UncertainError{ID: c.ID, Err: uncertain.Err})
	}
	if err != nil {
		return err
	}
	holder, ok := latest(h, c.Key)
	if ok && holder.ID == c.ID {
		return nil
	}
	return trace.Wrap(&TakenError{holder})
}
