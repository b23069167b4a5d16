package entry

import (
	"context"
	"time"

	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/decide/outcome"
	"github.com/grademill/grademill/decide/policy"
	"github.com/grademill/grademill/port/router"
	"github.com/grademill/grademill/role/gate"
	"github.com/grademill/grademill/state/configreplica"
	"github.com/grademill/grademill/state/retrybudgets"
)

// Complete implements router.Router.
func (e *Entry) Complete(ctx context.Context, c router.Completion, emit func(uint32) error) (router.Usage, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	defer e.countRequest(c.Team)()
	usage, err := e.complete(ctx, c, emit)
	e.recordEnd(c.Team, c.Service, usage.Request, err)
	return usage, err
}

func (e *Entry) complete(ctx context.Context, c router.Completion, emit func(uint32) error) (router.Usage, error) {
	snapshot := e.config.Current()
	service, report := e.lookup(snapshot, c.Team, c.Service, config.Model)
	if report != nil {
		return router.Usage{}, report
	}
	d := snapshot.Policies.Decide(policy.Request{
		Team: c.Team, Service: c.Service, PromptTokens: len(c.Prompt), MaxTokens: c.MaxTokens,
	}, service.Repeatable)
	ctx, cancel := e.deadline(ctx, c.Deadline, d.Deadline)
	defer cancel()
	e.countFirstAttempt()
	start := time.Now()
	s, report := e.gate.Enter(ctx, gate.Ticket[*reservation]{
		Lane: c.Service, Team: c.Team, Weight: snapshot.State.Teams[c.Team].Value.Weight,
		Priority: d.Priority, Cost: float64(len(c.Prompt) + c.MaxTokens),
		Try: func() (*reservation, gate.Answer) { return e.reserveChain(c.Service, nil, false) },
	})
	if report != nil {
		return router.Usage{}, report
	}
	e.Meter.Queued(c.Service, time.Since(start))
	f := e.newFlight(c, d, s)
	defer f.end()
	err := f.run(ctx, emit)
	return router.Usage{
		Request: f.requestID(), Tokens: len(f.assembly.Tokens), Attempts: int(f.assembly.Attempt),
	}, err
}

// lookup returns a service that the team may use, or a refusal.
func (e *Entry) lookup(s *configreplica.Snapshot, team, name string, kind config.ServiceKind) (config.Service, *outcome.Report) {
	if e.draining.Load() {
		return config.Service{}, outcome.Refuse(outcome.Draining, "this entry is leaving", retryAfter)
	}
	service, ok := s.State.Services[name]
	if !ok || service.Value.Kind != kind {
		return config.Service{}, outcome.Refuse(outcome.UnknownModel, "no "+string(kind)+" service "+name, 0)
	}
	rules, ok := s.State.Teams[team]
	if !ok || !rules.Value.MayCall(name) {
		return config.Service{}, outcome.Refuse(outcome.Forbidden, "team "+team+" may not use "+name, 0)
	}
	if limit := rules.Value.MaxInFlight; limit > 0 && e.loadOf(team) > limit {
		return config.Service{}, outcome.Refuse(outcome.Overloaded, "team "+team+" has as many requests as it may", retryAfter)
	}
	return service.Value, nil
}

// countRequest counts a request of a team as in flight until done is called.
func (e *Entry) countRequest(team string) (done func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.teamLoad[team]++
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.teamLoad[team]--
		if e.teamLoad[team] == 0 {
			delete(e.teamLoad, team)
		}
	}
}

func (e *Entry) loadOf(team string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.teamLoad[team]
}

// deadline bounds ctx by the earliest of the caller's deadline and the limits of the policy and the
// entry.
func (e *Entry) deadline(ctx context.Context, caller time.Time, bound time.Duration) (context.Context, context.CancelFunc) {
	limit := e.MaxDeadline
	if bound > 0 {
		limit = min(limit, bound)
	}
	at := time.Now().Add(limit)
	if !caller.IsZero() && caller.Before(at) {
		at = caller
	}
	return context.WithDeadline(ctx, at)
}

// countFirstAttempt counts a first attempt in the retry budget.
func (e *Entry) countFirstAttempt() {
	e.Retries.CountFirstAttempt(time.Now())
}

// takeRetry takes a retry from the budget. It returns nil if there was none.
func (e *Entry) takeRetry() *retrybudgets.Charge {
	return e.Retries.Take(time.Now())
}

// recordEnd counts and logs the end of a request.
func (e *Entry) recordEnd(team, service, request string, err error) {
	kind, code, detail := outcome.Done, outcome.Code(""), ""
	if report, ok := outcome.Of(err); ok {
		kind, code, detail = report.Kind, report.Code, report.Detail
	}
	if _, known := e.config.Current().State.Services[service]; !known {
		service = "unknown" // bounds the number of label values
	}
	e.Meter.Ended(team, service, kind.String(), string(code))
	e.Log.Info().Str("request", request).Str("team", team).Str("service", service).
		Stringer("outcome", kind).Str("code", string(code)).Str("detail", detail).Msg("request ended")
}
