package agent

import (
	"context"
	"encoding/hex"
	"errors"
	"time"

	"github.com/grademill/grademill/decide/once"
	"github.com/grademill/grademill/port/service"
	"github.com/grademill/grademill/wire"
)

// maxStored is the size in bytes of the largest answer that is kept for repeated calls.
const maxStored = 16 << 10

// call runs one request at the plain service.
func (a *Agent) call(ctx context.Context, c *wire.Call) (*wire.CallReply, error) {
	if refused := a.refuseCall(c); refused != nil {
		return refused, nil
	}
	if !c.GetOnce() {
		defer a.endCall()
		return a.run(ctx, c), nil
	}
	ticket := once.Ticket{Key: once.Key(c.GetKey()), Claim: c.GetClaim(), Epoch: c.GetEpoch()}
	a.mu.Lock()
	verdict := a.calls.Begin(time.Now(), ticket)
	if verdict == once.Start {
		a.waiters[ticket.Key] = make(chan struct{})
	} else {
		a.running--
	}
	a.mu.Unlock()
	if verdict == once.Start {
		// The call has started, so it continues if the entry hangs up.
		return a.runOnce(context.WithoutCancel(ctx), ticket, c), nil
	}
	return a.recordedReply(ctx, ticket.Key, verdict)
}

// refuseCall returns a refusal if the call cannot be accepted. Otherwise it counts the call as in
// flight and returns nil.
func (a *Agent) refuseCall(c *wire.Call) *wire.CallReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.Plain == nil || c.GetService() != a.Service:
		return notRun("no such service here")
	case c.GetIncarnation() != a.incarnation:
		return notRun("meant for another incarnation")
	case a.leaving.Load():
		return notRun("endpoint is leaving")
	case a.running >= admitFactor*a.MaxSessions:
		return notRun("as many calls as allowed")
	case c.GetOnce() && len(c.GetKey()) != len(once.Key{}):
		return notRun("key of the wrong size")
	}
	a.running++
	return nil
}

func notRun(detail string) *wire.CallReply {
	return &wire.CallReply{Outcome: wire.CallReply_NOT_RUN, Detail: detail}
}

func (a *Agent) endCall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
}

// runOnce runs a call that this agent must never start again.
func (a *Agent) runOnce(ctx context.Context, ticket once.Ticket, c *wire.Call) *wire.CallReply {
	reply := a.run(ctx, c)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	now := time.Now()
	switch reply.GetOutcome() {
	case wire.CallReply_NOT_RUN:
		a.calls.Undo(now, ticket)
	case wire.CallReply_DONE:
		a.calls.Finish(now, ticket.Key, stored(reply))
	default:
		a.calls.FinishLost(now, ticket.Key, reply)
	}
	close(a.waiters[ticket.Key])
	delete(a.waiters, ticket.Key)
	return reply
}

// stored returns the reply to keep: the given one, or one with an unknown outcome if its body is
// too large to keep.
func stored(reply *wire.CallReply) *wire.CallReply {
	if len(reply.GetBody()) <= maxStored {
		return reply
	}
	return &wire.CallReply{
		Outcome: wire.CallReply_UNKNOWN, Detail: "the call has run; its answer was too large to be kept",
	}
}

// recordedReply answers a call that verdict does not allow to start.
func (a *Agent) recordedReply(ctx context.Context, key once.Key, verdict once.Verdict) (*wire.CallReply, error) {
	switch verdict {
	case once.Barred:
		return notRun("the claim was settled as not run"), nil
	case once.Full:
		return notRun("too many calls are remembered"), nil
	case once.Wait:
		return a.awaitCall(ctx, key), nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply, ok := a.calls.Reply(key); ok {
		return reply, nil
	}
	return &wire.CallReply{Outcome: wire.CallReply_UNKNOWN, Detail: "no reply is held"}, nil
}

// awaitCall waits for the call with the key to end, and returns its reply.
func (a *Agent) awaitCall(ctx context.Context, key once.Key) *wire.CallReply {
	a.mu.Lock()
	waiter := a.waiters[key]
	a.mu.Unlock()
	unknown := &wire.CallReply{Outcome: wire.CallReply_UNKNOWN, Detail: "the call is running"}
	if waiter != nil {
		select {
		case <-ctx.Done():
			return unknown
		case <-waiter:
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply, ok := a.calls.Reply(key); ok {
		return reply
	}
	return unknown
}

// run sends the call to the service.
func (a *Agent) run(ctx context.Context, c *wire.Call) *wire.CallReply {
	timeout := time.Duration(c.GetTimeoutMillis()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	reply, err := a.Plain.Do(ctx, service.Request{
		Method: c.GetMethod(), Path: c.GetPath(), Body: c.GetBody(), ContentType: c.GetContentType(),
		Key: hex.EncodeToString(c.GetKey()),
	})
	var unsent *service.UnsentError
	switch {
	case errors.As(err, &unsent):
		return notRun(err.Error())
	case err != nil:
		return &wire.CallReply{Outcome: wire.CallReply_UNKNOWN, Detail: err.Error()}
	}
	a.mu.Lock()
	a.learnStep(time.Since(start))
	load := a.load()
	a.mu.Unlock()
	return &wire.CallReply{
		Outcome: wire.CallReply_DONE, Status: uint32(reply.Status), Body: reply.Body,
		ContentType: reply.ContentType, Load: load,
	}
}

// settle reports the outcome of a call. If the call has not started, settle prevents it from
// starting later.
func (a *Agent) settle(ctx context.Context, s *wire.Settle) (*wire.CallReply, error) {
	if s.GetIncarnation() != a.incarnation {
		return &wire.CallReply{Outcome: wire.CallReply_UNKNOWN, Detail: "another incarnation may have run it"}, nil
	}
	if len(s.GetKey()) != len(once.Key{}) {
		return &wire.CallReply{Outcome: wire.CallReply_UNKNOWN, Detail: "key of the wrong size"}, nil
	}
	ticket := once.Ticket{Key: once.Key(s.GetKey()), Claim: s.GetClaim(), Epoch: s.GetEpoch()}
	a.mu.Lock()
	verdict := a.calls.Settle(time.Now(), ticket)
	a.mu.Unlock()
	switch verdict {
	case once.Full:
		return &wire.CallReply{Outcome: wire.CallReply_UNKNOWN, Detail: "too many calls are remembered"}, nil
	case once.Forgotten:
		return &wire.CallReply{Outcome: wire.CallReply_UNKNOWN, Detail: "too long ago to tell"}, nil
	}
	return a.recordedReply(ctx, ticket.Key, verdict)
}
