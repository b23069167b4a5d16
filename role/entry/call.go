package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/grademill/grademill/adapter/rpc"
	"github.com/grademill/grademill/decide/claim"
	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/outcome"
	"github.com/grademill/grademill/decide/policy"
	"github.com/grademill/grademill/port/router"
	"github.com/grademill/grademill/role/gate"
	"github.com/grademill/grademill/state/retrybudgets"
	"github.com/grademill/grademill/state/runonce"
	"github.com/grademill/grademill/wire"
)

// Call implements router.Router.
func (e *Entry) Call(ctx context.Context, c router.Call) (router.Reply, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	defer e.countRequest(c.Team)()
	id := uuid.New()
	reply, err := e.callService(ctx, c, id)
	e.recordEnd(c.Team, c.Service, hex.EncodeToString(id[:]), err)
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
	e.countFirstAttempt()
	run := &call{
		entry: e, request: c, decision: d, id: id, weight: snapshot.State.Teams[c.Team].Value.Weight,
	}
	run.key, run.digest = keys(c, id)
	if d.Repeatable {
		return run.repeatable(ctx)
	}
	return run.once(ctx)
}

// once runs a call that must run at most once.
func (c *call) once(ctx context.Context) (router.Reply, error) {
	runner := &runonce.Runner{
		Claims: c.entry.claims, Agents: c, Reservations: c, TakeRetry: c.entry.takeRetry,
		Key: hex.EncodeToString(c.key), Digest: c.digest, Shared: c.request.Key != "",
	}
	reply, report := runner.Run(ctx)
	if report != nil {
		return router.Reply{}, report
	}
	return callerReply(reply), nil
}

// keys returns the hash of the identity of the call, by which it is fenced, and the hash of its
// content. A call without an idempotency key gets a unique identity.
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

// call is one call to a plain service, owned by this entry.
type call struct {
	entry    *Entry
	request  router.Call
	decision policy.Decision
	id       uuid.UUID
	weight   float64
	key      []byte
	digest   string
}

var (
	_ runonce.Agents       = (*call)(nil)
	_ runonce.Reservations = (*call)(nil)
)

// Enter implements runonce.Reservations.
func (c *call) Enter(ctx context.Context, avoid map[string]bool) (fleet.Endpoint, func(), *outcome.Report) {
	s, report := c.entry.gate.Enter(ctx, gate.Ticket[*reservation]{
		Lane: c.request.Service, Team: c.request.Team, Weight: c.weight, Priority: c.decision.Priority, Cost: 1,
		Try: func() (*reservation, gate.Answer) { return c.entry.reserveEndpoint(c.request.Service, avoid) },
	})
	if report != nil {
		return fleet.Endpoint{}, nil, report
	}
	leave := func() {
		s.release()
		c.entry.gate.AdmitWaiting()
	}
	at := s.stages[0].Endpoint
	at.Epoch = s.stages[0].Usage.Epoch.Load()
	return at, leave, nil
}

// Send implements runonce.Agents.
func (c *call) Send(ctx context.Context, at fleet.Endpoint, claimed claim.Claim, why string) (*wire.CallReply, error) {
	c.entry.Log.Info().Hex("request", c.id[:]).Str("team", c.request.Team).Str("service", c.request.Service).
		Str("policy", c.decision.Policy).Str("endpoint", at.Name).Str("claim", claimed.ID).Str("reason", why).
		Msg("endpoint chosen")
	timeout := c.entry.MaxDeadline
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	waiting, done := c.entry.waitFor(ctx, at.Name, c.id)
	defer done()
	reply := new(wire.CallReply)
	err := c.entry.client.Call(waiting, at.Address, "call", &wire.Call{
		Key: c.key, Claim: claimed.ID, Incarnation: at.Incarnation, Epoch: at.Epoch, Service: c.request.Service,
		Method: c.request.Method, Path: c.request.Path, Body: c.request.Body, ContentType: c.request.ContentType,
		Once: !c.decision.Repeatable, TimeoutMillis: uint32(max(timeout.Milliseconds(), 0)),
	}, reply)
	var unsent *rpc.UnsentError
	switch {
	case errors.As(err, &unsent):
		c.entry.suspect(at.Name, err.Error())
		return &wire.CallReply{Outcome: wire.CallReply_NOT_RUN, Detail: err.Error()}, nil
	case err != nil:
		if ctx.Err() == nil {
			c.entry.suspect(at.Name, err.Error())
		}
		return nil, err
	}
	if reply.GetLoad() != nil {
		c.entry.recordLoads(reply.GetLoad())
	}
	return reply, nil
}

// Settle implements runonce.Agents.
func (c *call) Settle(ctx context.Context, held claim.Claim) (*wire.CallReply, error) {
	reply := new(wire.CallReply)
	err := c.entry.client.Call(ctx, held.Address, "settle", &wire.Settle{
		Key: c.key, Claim: held.ID, Incarnation: held.Incarnation, Epoch: held.Epoch,
	}, reply)
	return reply, err
}

// repeatable runs a call that may run more than once.
func (c *call) repeatable(ctx context.Context) (router.Reply, error) {
	ran := false
	var charge *retrybudgets.Charge
	defer func() { charge.Return() }() // no effect once it was sent
	avoid := make(map[string]bool)
	for why := "least loaded"; ; {
		at, leave, report := c.Enter(ctx, avoid)
		if report != nil {
			return router.Reply{}, withRan(ran, report)
		}
		reply, err := c.Send(ctx, at, claim.Claim{}, why)
		charge.Sent(time.Now)
		leave()
		if err == nil && reply.GetOutcome() == wire.CallReply_DONE {
			return callerReply(reply), nil
		}
		why = "refused: " + reply.GetDetail()
		if err != nil {
			why = "lost: " + err.Error()
		}
		ran = ran || err != nil || reply.GetOutcome() != wire.CallReply_NOT_RUN
		avoid[at.Name] = true
		if ctx.Err() != nil {
			return router.Reply{}, withRan(ran, outcome.Refuse(outcome.DeadlineOver, ctx.Err().Error(), retryAfter))
		}
		if charge = c.entry.takeRetry(); charge == nil {
			return router.Reply{}, withRan(ran, outcome.Refuse(outcome.RetryExceeded, why, retryAfter))
		}
	}
}

// withRan changes the kind of r from NotRun to Failed if the call may have run.
func withRan(ran bool, r *outcome.Report) *outcome.Report {
	if ran {
		r.Kind = outcome.Failed
	}
	return r
}

// callerReply converts a reply for the caller.
func callerReply(r *wire.CallReply) router.Reply {
	return router.Reply{Status: int(r.GetStatus()), Body: r.GetBody(), ContentType: r.GetContentType()}
}
