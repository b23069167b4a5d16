package entry

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/grademill/grademill/decide/answer"
	"github.com/grademill/grademill/decide/outcome"
	"github.com/grademill/grademill/decide/policy"
	"github.com/grademill/grademill/port/router"
	"github.com/grademill/grademill/wire"
)

// requestBytes is the size of a request's ID.
const requestBytes = 16

// flight is one request of a model, owned by this entry from its acceptance to
// its final answer. One goroutine runs it; others push events.
type flight struct {
	entry    *Entry
	id       [requestBytes]byte
	request  router.Completion
	decision policy.Decision
	assembly answer.Assembly
	seat     *seat
	avoid    map[string]bool
	// ran is whether any layer may have run; it never goes back to false.
	ran bool
	// moved is the time of the last progress, begun that of the current attempt's start.
	moved, begun time.Time
	// lost counts the stages that were lost soon after an attempt began.
	lost int

	mu     sync.Mutex
	inbox  []event
	notify chan struct{}
}

// event is something that concerns a flight; one field is set.
type event struct {
	token   *wire.Token
	trouble *wire.Trouble
	down    string
}

// push gives the flight an event.
func (f *flight) push(ev event) {
	f.mu.Lock()
	f.inbox = append(f.inbox, ev)
	f.mu.Unlock()
	select {
	case f.notify <- struct{}{}:
	default:
	}
}

func (f *flight) events() []event {
	f.mu.Lock()
	defer f.mu.Unlock()
	inbox := f.inbox
	f.inbox = nil
	return inbox
}

// take handles one frame of an agent.
func (e *Entry) take(batch *wire.Batch) {
	for _, beat := range batch.GetHeartbeats() {
		e.heartbeat(beat)
	}
	for _, t := range batch.GetTokens() {
		e.loaded(t.GetLoads()...)
		if f := e.flight(t.GetRequest()); f != nil {
			f.push(event{token: t})
		}
	}
	for _, t := range batch.GetTroubles() {
		if f := e.flight(t.GetRequest()); f != nil {
			f.push(event{trouble: t})
		}
	}
}

func (e *Entry) flight(id []byte) *flight {
	if len(id) != requestBytes {
		return nil
	}
	e.flightsMu.RLock()
	defer e.flightsMu.RUnlock()
	return e.flights[[requestBytes]byte(id)]
}

func (e *Entry) allFlights() []*flight {
	e.flightsMu.RLock()
	defer e.flightsMu.RUnlock()
	all := make([]*flight, 0, len(e.flights))
	for _, f := range e.flights {
		all = append(all, f)
	}
	return all
}

// newFlight registers a flight that holds a seat.
func (e *Entry) newFlight(c router.Completion, d policy.Decision, s *seat) *flight {
	f := &flight{
		entry: e, id: uuid.New(), request: c, decision: d, seat: s,
		assembly: answer.New(len(c.Prompt)), notify: make(chan struct{}, 1),
	}
	e.flightsMu.Lock()
	defer e.flightsMu.Unlock()
	e.flights[f.id] = f
	return f
}

// end unregisters the flight and lets every stage forget it.
func (f *flight) end() {
	f.entry.flightsMu.Lock()
	delete(f.entry.flights, f.id)
	f.entry.flightsMu.Unlock()
	f.leave()
}

// leave bars the current attempt at its stages and gives the seat back.
func (f *flight) leave() {
	if f.seat == nil {
		return
	}
	cancel := &wire.Cancel{Request: f.id[:], Attempt: f.assembly.Attempt}
	for _, stage := range f.seat.stages {
		f.entry.links.Cancel(stage.Endpoint.Address, cancel)
	}
	f.seat.release()
	f.seat = nil
	f.entry.gate.Poke()
}

// dispatch sends the first step of the current attempt: all that is known of
// the text, so that the tokens go on after those already given.
func (f *flight) dispatch(why string) {
	tokens := append(append([]uint32(nil), f.request.Prompt...), f.assembly.Tokens...)
	open := &wire.Open{
		Model: f.request.Service, Owner: f.entry.Address, Team: f.request.Team,
		Limit: f.assembly.Prompt + uint32(f.request.MaxTokens), Priority: f.priority(),
	}
	for _, stage := range f.seat.stages {
		ep := stage.Endpoint
		open.Chain = append(open.Chain, &wire.Stage{
			Endpoint: ep.Name, Address: ep.Address, Incarnation: ep.Incarnation,
			First: uint32(ep.Layers.First), End: uint32(ep.Layers.End),
		})
	}
	f.entry.Log.Info().Hex("request", f.id[:]).Uint32("attempt", f.assembly.Attempt).
		Str("team", f.request.Team).Str("service", f.request.Service).Str("policy", f.decision.Policy).
		Strs("chain", f.seat.names()).Dur("cost", f.seat.choice.Cost).
		Str("runner_up", f.seat.runnerUp).Dur("runner_up_cost", f.seat.choice.RunnerUpCost).
		Str("reason", why).Msg("chain chosen")
	f.begun = time.Now()
	f.moved = f.begun
	f.entry.links.Step(open.GetChain()[0].GetAddress(), &wire.Step{
		Request: f.id[:], Attempt: f.assembly.Attempt, Count: uint32(len(tokens)),
		Payload: encodeTokens(tokens), Open: open,
	})
}

// priority returns the priority at the agents. An answer that lost its chain goes
// before others of its class: it is late already.
func (f *flight) priority() int32 {
	priority := int32(f.decision.Priority)
	if f.assembly.Attempt > 1 {
		priority++
	}
	return priority
}

// encodeTokens returns tokens as the payload of a first stage.
func encodeTokens(tokens []uint32) []byte {
	const tokenBytes = 4
	payload := make([]byte, 0, len(tokens)*tokenBytes)
	for _, token := range tokens {
		payload = binary.LittleEndian.AppendUint32(payload, token)
	}
	return payload
}

// run carries the flight to its end.
func (f *flight) run(ctx context.Context, emit func(uint32) error) error {
	f.dispatch("cheapest")
	timer := time.NewTimer(f.patience())
	defer timer.Stop()
	for !f.assembly.Complete {
		var err error
		select {
		case <-ctx.Done():
			return f.giveUp(ctx)
		case <-f.notify:
			err = f.handle(ctx, emit)
		case <-timer.C:
			err = f.stalled(ctx)
		}
		if err != nil {
			return err
		}
		timer.Reset(max(f.patience()-time.Since(f.moved), 0))
	}
	return nil
}

// handle takes in what has come.
func (f *flight) handle(ctx context.Context, emit func(uint32) error) error {
	for _, ev := range f.events() {
		var err error
		switch {
		case ev.token != nil:
			err = f.token(ctx, ev.token, emit)
		case ev.trouble != nil:
			err = f.troubled(ctx, ev.trouble)
		default:
			err = f.peerDown(ctx, ev.down)
		}
		if err != nil || f.assembly.Complete {
			return err
		}
	}
	return nil
}

// token takes in one token and gives it to the caller.
func (f *flight) token(ctx context.Context, t *wire.Token, emit func(uint32) error) error {
	next, verdict := f.assembly.WithToken(answer.Token{
		Attempt: t.GetAttempt(), Position: t.GetPosition(), ID: t.GetToken(), End: t.GetEnd(),
	})
	switch verdict {
	case answer.Dropped:
		return nil
	case answer.Missing:
		return f.again(ctx, "a token is missing")
	}
	f.ran = true
	first := len(f.assembly.Tokens) == 0
	f.assembly = next
	f.learn(first)
	if err := emit(t.GetToken()); err != nil {
		return &outcome.Report{Kind: outcome.Failed, Code: outcome.CallerGone, Detail: err.Error()}
	}
	return nil
}

// troubled handles an attempt that cannot go on.
func (f *flight) troubled(ctx context.Context, t *wire.Trouble) error {
	if t.GetAttempt() != f.assembly.Attempt {
		return nil
	}
	if !refusedUnrun(t) {
		f.ran = true
	}
	switch t.GetReason() {
	case wire.Trouble_NEXT_LOST:
		f.stageLost()
		f.entry.suspect(t.GetEndpoint(), t.GetDetail())
	case wire.Trouble_BUSY, wire.Trouble_LEAVING, wire.Trouble_INCARNATION, wire.Trouble_LAYERS, wire.Trouble_ENGINE:
		f.shun(t.GetEndpoint())
	}
	return f.again(ctx, t.GetReason().String())
}

// refusedUnrun reports whether a trouble proves that no layer of the attempt
// has run: the first stage refused it and has barred it.
func refusedUnrun(t *wire.Trouble) bool {
	if t.GetStage() != 0 {
		return false
	}
	switch t.GetReason() {
	case wire.Trouble_BUSY, wire.Trouble_LEAVING, wire.Trouble_INCARNATION, wire.Trouble_LAYERS:
		return true
	}
	return false
}

// shun keeps this flight from an endpoint.
func (f *flight) shun(endpoint string) {
	if f.avoid == nil {
		f.avoid = make(map[string]bool)
	}
	f.avoid[endpoint] = true
}

// peerDown handles the loss of an agent's connection from here.
func (f *flight) peerDown(ctx context.Context, address string) error {
	if f.seat == nil || f.seat.stages[0].Endpoint.Address != address {
		return nil
	}
	f.ran = true
	f.stageLost()
	return f.again(ctx, "connection to the first stage broke")
}

// A request that ends the stages that begin to run it would end all that there are: it was read
// again along another chain five times out of five. Three may be chance.
const (
	// soonLost is how long after the start of an attempt the loss of a stage may be its doing.
	soonLost = time.Second
	// mostLost is the number of such losses after which a request is given up.
	mostLost = 3
)

// stageLost notes that a stage of the attempt was lost.
func (f *flight) stageLost() {
	if time.Since(f.begun) < soonLost {
		f.lost++
	}
}

// recoverPoll is how often a flight without a chain looks for one.
const recoverPoll = 10 * time.Millisecond

// again raises the attempt and sends the request along another chain.
func (f *flight) again(ctx context.Context, why string) error {
	if report := f.mayRetry(why); report != nil {
		return report
	}
	f.entry.Meter.Rebuilt(why)
	f.leave()
	f.assembly = f.assembly.WithAttempt()
	patience := time.After(f.entry.RecoverWait)
	for {
		s, _ := f.entry.chain(f.request.Service, f.avoid, true)
		if s == nil && len(f.avoid) > 0 {
			f.avoid = nil
			s, _ = f.entry.chain(f.request.Service, nil, true)
		}
		if s != nil {
			f.seat = s
			f.dispatch(why)
			return nil
		}
		select {
		case <-ctx.Done():
			return f.giveUp(ctx)
		case <-patience:
			return f.report(outcome.NoChain, "no other chain after: "+why)
		case <-time.After(recoverPoll):
		}
	}
}

// retryAfter is when to come back after a request was given up.
const retryAfter = time.Second

// mayRetry returns the final report when the request may not be tried again.
func (f *flight) mayRetry(why string) *outcome.Report {
	if f.ran && (!f.decision.Repeatable || f.decision.Recovery == policy.Fail) {
		return f.report(outcome.StageLost, why)
	}
	if f.lost >= mostLost {
		return f.report(outcome.StageLost, "stages were lost each time: "+why)
	}
	if !f.entry.mayRetry() {
		return f.report(outcome.RetryExceeded, why)
	}
	return nil
}

// report returns the final report of a flight that ends here, as certain as
// what is known allows.
func (f *flight) report(code outcome.Code, detail string) *outcome.Report {
	kind := outcome.Failed
	switch {
	case !f.ran:
		kind = outcome.NotRun
	case !f.decision.Repeatable:
		kind = outcome.Unknown
	}
	return &outcome.Report{Kind: kind, Code: code, Detail: detail, RetryAfter: retryAfter}
}

// giveUp ends a flight whose context has ended. The attempt under way may run.
func (f *flight) giveUp(ctx context.Context) error {
	if f.seat != nil {
		f.ran = true
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return f.report(outcome.DeadlineOver, "the deadline has passed")
	}
	return f.report(outcome.CallerGone, "the caller has hung up")
}

// requestID returns the ID as callers see it.
func (f *flight) requestID() string {
	return hex.EncodeToString(f.id[:])
}
