package entry

import (
	"context"
	"maps"
	"time"

	"github.com/google/uuid"

	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/route"
	"github.com/grademill/grademill/decide/view"
	"github.com/grademill/grademill/role/agent"
	"github.com/grademill/grademill/wire"
)

// heartbeat takes in the report of an agent, and answers when it has missed
// something.
func (e *Entry) heartbeat(beat *wire.Heartbeat) {
	now := time.Now()
	e.mu.Lock()
	changed := false
	if self := beat.GetSelf(); self != nil {
		changed = e.view.Introduced(fleet.Endpoint{
			Name: self.GetEndpoint(), Address: self.GetAddress(), Hall: self.GetHall(),
			Incarnation: beat.GetIncarnation(), Service: self.GetService(),
			Layers:  layer.Range{First: int(self.GetFirst()), End: int(self.GetEnd())},
			Leaving: self.GetLeaving(), Seen: now,
		})
	}
	endpoint, woke, ok := e.view.Heard(now, beat.GetIncarnation(), beat.GetEpoch(), reportOf(beat.GetLoad()))
	entries := e.peers.Shared()
	e.mu.Unlock()
	if !ok {
		return
	}
	if changed {
		e.Log.Info().Str("endpoint", endpoint.Name).Str("service", endpoint.Service).
			Stringer("layers", endpoint.Layers).Bool("leaving", endpoint.Leaving).Msg("endpoint changed")
	}
	if changed || woke {
		e.rebuild()
	}
	e.raiseTerm(beat.GetTerm())
	e.tell(endpoint, beat, entries)
}

// tell sends an agent what it has missed, and nothing when that is nothing.
func (e *Entry) tell(to fleet.Endpoint, beat *wire.Heartbeat, entries []*wire.Peer) {
	news := &wire.News{Term: e.term.Load()}
	if beat.GetEntriesHash() != agent.EntriesHash(entries) {
		news.Entries = entries
	}
	if len(news.GetEntries()) > 0 || news.GetTerm() > beat.GetTerm() {
		e.links.News(to.Address, news)
	}
}

// reportOf returns a load report as the view takes it.
func reportOf(l *wire.Load) route.Report {
	return route.Report{
		Sessions: int(l.GetSessions()), Limit: int(l.GetLimit()), Batch: int(l.GetBatch()),
		Step: time.Duration(l.GetStepMicros()) * time.Microsecond,
	}
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
		e.view.Loaded(l.GetEndpoint(), reportOf(l))
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

// expire forgets endpoints that have been silent for too long, and gives up the
// calls that wait for them.
func (e *Entry) expire(now time.Time) {
	e.mu.Lock()
	silent := e.view.Expire(now)
	e.peers.Expire(now)
	var waiting []context.CancelFunc
	for _, name := range silent {
		for _, cancel := range e.calls[name] {
			waiting = append(waiting, cancel)
		}
	}
	e.mu.Unlock()
	for _, cancel := range waiting {
		cancel()
	}
	for _, name := range silent {
		e.Log.Warn().Str("endpoint", name).Msg("endpoint has been silent for too long")
	}
	if len(silent) > 0 {
		e.rebuild()
	}
}

// waitFor returns a context that also ends when an endpoint has been silent for
// too long, and a function to be called after the wait.
func (e *Entry) waitFor(ctx context.Context, endpoint string, id uuid.UUID) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls[endpoint] == nil {
		e.calls[endpoint] = make(map[uuid.UUID]context.CancelFunc)
	}
	e.calls[endpoint][id] = cancel
	return ctx, func() {
		cancel()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.calls[endpoint], id)
		if len(e.calls[endpoint]) == 0 {
			delete(e.calls, endpoint)
		}
	}
}

// Snapshot returns the view in force.
func (e *Entry) Snapshot() *view.Snapshot {
	return e.snapshot.Load()
}

// Revisions returns the configuration in force at each entry heard of.
func (e *Entry) Revisions() map[string]uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	revisions := maps.Clone(e.revisions)
	revisions[e.Name] = e.config.Revision()
	return revisions
}
