package entry

import (
	"context"
	"maps"
	"time"

	"github.com/grademill/grademill/agent"
	"github.com/grademill/grademill/fleet"
	"github.com/grademill/grademill/layer"
	"github.com/grademill/grademill/route"
	"github.com/grademill/grademill/view"
	"github.com/grademill/grademill/wire"
)

// heartbeat takes in the report of an agent and answers what it has missed.
func (e *Entry) heartbeat(_ context.Context, beat *wire.Heartbeat) (*wire.HeartbeatReply, error) {
	load := beat.GetLoad()
	endpoint := fleet.Endpoint{
		Name: beat.GetEndpoint(), Address: beat.GetAddress(), Hall: beat.GetHall(),
		Incarnation: beat.GetIncarnation(), Epoch: beat.GetEpoch(), Service: beat.GetService(),
		Layers:   layer.Range{First: int(beat.GetFirst()), End: int(beat.GetEnd())},
		Leaving:  beat.GetLeaving(),
		StepTime: time.Duration(load.GetStepMicros()) * time.Microsecond,
		Sessions: int(load.GetSessions()), Limit: int(load.GetLimit()), Batch: int(load.GetBatch()),
		Seen: time.Now(),
	}
	e.mu.Lock()
	changed := e.view.Heard(endpoint, beat.GetRevision())
	peers := e.peers.Shared()
	e.mu.Unlock()
	if changed {
		e.Log.Info().Str("endpoint", endpoint.Name).Str("service", endpoint.Service).
			Stringer("layers", endpoint.Layers).Bool("leaving", endpoint.Leaving).Msg("endpoint changed")
		e.rebuild()
	}
	e.raiseTerm(beat.GetTerm())
	sync, err := e.config.Since(beat.GetRevision())
	if err != nil {
		return nil, err
	}
	reply := &wire.HeartbeatReply{Sync: sync, Term: e.term.Load()}
	if beat.GetEntriesHash() != agent.EntriesHash(peers) {
		reply.Entries = peers
	}
	return reply, nil
}

// raiseTerm notes the highest term heard of.
func (e *Entry) raiseTerm(term uint64) {
	for {
		have := e.term.Load()
		if term <= have || e.term.CompareAndSwap(have, term) {
			return
		}
	}
}

// rebuild publishes a new snapshot of the view, and admits what it makes room
// for.
func (e *Entry) rebuild() {
	e.mu.Lock()
	snapshot := e.view.Snapshot(e.config.Current().State.Services)
	e.snapshot.Store(snapshot)
	e.mu.Unlock()
	e.Meter.Endpoints(len(snapshot.All))
	e.gate.Poke()
}

// loaded takes in load reports that came with an answer.
func (e *Entry) loaded(loads ...*wire.Load) {
	if len(loads) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range loads {
		e.view.Loaded(l.GetEndpoint(), route.Report{
			Sessions: int(l.GetSessions()), Limit: int(l.GetLimit()), Batch: int(l.GetBatch()),
			Step: time.Duration(l.GetStepMicros()) * time.Microsecond,
		})
	}
}

// suspect keeps new work from an endpoint until it is heard of again.
func (e *Entry) suspect(name, why string) {
	e.mu.Lock()
	changed := e.view.Suspect(name)
	e.mu.Unlock()
	if changed {
		e.Log.Warn().Str("endpoint", name).Str("why", why).Msg("endpoint is suspect")
		e.rebuild()
	}
}

// peerDown handles the end of the connection to an agent.
func (e *Entry) peerDown(address string) {
	e.mu.Lock()
	changed := e.view.SuspectAddress(address)
	e.mu.Unlock()
	if changed {
		e.Log.Warn().Str("address", address).Msg("agent is suspect: connection broke")
		e.rebuild()
	}
	for _, f := range e.allFlights() {
		f.push(event{down: address})
	}
}

// tendEvery is how often the view is tended.
const tendEvery = 50 * time.Millisecond

// tend forgets silent endpoints, follows changes of the configuration, and
// admits what reports have made room for.
func (e *Entry) tend(ctx context.Context) {
	ticker := time.NewTicker(tendEvery)
	defer ticker.Stop()
	changed := e.config.Changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			changed = e.config.Changed()
			revision := e.config.Revision()
			e.Meter.Revision(revision)
			e.Log.Info().Uint64("revision", revision).Msg("configuration is in force")
			e.rebuild()
		case now := <-ticker.C:
			e.expire(now)
			e.gate.Poke()
		}
	}
}

// expire forgets endpoints that have been silent for too long.
func (e *Entry) expire(now time.Time) {
	e.mu.Lock()
	changed := e.view.Expire(now)
	e.peers.Expire(now)
	e.mu.Unlock()
	if changed {
		e.rebuild()
	}
}

// Snapshot returns the view in force.
func (e *Entry) Snapshot() *view.Snapshot {
	return e.snapshot.Load()
}

// Revisions returns the configuration in force at each process heard of.
func (e *Entry) Revisions() map[string]uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	revisions := e.view.Revisions()
	maps.Copy(revisions, e.revisions)
	revisions[e.Name] = e.config.Revision()
	return revisions
}
