package agent

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/grademill/grademill/decide/fence"
	"github.com/grademill/grademill/wire"
)

// session is one request at this stage. With open nil it is a grave: it only
// remembers which attempts are barred.
type session struct {
	fence fence.Session
	open  *wire.Open
	stage int
	// request is the ID as it travels.
	request []byte
	// output and payload are those of the last step, for replays.
	output *wire.EngineOutput
	loads  []*wire.Load
	moved  time.Time
}

// grave is a session that ended, to be forgotten at a time.
type grave struct {
	request string
	attempt uint32
	at      time.Time
}

// graveKeep is how long the agent remembers that an attempt ended, and
// idleLimit how long a session may go without a step before its owner counts
// as gone.
const (
	graveKeep = time.Minute
	idleLimit = 2 * time.Minute
)

func (s *session) trouble(endpoint string, reason wire.Trouble_Reason, detail string) *wire.Trouble {
	return &wire.Trouble{
		Request: s.request, Attempt: s.fence.Attempt, Stage: uint32(s.stage),
		Reason: reason, Detail: detail, Endpoint: endpoint,
	}
}

// next returns the index of the stage after s, which is 0 after the last.
func (s *session) next() int {
	return (s.stage + 1) % len(s.open.GetChain())
}

// last reports whether s is the last stage of its chain.
func (s *session) last() bool {
	return s.stage == len(s.open.GetChain())-1
}

// take handles one frame of a peer.
func (a *Agent) take(batch *wire.Batch) {
	for _, c := range batch.GetCancels() {
		a.cancel(c)
	}
	for _, s := range batch.GetSteps() {
		a.step(s)
	}
	for _, n := range batch.GetNews() {
		a.hear(n)
	}
}

// step admits one step, or refuses it.
func (a *Agent) step(m *wire.Step) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := string(m.GetRequest())
	s := a.sessions[key]
	if s == nil {
		s = &session{request: m.GetRequest()}
	}
	id := fence.Step{Attempt: m.GetAttempt(), Position: m.GetPosition(), Count: m.GetCount()}
	verdict := s.fence.Admit(id)
	if a.Unfenced && verdict != fence.Gap && verdict != fence.Restart {
		verdict = fence.Run
	}
	switch verdict {
	case fence.Restart:
		a.restart(key, s, m, id)
	case fence.Run:
		if s.open != nil {
			a.start(s, m, id)
		}
	case fence.Replay:
		if s.open != nil {
			a.forward(s, id, nil)
		}
	case fence.Gap:
		a.gap(s, m)
	case fence.Duplicate, fence.Stale:
		a.Log.Debug().Hex("request", m.GetRequest()).Uint32("attempt", m.GetAttempt()).
			Uint32("position", m.GetPosition()).Stringer("verdict", verdict).Msg("step ignored")
	}
}

// restart takes in the first step of an attempt; a.mu is held.
func (a *Agent) restart(key string, s *session, m *wire.Step, id fence.Step) {
	open := m.GetOpen()
	if open == nil || int(m.GetStage()) >= len(open.GetChain()) {
		return
	}
	if reason, detail := a.refusal(s, open.GetChain()[m.GetStage()], open.GetModel()); reason != wire.Trouble_REASON_UNSPECIFIED {
		a.refuse(key, s, m, reason, detail)
		return
	}
	if s.open == nil {
		a.active++
	} else {
		a.release(s)
	}
	s.open = open
	s.stage = int(m.GetStage())
	s.output = nil
	a.sessions[key] = s
	a.start(s, m, id)
}

// refusal returns why a new attempt cannot be taken; a.mu is held.
func (a *Agent) refusal(s *session, stage *wire.Stage, model string) (wire.Trouble_Reason, string) {
	held := a.status.Layers
	switch {
	case a.leaving.Load():
		return wire.Trouble_LEAVING, "endpoint is leaving"
	case stage.GetIncarnation() != a.incarnation:
		return wire.Trouble_INCARNATION, "meant for another incarnation"
	case a.loading || model != a.status.Service ||
		int(stage.GetFirst()) != held.First || int(stage.GetEnd()) != held.End:
		return wire.Trouble_LAYERS, "holds " + a.status.Service + " " + held.String()
	case s.open == nil && a.active >= admitFactor*a.MaxSessions:
		return wire.Trouble_BUSY, "as many sessions as allowed"
	}
	return wire.Trouble_REASON_UNSPECIFIED, ""
}

// refuse bars the attempt for good and tells its owner; a.mu is held.
func (a *Agent) refuse(key string, s *session, m *wire.Step, reason wire.Trouble_Reason, detail string) {
	a.bury(key, s, m.GetAttempt())
	a.Log.Info().Hex("request", m.GetRequest()).Uint32("attempt", m.GetAttempt()).
		Stringer("reason", reason).Str("detail", detail).Msg("attempt refused")
	trouble := &wire.Trouble{
		Request: m.GetRequest(), Attempt: m.GetAttempt(), Stage: m.GetStage(),
		Reason: reason, Detail: detail, Endpoint: a.Name,
	}
	a.links.Trouble(m.GetOpen().GetOwner(), trouble)
}

// start queues a step for the engine; a.mu is held.
func (a *Agent) start(s *session, m *wire.Step, id fence.Step) {
	s.fence = s.fence.WithStarted(id)
	s.moved = time.Now()
	a.queue = append(a.queue, work{session: s, id: id, step: m, priority: s.open.GetPriority(), came: s.moved})
	a.signal()
}

// gap tells the owner that an earlier position is missing; a.mu is held.
func (a *Agent) gap(s *session, m *wire.Step) {
	open := s.open
	if open == nil {
		open = m.GetOpen()
	}
	if open == nil {
		return
	}
	a.links.Trouble(open.GetOwner(), &wire.Trouble{
		Request: m.GetRequest(), Attempt: m.GetAttempt(), Stage: m.GetStage(),
		Reason: wire.Trouble_GAP, Detail: "an earlier position is missing", Endpoint: a.Name,
	})
}

// complete takes in what the engine made of a step.
func (a *Agent) complete(w work, output *wire.EngineOutput, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := w.session
	detail := output.GetError()
	if err != nil {
		detail = err.Error()
	}
	next, current := s.fence.WithDone(w.id)
	if !current && !a.Unfenced {
		return
	}
	if detail != "" {
		a.Log.Warn().Hex("request", s.request).Str("detail", detail).Msg("engine failed a step")
		a.links.Trouble(s.open.GetOwner(), s.trouble(a.Name, wire.Trouble_ENGINE, detail))
		a.bury(string(s.request), s, w.id.Attempt)
		return
	}
	s.fence = next
	s.output = output
	s.moved = time.Now()
	s.loads = a.loads(w)
	a.forward(s, w.id, w.step.GetOpen())
}

// loadEvery is the number of positions between two load reports along a chain.
const loadEvery = 16

// loads returns the reports to send along with the output of w: those that
// came with it and the agent's own; a.mu is held.
func (a *Agent) loads(w work) []*wire.Load {
	if w.id.Position%loadEvery != 0 {
		return nil
	}
	return append(w.step.GetLoads(), a.load())
}

// load returns the agent's report; a.mu is held.
func (a *Agent) load() *wire.Load {
	return &wire.Load{
		Endpoint: a.Name, Sessions: uint32(a.active + a.running), Limit: uint32(a.learned.Value()),
		StepMicros: uint32(a.stepTime.Microseconds()), Queue: uint32(len(a.queue)), Batch: uint32(a.batch()),
	}
}

// forward sends the output of step id on its way; a.mu is held. Open goes with
// the first step of an attempt only.
func (a *Agent) forward(s *session, id fence.Step, open *wire.Open) {
	if open == nil && id.Position == 0 {
		open = s.open
	}
	chain := s.open.GetChain()
	if !s.last() {
		a.links.Step(chain[s.next()].GetAddress(), &wire.Step{
			Request: s.request, Attempt: id.Attempt, Stage: uint32(s.next()), Position: id.Position,
			Count: id.Count, Payload: s.output.GetPayload(), Open: open, Loads: s.loads,
		})
		return
	}
	made := id.Position + id.Count
	end := s.output.GetEnd() || made+1 >= s.open.GetLimit()
	a.links.Token(s.open.GetOwner(), &wire.Token{
		Request: s.request, Attempt: id.Attempt, Position: made,
		Token: s.output.GetToken(), End: end, Loads: s.loads,
	})
	if end {
		return
	}
	a.links.Step(chain[0].GetAddress(), &wire.Step{
		Request: s.request, Attempt: id.Attempt, Position: made, Count: 1,
		Payload: binary.LittleEndian.AppendUint32(nil, s.output.GetToken()),
	})
}

// cancel bars attempts of a request.
func (a *Agent) cancel(c *wire.Cancel) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := string(c.GetRequest())
	s := a.sessions[key]
	if s == nil {
		s = &session{request: c.GetRequest()}
	}
	if c.GetAttempt() >= s.fence.Attempt {
		a.bury(key, s, c.GetAttempt())
	}
}

// bury bars attempts up to the one given and releases what the session holds;
// a.mu is held.
func (a *Agent) bury(key string, s *session, attempt uint32) {
	if s.open != nil {
		a.release(s)
		a.active--
		s.open = nil
	}
	s.output = nil
	s.fence = s.fence.WithCancelled(attempt)
	a.sessions[key] = s
	a.graves = append(a.graves, grave{key, attempt, time.Now()})
}

// release lets the engine drop the cache of the session's attempt; a.mu is held.
func (a *Agent) release(s *session) {
	a.releases = append(a.releases, &wire.Cancel{Request: s.request, Attempt: s.fence.Attempt})
}

// peerDown handles the end of the connection to a peer: attempts whose next
// stage it was are in trouble, and requests whose owner it was are cancelled.
func (a *Agent) peerDown(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.introduced, address)
	a.failed(address)
	for key, s := range a.sessions {
		if s.open == nil {
			continue
		}
		next := s.open.GetChain()[s.next()]
		if s.last() && s.open.GetOwner() == address {
			a.orphan(key, s)
			continue
		}
		if next.GetAddress() == address {
			t := s.trouble(next.GetEndpoint(), wire.Trouble_NEXT_LOST, "connection to the next stage broke")
			a.links.Trouble(s.open.GetOwner(), t)
		}
	}
}

// orphan cancels a request whose owner is gone, here and at the other stages;
// a.mu is held.
func (a *Agent) orphan(key string, s *session) {
	cancel := &wire.Cancel{Request: s.request, Attempt: s.fence.Attempt}
	for i, stage := range s.open.GetChain() {
		if i != s.stage {
			a.links.Cancel(stage.GetAddress(), cancel)
		}
	}
	a.bury(key, s, s.fence.Attempt)
}

// sweep forgets graves and sessions whose owner has been silent for long.
func (a *Agent) sweep(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.forget(now)
		}
	}
}

// forget does one round of sweep.
func (a *Agent) forget(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for n < len(a.graves) && now.Sub(a.graves[n].at) > graveKeep {
		g := a.graves[n]
		if s := a.sessions[g.request]; s != nil && s.open == nil && s.fence.Attempt == g.attempt {
			delete(a.sessions, g.request)
		}
		n++
	}
	a.graves = append(a.graves[:0], a.graves[n:]...)
	for key, s := range a.sessions {
		if s.open != nil && now.Sub(s.moved) > idleLimit {
			a.orphan(key, s)
		}
	}
}

// probe answers how far an attempt has come here.
func (a *Agent) probe(_ context.Context, p *wire.Probe) (*wire.ProbeReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.sessions[string(p.GetRequest())]
	if s == nil || s.open == nil || s.fence.Attempt != p.GetAttempt() {
		return &wire.ProbeReply{}, nil
	}
	return &wire.ProbeReply{Known: true, Next: s.fence.Next, Running: s.fence.Running}, nil
}
