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
	"github.com/grademill/grademill/state/retrybudgets"
	"github.com/grademill/grademill/wire"
)

// requestBytes is the size of a request ID.
const requestBytes = 16

// flight is a model request in flight, owned by this entry from its admission to its final answer.
// One goroutine runs it; others push events.
type flight struct {
	entry       *Entry
	id          [requestBytes]byte
	request     router.Completion
	decision    policy.Decision
	assembly    answer.Assembly
	reservation *reservation
	avoid       map[string]bool
	// mayHaveRun is set once any layer may have run, and never reset.
	mayHaveRun bool
	// lastProgress is the time of the last progress, attemptStart the start of the current attempt.
	lastProgress, attemptStart time.Time
	// earlyLosses counts the stages that were lost soon after the start of an attempt.
	earlyLosses int
	// charge is the retry taken for the current attempt, nil for the first one.
	charge *retrybudgets.Charge

	mu     sync.Mutex
	inbox  []event
	notify chan struct{}
}

// event is an event for a flight; exactly one field is set.
type event struct {
	token   *wire.Token
	trouble *wire.Trouble
	down    string
}

// push queues an event and wakes the flight.
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

// handleFrame handles one frame from an agent.
func (e *Entry) handleFrame(batch *wire.Batch) {
	for _, beat := range batch.GetHeartbeats() {
		e.heartbeat(beat)
	}
	for _, t := range batch.GetTokens() {
		e.recordLoads(t.GetLoads()...)
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

// newFlight registers a flight that holds a reservation.
func (e *Entry) newFlight(c router.Completion, d policy.Decision, s *reservation) *flight {
	f := &flight{
		entry: e, id: uuid.New(), request: c, decision: d, reservation: s,
		assembly: answer.New(len(c.Prompt)), notify: make(chan struct{}, 1),
	}
	e.flightsMu.Lock()
	defer e.flightsMu.Unlock()
	e.flights[f.id] = f
	return f
}

// end unregisters the flight and cancels it at every stage.
func (f *flight) end() {
	f.entry.flightsMu.Lock()
	delete(f.entry.flights, f.id)
	f.entry.flightsMu.Unlock()
	f.cancelAttempt()
	f.charge.Return() // no effect once it was sent
}

// cancelAttempt cancels the current attempt at its stages and releases the reservation.
func (f *flight) cancelAttempt() {
	if f.reservation == nil {
		return
	}
	f.charge.Sent(time.Now)
	cancel := &wire.Cancel{Request: f.id[:], Attempt: f.assembly.Attempt}
	for _, stage := range f.reservation.stages {
		f.entry.links.Cancel(stage.Endpoint.Address, cancel)
	}
	f.reservation.release()
	f.reservation = nil
	f.entry.gate.AdmitWaiting()
}

// dispatch sends the first step of the current attempt: the prompt and all tokens received so far,
// so that the answer continues after them.
func (f *flight) dispatch(why string) {
	tokens := append(append([]uint32(nil), f.request.Prompt...), f.assembly.Tokens...)
	open := &wire.Open{
		Model: f.request.Service, Owner: f.entry.Address, Team: f.request.Team,
		Limit: f.assembly.Prompt + uint32(f.request.MaxTokens), Priority: f.priority(),
	}
	for _, stage := range f.reservation.stages {
		ep := stage.Endpoint
		open.Chain = append(open.Chain, &wire.Stage{
			Endpoint: ep.Name, Address: ep.Address, Incarnation: ep.Incarnation,
			First: uint32(ep.Layers.First), End: uint32(ep.Layers.End),
		})
	}
	f.entry.Log.Info().Hex("request", f.id[:]).Uint32("attempt", f.assembly.Attempt).
		Str("team", f.request.Team).Str("service", f.request.Service).Str("policy", f.decision.Policy).
		Strs("chain", f.reservation.names()).Dur("cost", f.reservation.choice.Cost).
		Str("runner_up", f.reservation.runnerUp).Dur("runner_up_cost", f.reservation.choice.RunnerUpCost).
		Str("reason", why).Msg("chain chosen")
	f.attemptStart = time.Now()
	f.lastProgress = f.attemptStart
	f.entry.links.Step(open.GetChain()[0].GetAddress(), &wire.Step{
		Request: f.id[:], Attempt: f.assembly.Attempt, Count: uint32(len(tokens)),
		Payload: encodeTokens(tokens), Open: open,
	})
}

// priority returns the priority for the agents. A request that lost its chain is late already, so
// it goes before others of its class.
func (f *flight) priority() int32 {
	priority := int32(f.decision.Priority)
	if f.assembly.Attempt > 1 {
		priority++
	}
	return priority
}

// encodeTokens encodes tokens as the payload of a first stage.
func encodeTokens(tokens []uint32) []byte {
	const tokenBytes = 4
	payload := make([]byte, 0, len(tokens)*tokenBytes)
	for _, token := range tokens {
		payload = binary.LittleEndian.AppendUint32(payload, token)
	}
	return payload
}

// run handles events until the answer is complete or the request fails.
func (f *flight) run(ctx context.Context, emit func(uint32) error) error {
	f.dispatch("cheapest")
	timer := time.NewTimer(f.stallTimeout())
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
		timer.Reset(max(f.stallTimeout()-time.Since(f.lastProgress), 0))
	}
	return nil
}

// handle handles the queued events.
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

// token handles one token and passes it to the caller.
func (f *flight) token(ctx context.Context, t *wire.Token, emit func(uint32) error) error {
	next, verdict := f.assembly.WithToken(answer.Token{
		Attempt: t.GetAttempt(), Position: t.GetPosition(), ID: t.GetToken(), End: t.GetEnd(),
	})
	switch verdict {
	case answer.Dropped:
		return nil
	case answer.Missing:
		return f.retry(ctx, "a token is missing")
	}
	f.mayHaveRun = true
	f.charge.Sent(time.Now)
	first := len(f.assembly.Tokens) == 0
	f.assembly = next
	f.learn(first)
	if err := emit(t.GetToken()); err != nil {
		return &outcome.Report{Kind: outcome.Failed, Code: outcome.CallerGone, Detail: err.Error()}
	}
	return nil
}

// troubled handles the report that the attempt cannot go on.
func (f *flight) troubled(ctx context.Context, t *wire.Trouble) error {
	if t.GetAttempt() != f.assembly.Attempt {
		return nil
	}
	if !refusedUnrun(t) {
		f.mayHaveRun = true
	}
	switch t.GetReason() {
	case wire.Trouble_NEXT_LOST:
		f.stageLost()
		f.entry.suspect(t.GetEndpoint(), t.GetDetail())
	case wire.Trouble_BUSY, wire.Trouble_LEAVING, wire.Trouble_INCARNATION, wire.Trouble_LAYERS, wire.Trouble_ENGINE:
		f.avoidEndpoint(t.GetEndpoint())
	}
	return f.retry(ctx, t.GetReason().String())
}

// refusedUnrun reports whether a trouble proves that no layer of the attempt has run: the first
// stage refused the attempt and bars it permanently.
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

// avoidEndpoint excludes an endpoint from the next chains of this flight.
func (f *flight) avoidEndpoint(endpoint string) {
	if f.avoid == nil {
		f.avoid = make(map[string]bool)
	}
	f.avoid[endpoint] = true
}

// peerDown handles the end of the connection from this entry to an agent.
func (f *flight) peerDown(ctx context.Context, address string) error {
	if f.reservation == nil || f.reservation.stages[0].Endpoint.Address != address {
		return nil
	}
	f.mayHaveRun = true
	f.stageLost()
	return f.retry(ctx, "connection to the first stage broke")
}

// Bounds of the retries of a request that crashes the stages that run it. Without them it would crash
// every stage of the fleet: such a request was retried along another chain 5 times out of 5. Three
// early losses may still be a coincidence.
const (
	// earlyLossPeriod is the time after the start of an attempt in which the loss of a stage may be
	// caused by the request.
	earlyLossPeriod = time.Second
	// maxEarlyLosses is the number of early losses after which a request is given up.
	maxEarlyLosses = 3
)

// stageLost records that a stage of the attempt was lost.
func (f *flight) stageLost() {
	if time.Since(f.attemptStart) < earlyLossPeriod {
		f.earlyLosses++
	}
}

// recoverInterval is the time between two checks for a new chain.
const recoverInterval = 10 * time.Millisecond

// retry starts a new attempt along another chain. It waits for one for up to RecoverWait.
func (f *flight) retry(ctx context.Context, why string) error {
	charge, report := f.takeRetry(why)
	if report != nil {
		return report
	}
	f.entry.Meter.Rebuilt(why)
	f.cancelAttempt()
	f.charge = charge
	f.assembly = f.assembly.WithAttempt()
	recoverTimeout := time.After(f.entry.RecoverWait)
	for {
		s, _ := f.entry.reserveChain(f.request.Service, f.avoid, true)
		if s == nil && len(f.avoid) > 0 {
			f.avoid = nil
			s, _ = f.entry.reserveChain(f.request.Service, nil, true)
		}
		if s != nil {
			f.reservation = s
			f.dispatch(why)
			return nil
		}
		select {
		case <-ctx.Done():
			return f.giveUp(ctx)
		case <-recoverTimeout:
			return f.report(outcome.NoChain, "no other chain after: "+why)
		case <-time.After(recoverInterval):
		}
	}
}

// retryAfter is the Retry-After delay for a request that was given up.
const retryAfter = time.Second

// takeRetry takes a retry from the budget, or returns the final report if the request must not be
// retried.
func (f *flight) takeRetry(why string) (*retrybudgets.Charge, *outcome.Report) {
	if f.mayHaveRun && (!f.decision.Repeatable || f.decision.Recovery == policy.Fail) {
		return nil, f.report(outcome.StageLost, why)
	}
	if f.earlyLosses >= maxEarlyLosses {
		return nil, f.report(outcome.StageLost, "stages were lost each time: "+why)
	}
	charge := f.entry.takeRetry()
	if charge == nil {
		return nil, f.report(outcome.RetryExceeded, why)
	}
	return charge, nil
}

// report returns the final report of a flight that ends here. Its kind depends on whether the
// request may have run and is repeatable.
func (f *flight) report(code outcome.Code, detail string) *outcome.Report {
	kind := outcome.Failed
	switch {
	case !f.mayHaveRun:
		kind = outcome.NotRun
	case !f.decision.Repeatable:
		kind = outcome.Unknown
	}
	return &outcome.Report{Kind: kind, Code: code, Detail: detail, RetryAfter: retryAfter}
}

// giveUp returns the final report of a flight whose context has ended. The current attempt may
// still run.
func (f *flight) giveUp(ctx context.Context) error {
	if f.reservation != nil {
		f.mayHaveRun = true
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return f.report(outcome.DeadlineOver, "the deadline has passed")
	}
	return f.report(outcome.CallerGone, "the caller has hung up")
}

// requestID returns the ID in the form that callers see.
func (f *flight) requestID() string {
	return hex.EncodeToString(f.id[:])
}
