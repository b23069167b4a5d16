package agent

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/grademill/grademill/decide/fence"
	"github.com/grademill/grademill/wire"
)

// session is the state of one request at this stage. If open is nil, the session is a tombstone
// that only records which attempts are barred.
type session struct {
	fence fence.Session
	open  *wire.Open
	stage int
	// request is the ID of the request in wire format.
	request []byte
	// output and loads are those of the last step, kept for replays.
	output       *wire.EngineOutput
	loads        []*wire.Load
	lastProgress time.Time
}

// tombstone records that an attempt has ended. It is removed after tombstoneTTL.
type tombstone struct {
	request string
	attempt uint32
	at      time.Time
}

// tombstoneTTL is how long the agent remembers that an attempt has ended. idleLimit is how long a
// session may make no progress before its owner is considered gone.
const (
	tombstoneTTL = time.Minute
	idleLimit    = 2 * time.Minute
)

func (s *session) trouble(endpoint string, reason wire.Trouble_Reason, detail string) *wire.Trouble {
	return &wire.Trouble{
		Request: s.request, Attempt: s.fence.Attempt, Stage: uint32(s.stage),
		Reason: reason, Detail: detail, Endpoint: endpoint,
	}
}

// next returns the index of the stage after s; after the last stage it returns 0.
func (s *session) next() int {
	return (s.stage + 1) % len(s.open.GetChain())
}

// last reports whether s is at the last stage of its chain.
func (s *session) last() bool {
	return s.stage == len(s.open.GetChain())-1
}

// handleFrame handles one frame from a peer.
func (a *Agent) handleFrame(batch *wire.Batch) {
	for _, c := range batch.GetCancels() {
		a.cancel(c)
	}
	for _, s := range batch.GetSteps() {
		a.step(s)
	}
	for _, n := range batch.GetNews() {
		a.handleUpdate(n)
	}
}

// step admits or refuses one step.
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

// restart handles the first step of an attempt; a.mu is held.
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

// refusal returns the reason for which a new attempt cannot be accepted, REASON_UNSPECIFIED if it
// can; a.mu is held.
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

// refuse bars the attempt permanently and notifies its owner; a.mu is held.
func (a *Agent) refuse(key string, s *session, m *wire.Step, reason wire.Trouble_Reason, detail string) {
	a.bar(key, s, m.GetAttempt())
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
	s.lastProgress = time.Now()
	a.queue = append(a.queue, work{session: s, id: id, step: m, priority: s.open.GetPriority(), queuedAt: s.lastProgress})
	a.signal()
}

// gap notifies the owner that an earlier position is missing; a.mu is held.
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

// complete handles the result of the engine for a step.
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
		a.bar(string(s.request), s, w.id.Attempt)
		return
	}
	s.fence = next
	s.output = output
	s.lastProgress = time.Now()
	s.loads = a.loads(w)
	a.forward(s, w.id, w.step.GetOpen())
}

// loadInterval is the number of positions between two load reports along a chain.
const loadInterval = 16

// loads returns the load reports to send with the output of w: those received with the step, and
// the agent's own; a.mu is held.
func (a *Agent) loads(w work) []*wire.Load {
	if w.id.Position%loadInterval != 0 {
		return nil
	}
	return append(w.step.GetLoads(), a.load())
}

// load returns the agent's own load report; a.mu is held.
func (a *Agent) load() *wire.Load {
	return &wire.Load{
		Endpoint: a.Name, Sessions: uint32(a.active + a.running), Limit: uint32(a.learned.Value()),
		StepMicros: uint32(a.stepTime.Microseconds()), Queue: uint32(len(a.queue)), Batch: uint32(a.batch()),
	}
}

// forward sends the output of step id to the next stage, or at the last stage to the owner and the
// first stage; a.mu is held. Open is sent only with the first step of an attempt.
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
	produced := id.Position + id.Count
	end := s.output.GetEnd() || produced+1 >= s.open.GetLimit()
	a.links.Token(s.open.GetOwner(), &wire.Token{
		Request: s.request, Attempt: id.Attempt, Position: produced,
		Token: s.output.GetToken(), End: end, Loads: s.loads,
	})
	if end {
		return
	}
	a.links.Step(chain[0].GetAddress(), &wire.Step{
		Request: s.request, Attempt: id.Attempt, Position: produced, Count: 1,
		Payload: binary.LittleEndian.AppendUint32(nil, s.output.GetToken()),
	})
}

// cancel bars the attempts of a request up to the given one.
func (a *Agent) cancel(c *wire.Cancel) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := string(c.GetRequest())
	s := a.sessions[key]
	if s == nil {
		s = &session{request: c.GetRequest()}
	}
	if c.GetAttempt() >= s.fence.Attempt {
		a.bar(key, s, c.GetAttempt())
	}
}

// bar bars attempts up to the given one and releases what the session holds; a.mu is held.
func (a *Agent) bar(key string, s *session, attempt uint32) {
	if s.open != nil {
		a.release(s)
		a.active--
		s.open = nil
	}
	s.output = nil
	s.fence = s.fence.WithCancelled(attempt)
	a.sessions[key] = s
	a.tombstones = append(a.tombstones, tombstone{key, attempt, time.Now()})
}

// release queues the release of the engine's cache for the session's attempt; a.mu is held.
func (a *Agent) release(s *session) {
	a.releases = append(a.releases, &wire.Cancel{Request: s.request, Attempt: s.fence.Attempt})
}

// peerDown handles the end of the connection to a peer. It notifies the owners of attempts whose
// next stage was the peer, and cancels requests whose owner was the peer.
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
			a.cancelOrphan(key, s)
			continue
		}
		if next.GetAddress() == address {
			t := s.trouble(next.GetEndpoint(), wire.Trouble_NEXT_LOST, "connection to the next stage broke")
			a.links.Trouble(s.open.GetOwner(), t)
		}
	}
}

// cancelOrphan cancels a request whose owner is gone, at this stage and at all others; a.mu is
// held.
func (a *Agent) cancelOrphan(key string, s *session) {
	cancel := &wire.Cancel{Request: s.request, Attempt: s.fence.Attempt}
	for i, stage := range s.open.GetChain() {
		if i != s.stage {
			a.links.Cancel(stage.GetAddress(), cancel)
		}
	}
	a.bar(key, s, s.fence.Attempt)
}

// sweep removes expired tombstones and idle sessions until ctx ends.
func (a *Agent) sweep(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.expire(now)
		}
	}
}

// expire does one round of sweep.
func (a *Agent) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for n < len(a.tombstones) && now.Sub(a.tombstones[n].at) > tombstoneTTL {
		g := a.tombstones[n]
		if s := a.sessions[g.request]; s != nil && s.open == nil && s.fence.Attempt == g.attempt {
			delete(a.sessions, g.request)
		}
		n++
	}
	a.tombstones = append(a.tombstones[:0], a.tombstones[n:]...)
	for key, s := range a.sessions {
		if s.open != nil && now.Sub(s.lastProgress) > idleLimit {
			a.cancelOrphan(key, s)
		}
	}
}

// probe reports the progress of an attempt at this stage.
func (a *Agent) probe(_ context.Context, p *wire.Probe) (*wire.ProbeReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.sessions[string(p.GetRequest())]
	if s == nil || s.open == nil || s.fence.Attempt != p.GetAttempt() {
		return &wire.ProbeReply{}, nil
	}
	return &wire.ProbeReply{Known: true, Next: s.fence.Next, Running: s.fence.Running}, nil
}
