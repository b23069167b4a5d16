// Package runonce runs a call at most once, even when entries or agents are
// killed or frozen and answers are lost.
//
// A claim, written to the store under compare-and-swap, gives one incarnation of
// one agent the right to run the call. The agent runs each idempotency key once.
// When it is asked about a claim whose call has not started, it bars that claim:
// the call will never run under it. A claim is therefore replaced only after its
// agent has confirmed that the call has not run and never will. Without that
// confirmation the outcome is uncertain, and the call is not retried.
package runonce

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/grademill/grademill/decide/claim"
	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/outcome"
	"github.com/grademill/grademill/state/claimlog"
	"github.com/grademill/grademill/state/headlog"
	"github.com/grademill/grademill/state/retrybudgets"
	"github.com/grademill/grademill/wire"
)

// Claimer writes claims to the store.
type Claimer interface {
	// Claim returns nil once the claim is in force, and otherwise the errors of
	// claimlog.Log.Claim.
	Claim(c claim.Claim) error
}

// Agents sends calls to the agents that run beside the endpoints.
type Agents interface {
	// Send sends the call under a claim. It replies NOT_RUN if nothing was sent; an
	// error means that the call may have run.
	Send(ctx context.Context, at fleet.Endpoint, c claim.Claim, why string) (*wire.CallReply, error)
	// Settle asks the agent for the outcome of a claim. An agent that has not
	// started the call bars the claim.
	Settle(ctx context.Context, c claim.Claim) (*wire.CallReply, error)
}

// Reservations makes reservations at endpoints.
type Reservations interface {
	// Enter waits for a reservation at an endpoint that is not in avoid. The caller
	// ends the reservation with leave.
	Enter(ctx context.Context, avoid map[string]bool) (at fleet.Endpoint, leave func(), report *outcome.Report)
}

// Runner runs one call. Set the exported fields, then call Run.
type Runner struct {
	Claims       Claimer
	Agents       Agents
	Reservations Reservations
	// TakeRetry takes one retry from the budget. It returns nil if there was none.
	TakeRetry func() *retrybudgets.Charge
	// Key is the hash of the idempotency key, Digest that of the request.
	Key, Digest string
	// Shared is set when another entry may run the same key. Only then is a claim
	// written to the store.
	Shared bool

	avoid map[string]bool
	// conflicts counts the claims that failed because another claim held the key.
	conflicts int
	// sent is set when the last attempt sent the call. Only an attempt that follows
	// a send counts as a retry.
	sent bool
	// charge is the retry taken for the next send, nil for none.
	charge *retrybudgets.Charge
}

// Bounds of the pause before the claim of another entry is settled. The pause doubles
// with each conflict, at most maxDoublings times, until it exceeds the time that a busy
// host needs to start a call. Half of it is random, so that two entries that run the
// same key at the same time do not bar each other's claims for ever.
const (
	firstPause   = 25 * time.Millisecond
	maxDoublings = 5
)

// conflictPause returns the pause before the claim of another entry is settled, after
// the given number of conflicts.
func conflictPause(conflicts int) time.Duration {
	longest := firstPause << min(conflicts, maxDoublings)
	return longest/2 + rand.N(longest/2)
}

// SettleTimeout bounds a call of Agents.Settle.
const SettleTimeout = 500 * time.Millisecond

// retryAfter is the Retry-After delay in reports of abandoned calls.
const retryAfter = time.Second

// Run runs the call and returns either its DONE reply or the report of its failure.
func (r *Runner) Run(ctx context.Context) (*wire.CallReply, *outcome.Report) {
	r.avoid = make(map[string]bool)
	defer func() { r.charge.Return() }() // no effect once it was sent
	former := ""
	for why := "least loaded"; ; {
		at, leave, report := r.Reservations.Enter(ctx, r.avoid)
		if report != nil {
			return nil, report
		}
		reply, notRunID, report := r.attempt(ctx, at, former, why)
		leave()
		if report != nil {
			return nil, report
		}
		if reply.GetOutcome() == wire.CallReply_DONE {
			return reply, nil
		}
		former, why = notRunID, reply.GetDetail()
		if ctx.Err() != nil {
			return nil, outcome.Refuse(outcome.DeadlineOver, ctx.Err().Error(), retryAfter)
		}
		if !r.sent {
			continue // a retry taken before is still unused
		}
		if r.charge = r.TakeRetry(); r.charge == nil {
			return nil, outcome.Refuse(outcome.RetryExceeded, why, retryAfter)
		}
	}
}

// attempt claims the key for one endpoint and sends the call there. It returns a
// DONE reply, a NOT_RUN reply with the ID of the claim that did not run, or the
// report that ends the call.
func (r *Runner) attempt(ctx context.Context, at fleet.Endpoint, former, why string) (*wire.CallReply, string, *outcome.Report) {
	c := claim.Claim{
		ID: uuid.NewString(), Key: r.Key, Digest: r.Digest, Former: former,
		Endpoint: at.Name, Address: at.Address, Incarnation: at.Incarnation, Epoch: at.Epoch, At: time.Now(),
	}
	r.sent = false
	if r.Shared {
		if err := r.Claims.Claim(c); err != nil {
			return r.notClaimed(ctx, err)
		}
	}
	r.sent = true
	reply, err := r.Agents.Send(ctx, at, c, why)
	r.charge.Sent(time.Now)
	if err != nil {
		reply = r.settle(c)
	}
	if reply.GetOutcome() == wire.CallReply_NOT_RUN {
		r.avoid[at.Name] = true
	}
	return attemptResult(reply, c)
}

// attemptResult converts the reply for a claim into the results of attempt.
func attemptResult(reply *wire.CallReply, c claim.Claim) (*wire.CallReply, string, *outcome.Report) {
	switch reply.GetOutcome() {
	case wire.CallReply_DONE:
		return reply, "", nil
	case wire.CallReply_NOT_RUN:
		return reply, c.ID, nil
	}
	return nil, "", &outcome.Report{
		Kind: outcome.Unknown, Code: outcome.Uncertain, Detail: reply.GetDetail(), RetryAfter: retryAfter,
	}
}

// settle asks the only agent that may have run a claim for its outcome. Without an
// answer the outcome is UNKNOWN, since the agent may have run the call.
func (r *Runner) settle(c claim.Claim) *wire.CallReply {
	ctx, cancel := context.WithTimeout(context.Background(), SettleTimeout)
	defer cancel()
	reply, err := r.Agents.Settle(ctx, c)
	if err != nil {
		return &wire.CallReply{Outcome: wire.CallReply_UNKNOWN, Detail: err.Error()}
	}
	return reply
}

// notClaimed handles a failed claim. If another claim holds the key, its outcome is
// that of the call; a claim that did not run may be replaced.
func (r *Runner) notClaimed(ctx context.Context, err error) (*wire.CallReply, string, *outcome.Report) {
	var taken *claimlog.TakenError
	var full *claimlog.FullError
	var uncertain *headlog.UncertainError
	switch {
	case errors.As(err, &taken):
		return r.taken(ctx, taken.Holder)
	case errors.As(err, &full):
		return nil, "", outcome.Refuse(outcome.Overloaded, full.Error(), full.RetryAfter)
	case errors.As(err, &uncertain):
		// No call was sent under this claim, but another one with the same key may hold it.
		return nil, "", &outcome.Report{
			Kind: outcome.Unknown, Code: outcome.Uncertain, Detail: uncertain.Error(), RetryAfter: retryAfter,
		}
	}
	return nil, "", outcome.Refuse(outcome.Platform, trace.UserMessage(err), retryAfter)
}

// taken settles the claim that holds the key, after a pause in which its agent can
// start the call.
func (r *Runner) taken(ctx context.Context, holder claim.Claim) (*wire.CallReply, string, *outcome.Report) {
	if holder.Digest != r.Digest {
		return nil, "", outcome.Refuse(outcome.Conflict, "the idempotency key was used for another request", 0)
	}
	pause := conflictPause(r.conflicts)
	r.conflicts++
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
	return attemptResult(r.settle(holder), holder)
}
