// Package runonce runs a call at most once, whatever entries and agents are
// killed or frozen and whichever answers are lost on the way.
//
// The right to run a call is a claim for one incarnation of one agent, made in
// the platform's store under compare-and-swap. The agent runs a key once, and
// bars a claim for good when it is asked what became of it before it started.
// So a claim can be replaced only with its agent's word that it has not run and
// never will; without that word the call is in doubt and is not tried again.
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
	"github.com/grademill/grademill/wire"
)

// Claimer makes claims.
type Claimer interface {
	// Claim returns nil once the claim stands, and the errors of claimlog.Log
	// otherwise.
	Claim(c claim.Claim) error
}

// Agents reaches the agents beside the endpoints.
type Agents interface {
	// Send sends the call under a claim. A call that was not sent at all gives a
	// NOT_RUN reply; an error means that it may have run.
	Send(ctx context.Context, at fleet.Endpoint, c claim.Claim, why string) (*wire.CallReply, error)
	// Settle asks what became of a claim, and bars it when it has not started.
	Settle(ctx context.Context, c claim.Claim) (*wire.CallReply, error)
}

// Seats gives room at endpoints.
type Seats interface {
	// Enter waits for room at an endpoint that is not one of avoid.
	Enter(ctx context.Context, avoid map[string]bool) (at fleet.Endpoint, leave func(), report *outcome.Report)
}

// Runner runs one call. Set the exported fields, then call Run.
type Runner struct {
	Claims Claimer
	Agents Agents
	Seats  Seats
	// MayRetry reports whether one more try may be made, and counts it.
	MayRetry func() bool
	// Key and Digest are the hashes of the key and of the request.
	Key, Digest string
	// Shared is whether anyone else may ask for the same key: only then a claim
	// is made in the store.
	Shared bool

	avoid map[string]bool
	// duels counts how often another claim held the key.
	duels int
	// sent is set when the last attempt sent the call: only another send after it is a
	// retry.
	sent bool
}

// The pause before another's claim is settled. It doubles each time, so that it gets
// longer than a busy host takes to start a call, and a part of its length is drawn, so
// that two entries that ask for the same key at the same moment do not bar each other's
// claims for ever.
const (
	firstPause = 25 * time.Millisecond
	maxDoubles = 5
)

// duelPause returns the pause before another's claim is settled, after so many duels.
func duelPause(duels int) time.Duration {
	most := firstPause << min(duels, maxDoubles)
	return most/2 + rand.N(most/2)
}

// SettleTimeout bounds the question what became of a call.
const SettleTimeout = 500 * time.Millisecond

// retryAfter is when to come back after a call was given up.
const retryAfter = time.Second

// Run runs the call and returns its DONE reply, or the final report.
func (r *Runner) Run(ctx context.Context) (*wire.CallReply, *outcome.Report) {
	r.avoid = make(map[string]bool)
	former := ""
	for why := "least loaded"; ; {
		at, leave, report := r.Seats.Enter(ctx, r.avoid)
		if report != nil {
			return nil, report
		}
		reply, unrun, report := r.attempt(ctx, at, former, why)
		leave()
		if report != nil {
			return nil, report
		}
		if reply.GetOutcome() == wire.CallReply_DONE {
			return reply, nil
		}
		former, why = unrun, reply.GetDetail()
		if ctx.Err() != nil {
			return nil, outcome.Refuse(outcome.DeadlineOver, ctx.Err().Error(), retryAfter)
		}
		if r.sent && !r.MayRetry() {
			return nil, outcome.Refuse(outcome.RetryExceeded, why, retryAfter)
		}
	}
}

// attempt claims the key for one endpoint and sends the call there. It returns
// a reply that is DONE, or NOT_RUN with the claim that did not run, or the
// final report.
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
	if err != nil {
		reply = r.settle(c)
	}
	if reply.GetOutcome() == wire.CallReply_NOT_RUN {
		r.avoid[at.Name] = true
	}
	return sort(reply, c)
}

// sort turns the reply to a claim into the result of an attempt.
func sort(reply *wire.CallReply, c claim.Claim) (*wire.CallReply, string, *outcome.Report) {
	switch reply.GetOutcome() {
	case wire.CallReply_DONE:
		return reply, "", nil
	case wire.CallReply_NOT_RUN:
		return reply, c.ID, nil
	}
	return nil, "", &outcome.Report{
		Kind: outcome.Unknown, Code: outcome.InDoubt, Detail: reply.GetDetail(), RetryAfter: retryAfter,
	}
}

// settle asks the only agent that may have run a claim what became of it.
// Silence is no proof: it leaves the call in doubt.
func (r *Runner) settle(c claim.Claim) *wire.CallReply {
	ctx, cancel := context.WithTimeout(context.Background(), SettleTimeout)
	defer cancel()
	reply, err := r.Agents.Settle(ctx, c)
	if err != nil {
		return &wire.CallReply{Outcome: wire.CallReply_UNKNOWN, Detail: err.Error()}
	}
	return reply
}

// notClaimed handles a claim that was not made. When another claim holds the
// key, its fate is the call's; one that did not run may be replaced.
func (r *Runner) notClaimed(ctx context.Context, err error) (*wire.CallReply, string, *outcome.Report) {
	var taken *claimlog.TakenError
	var full *claimlog.FullError
	var doubt *headlog.InDoubtError
	switch {
	case errors.As(err, &taken):
		return r.taken(ctx, taken.Holder)
	case errors.As(err, &full):
		return nil, "", outcome.Refuse(outcome.Overloaded, full.Error(), full.After)
	case errors.As(err, &doubt):
		// The claim may stand, but it was never used: nothing has run.
		return nil, "", outcome.Refuse(outcome.Platform, doubt.Error(), retryAfter)
	}
	return nil, "", outcome.Refuse(outcome.Platform, trace.UserMessage(err), retryAfter)
}

// taken settles a key that another claim holds, after giving its holder time.
func (r *Runner) taken(ctx context.Context, holder claim.Claim) (*wire.CallReply, string, *outcome.Report) {
	if holder.Digest != r.Digest {
		return nil, "", outcome.Refuse(outcome.Conflict, "the idempotency key was used for another request", 0)
	}
	pause := duelPause(r.duels)
	r.duels++
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
	return sort(r.settle(holder), holder)
}
