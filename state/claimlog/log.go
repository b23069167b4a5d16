// Package claimlog keeps claims in the platform's key-value service, in a few
// logs by the hash of the key. Claims that come together share a write.
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

// buckets is the number of logs. It is part of the layout of the store: all
// processes must agree on it.
const buckets = 16

// maxClaims bounds the claims of a log, so that its value stays below 1 MB. A
// claim is never forgotten early to make room.
const maxClaims = 3500

// TakenError is a key that another claim holds.
type TakenError struct {
	// Holder is the claim in force.
	Holder claim.Claim
}

// Error names the holder.
func (e *TakenError) Error() string {
	return fmt.Sprintf("key is claimed by %s at %s", e.Holder.ID, e.Holder.Endpoint)
}

// FullError is a log that cannot take more claims until some are old enough to
// be forgotten. The claim was not made.
type FullError struct {
	// After is when the oldest claim may be forgotten.
	After time.Duration
}

// Error says when to come back.
func (e *FullError) Error() string {
	return fmt.Sprintf("too many claims are remembered, the oldest for another %s", e.After)
}

// Log makes claims. Set the exported fields before the first use.
type Log struct {
	// Store is the key-value service.
	Store kv.Store
	// Keep is how long a claim is remembered.
	Keep time.Duration
	// Gather is how long a write waits for more claims to share it.
	Gather time.Duration
	// Timeout bounds the wait for the store.
	Timeout time.Duration

	mu      sync.Mutex
	waiting [buckets][]*waiter
	busy    [buckets]bool
}

type waiter struct {
	claim claim.Claim
	done  chan error
}

// Claim makes c and returns nil once it is in the store. It returns a
// TakenError when another claim holds the key, a FullError or a
// kv.UnavailableError when nothing was written, and a headlog.InDoubtError when
// the claim may have been made: then it is not used, and whoever asks next
// settles it with the agent.
func (l *Log) Claim(c claim.Claim) error {
	bucket := int(xxhash.Sum64String(c.Key) % buckets)
	w := &waiter{claim: c, done: make(chan error, 1)}
	l.mu.Lock()
	l.waiting[bucket] = append(l.waiting[bucket], w)
	if !l.busy[bucket] {
		l.busy[bucket] = true
		go l.write(bucket)
	}
	l.mu.Unlock()
	return <-w.done
}

// write carries the bucket's claims to the store until none wait.
func (l *Log) write(bucket int) {
	for {
		time.Sleep(l.Gather)
		l.mu.Lock()
		group := l.waiting[bucket]
		l.waiting[bucket] = nil
		l.busy[bucket] = len(group) > 0
		l.mu.Unlock()
		if len(group) == 0 {
			return
		}
		l.commit(bucket, group)
	}
}

// commit writes a group of claims and tells each what became of it.
func (l *Log) commit(bucket int, group []*waiter) {
	ctx, cancel := context.WithTimeout(context.Background(), l.Timeout)
	defer cancel()
	log := headlog.Log{Store: l.Store, Key: fmt.Sprintf("claims/%02d", bucket), Trim: l.trim}
	head, err := log.Append(ctx, func(h headlog.Head) ([]headlog.Proposal, error) {
		return l.decide(h, group)
	})
	for _, w := range group {
		w.done <- l.result(head, err, w.claim)
	}
}

func (l *Log) trim(_ context.Context, h headlog.Head) (int, error) {
	return expired(h, time.Now(), l.Keep), nil
}

// decide returns the claims of a group that may be made.
func (l *Log) decide(h headlog.Head, group []*waiter) ([]headlog.Proposal, error) {
	if len(h.Records)-expired(h, time.Now(), l.Keep)+len(group) > maxClaims {
		return nil, l.full(h)
	}
	latest := make(map[string]claim.Claim)
	for _, record := range h.Records {
		if c, err := decode(record); err == nil {
			latest[c.Key] = c
		}
	}
	var proposals []headlog.Proposal
	for _, w := range group {
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

// full returns when the oldest claim may be forgotten.
func (l *Log) full(h headlog.Head) error {
	oldest, err := decode(h.Records[0])
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(&FullError{max(time.Until(oldest.At.Add(l.Keep)), time.Second)})
}

// result tells what became of one claim of a group.
func (l *Log) result(h headlog.Head, err error, c claim.Claim) error {
	var doubt *headlog.InDoubtError
	if errors.As(err, &doubt) {
		return trace.Wrap(&headlog.InDoubtError{ID: c.ID, Err: doubt.Err})
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
