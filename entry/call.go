package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/grademill/grademill/adapter/rpc"
	"github.com/grademill/grademill/claim"
	"github.com/grademill/grademill/claimlog"
	"github.com/grademill/grademill/config"
	"github.com/grademill/grademill/gate"
	"github.com/grademill/grademill/headlog"
	"github.com/grademill/grademill/outcome"
	"github.com/grademill/grademill/policy"
	"github.com/grademill/grademill/port/router"
	"github.com/grademill/grademill/route"
	"github.com/grademill/grademill/wire"
)

// Call implements router.Router.
func (e *Entry) Call(ctx context.Context, c router.Call) (router.Reply, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	defer e.enlist(c.Team)()
	id := uuid.New()
	reply, err := e.callService(ctx, c, id)
	e.ended(c.Team, c.Service, hex.EncodeToString(id[:]), err)
	return reply, err
}

func (e *Entry) callService(ctx context.Context, c router.Call, id uuid.UUID) (router.Reply, error) {
	snapshot := e.config.Current()
	service, report := e.lookup(snapshot, c.Team, c.Service, config.Plain)
	if report != nil {
		return router.Reply{}, report
	}
	d := snapshot.Policies.Decide(policy.Request{
		Team: c.Team, Service: c.Service, Method: c.Method, Path: c.Path,
	}, service.Repeatable)
	ctx, cancel := e.deadline(ctx, c.Deadline, d.Deadline)
	defer cancel()
	e.firstTry()
	run := &call{
		entry: e, request: c, decision: d, id: id,
		weight: snapshot.State.Teams[c.Team].Value.Weight, avoid: make(map[string]bool),
	}
	run.key, run.digest = keys(c, id)
	if d.Repeatable {
		return run.repeatable(ctx)
	}
	return run.once(ctx)
}

// keys returns the hash that the call is fenced by, and that of its content. A
// call without an idempotency key gets a key of its own.
func keys(c router.Call, id uuid.UUID) (key []byte, digest string) {
	name := "id\x00" + id.String()
	if c.Key != "" {
		name = "key\x00" + c.Team + "\x00" + c.Service + "\x00" + c.Key
	}
	sum := sha256.Sum256([]byte(name))
	content := sha256.New()
	content.Write([]byte(c.Method + "\x00" + c.Path + "\x00"))
	content.Write(c.Body)
	const keyBytes = 16
	return sum[:keyBytes], hex.EncodeToString(content.Sum(nil)[:keyBytes])
}

// call is one call of a plain service, owned by this entry.
type call struct {
	entry    *Entry
	request  router.Call
	decision policy.Decision
	id       uuid.UUID
	weight   float64
	key      []byte
	digest   string
	avoid    map[string]bool
}

// enter waits for room at an endpoint.
func (c *call) enter(ctx context.Context) (*seat, *outcome.Report) {
	return c.entry.gate.Enter(ctx, gate.Ticket[*seat]{
		Lane: c.request.Service, Team: c.request.Team, Weight: c.weight, Priority: c.decision.Priority, Cost: 1,
		Try: func() (*seat, gate.Answer) { return c.entry.endpoint(c.request.Service, c.avoid) },
	})
}

// leave gives the room back.
func (c *call) leave(s *seat) {
	s.release()
	c.entry.gate.Poke()
}

// send sends the call to the agent of a candidate.
func (c *call) send(ctx context.Context, at route.Candidate, claimID, why string) (*wire.CallReply, error) {
	ep := at.Endpoint
	c.entry.Log.Info().Hex("request", c.id[:]).Str("team", c.request.Team).Str("service", c.request.Service).
		Str("policy", c.decision.Policy).Str("endpoint", ep.Name).Str("claim", claimID).Str("reason", why).
		Msg("endpoint chosen")
	timeout := c.entry.MaxDeadline
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	reply := new(wire.CallReply)
	err := c.entry.client.Call(ctx, ep.Address, "call", &wire.Call{
		Key: c.key, Claim: claimID, Incarnation: ep.Incarnation, Epoch: ep.Epoch, Service: c.request.Service,
		Method: c.request.Method, Path: c.request.Path, Body: c.request.Body, ContentType: c.request.ContentType,
		Once: !c.decision.Repeatable, TimeoutMillis: uint32(max(timeout.Milliseconds(), 0)),
	}, reply)
	if err == nil && reply.GetLoad() != nil {
		c.entry.loaded(reply.GetLoad())
	}
	return reply, err
}

// repeatable runs a call that may run more than once.
func (c *call) repeatable(ctx context.Context) (router.Reply, error) {
	ran := false
	for why := "least loaded"; ; {
		s, report := c.enter(ctx)
		if report != nil {
			return router.Reply{}, sorted(ran, report)
		}
		reply, err := c.send(ctx, s.stages[0], "", why)
		c.leave(s)
		name := s.stages[0].Endpoint.Name
		if err == nil && reply.GetOutcome() == wire.CallReply_DONE {
			return answered(reply), nil
		}
		why = "refused: " + reply.GetDetail()
		if err != nil {
			why = "lost: " + err.Error()
			c.entry.suspect(name, why)
		}
		ran = ran || mayHaveRun(reply, err)
		c.avoid[name] = true
		if ctx.Err() != nil {
			return router.Reply{}, sorted(ran, outcome.Refuse(outcome.DeadlineOver, ctx.Err().Error(), retryAfter))
		}
		if !c.entry.mayRetry() {
			return router.Reply{}, sorted(ran, outcome.Refuse(outcome.RetryExceeded, why, retryAfter))
		}
	}
}

// sorted makes a NotRun report into a Failed one when the call may have run.
func sorted(ran bool, r *outcome.Report) *outcome.Report {
	if ran {
		r.Kind = outcome.Failed
	}
	return r
}

// mayHaveRun reports whether a call may have run that gave no answer to use.
func mayHaveRun(reply *wire.CallReply, err error) bool {
	var unsent *rpc.UnsentError
	if errors.As(err, &unsent) {
		return false
	}
	return err != nil || reply.GetOutcome() != wire.CallReply_NOT_RUN
}

// answered returns the reply as callers get it.
func answered(r *wire.CallReply) router.Reply {
	return router.Reply{Status: int(r.GetStatus()), Body: r.GetBody(), ContentType: r.GetContentType()}
}

// once runs a call that may run at most once. It goes on to another endpoint
// only with the proof that the former one did not run it and never will.
func (c *call) once(ctx context.Context) (router.Reply, error) {
	former := ""
	for why := "least loaded"; ; {
		s, report := c.enter(ctx)
		if report != nil {
			return router.Reply{}, report
		}
		reply, next, report := c.attempt(ctx, s, former, why)
		c.leave(s)
		if report != nil {
			return router.Reply{}, report
		}
		if reply.GetOutcome() == wire.CallReply_DONE {
			return answered(reply), nil
		}
		former, why = next, reply.GetDetail()
		if ctx.Err() != nil {
			return router.Reply{}, outcome.Refuse(outcome.DeadlineOver, ctx.Err().Error(), retryAfter)
		}
		if !c.entry.mayRetry() {
			return router.Reply{}, outcome.Refuse(outcome.RetryExceeded, why, retryAfter)
		}
	}
}

// attempt claims the key for one endpoint and sends the call there. It returns
// a reply that is DONE or NOT_RUN, with the claim that did not run, or the
// final report.
func (c *call) attempt(ctx context.Context, s *seat, former, why string) (*wire.CallReply, string, *outcome.Report) {
	ep := s.stages[0].Endpoint
	claimed := claim.Claim{
		ID: uuid.NewString(), Key: hex.EncodeToString(c.key), Digest: c.digest, Former: former,
		Endpoint: ep.Name, Address: ep.Address, Incarnation: ep.Incarnation, Epoch: ep.Epoch,
		At: time.Now(),
	}
	if c.request.Key != "" {
		if err := c.entry.claims.Claim(claimed); err != nil {
			return c.notClaimed(ctx, err)
		}
	}
	reply, err := c.send(ctx, s.stages[0], claimed.ID, why)
	if err != nil {
		c.entry.suspect(ep.Name, err.Error())
	}
	var unsent *rpc.UnsentError
	switch {
	case errors.As(err, &unsent):
		reply = &wire.CallReply{Outcome: wire.CallReply_NOT_RUN, Detail: err.Error()}
	case err != nil:
		reply = c.settle(claimed)
	}
	switch reply.GetOutcome() {
	case wire.CallReply_DONE:
		return reply, "", nil
	case wire.CallReply_NOT_RUN:
		c.avoid[ep.Name] = true
		return reply, claimed.ID, nil
	}
	return nil, "", inDoubt(reply.GetDetail())
}

// inDoubt is the end of a call that may have run.
func inDoubt(detail string) *outcome.Report {
	return &outcome.Report{Kind: outcome.Unknown, Code: outcome.InDoubt, Detail: detail, RetryAfter: retryAfter}
}

// settleTimeout bounds the question what became of a call.
const settleTimeout = 500 * time.Millisecond

// settle asks the only agent that may have run a claim what became of it.
// Silence is no proof: it leaves the call in doubt.
func (c *call) settle(held claim.Claim) *wire.CallReply {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	reply := new(wire.CallReply)
	err := c.entry.client.Call(ctx, held.Address, "settle", &wire.Settle{
		Key: c.key, Claim: held.ID, Incarnation: held.Incarnation, Epoch: held.Epoch,
	}, reply)
	if err != nil {
		return &wire.CallReply{Outcome: wire.CallReply_UNKNOWN, Detail: err.Error()}
	}
	return reply
}

// notClaimed handles a claim that was not made. When another claim holds the
// key, its fate is the call's; one that did not run may be replaced.
func (c *call) notClaimed(_ context.Context, err error) (*wire.CallReply, string, *outcome.Report) {
	var taken *claimlog.TakenError
	var full *claimlog.FullError
	var doubt *headlog.InDoubtError
	switch {
	case errors.As(err, &taken):
		return c.taken(taken.Holder)
	case errors.As(err, &full):
		return nil, "", outcome.Refuse(outcome.Overloaded, full.Error(), full.After)
	case errors.As(err, &doubt):
		// The claim may stand, but it was never used: nothing has run.
		return nil, "", outcome.Refuse(outcome.Platform, doubt.Error(), retryAfter)
	}
	return nil, "", outcome.Refuse(outcome.Platform, trace.UserMessage(err), retryAfter)
}

// taken settles a key that another claim holds.
func (c *call) taken(holder claim.Claim) (*wire.CallReply, string, *outcome.Report) {
	if holder.Digest != c.digest {
		return nil, "", outcome.Refuse(outcome.Conflict, "the idempotency key was used for another request", 0)
	}
	reply := c.settle(holder)
	switch reply.GetOutcome() {
	case wire.CallReply_DONE:
		return reply, "", nil
	case wire.CallReply_NOT_RUN:
		return reply, holder.ID, nil
	}
	return nil, "", inDoubt(reply.GetDetail())
}
