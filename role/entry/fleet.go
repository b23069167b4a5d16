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

// heartbeat handles the heartbeat of an agent, and sends the agent any updates that it has missed.
func (e *Entry) heartbeat(beat *wire.Heartbeat) {
	now := time.Now()
	e.mu.Lock()
	changed := false
	if self := beat.GetSelf(); self != nil {
		changed = e.view.RecordIntroduction(fleet.Endpoint{
			Name: self.GetEndpoint(), Address: self.GetAddress(), Hall: self.GetHall(),
			Incarnation: beat.GetIncarnation(), Service: self.GetService(),
			Layers:  layer.Range{First: int(self.GetFirst()), End: int(self.GetEnd())},
			Leaving: self.GetLeaving(), Seen: now,
		})
	}
	endpoint, woke, ok := e.view.RecordHeartbeat(now, beat.GetIncarnation(), beat.GetEpoch(), reportOf(beat.GetLoad()))
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
	e.sendUpdate(endpoint, beat, entries)
}

// sendUpdate sends an agent the updates that it has missed, if any.
func (e *Entry) sendUpdate(to fleet.Endpoint, beat *wire.Heartbeat, entries []*wire.Peer) {
	update := &wire.News{Term: e.term.Load()}
	if beat.GetEntriesHash() != agent.EntriesHash(entries) {
		update.Entries = entries
	}
	if len(update.GetEntries()) > 0 || update.GetTerm() > beat.GetTerm() {
		e.links.News(to.Address, update)
	}
}

// reportOf converts a load report for the view.
func reportOf(l *wire.Load) route.Report {
	return route.Report{
		Sessions: int(l.GetSessions()), Limit: int(l.GetLimit()), Batch: int(l.GetBatch()),
		Step: time.Duration(l.GetStepMicros()) * time.Microsecond,
	}
}

// raiseTerm records the highest term seen.
func (e *Entry) raiseTerm(term uint64) {
	for {
		have := e.term.Load()
		if term <= have || e.term.CompareAndSwap(have, term) {
			return
		}
	}
}

// rebuild publishes a new snapshot of the view, and admits the requests for which it has room.
func (e *Entry) rebuild() {
	e.mu.Lock()
	snapshot := e.view.Snapshot(e.config.Current().State.Services)
	e.snapshot.Store(snapshot)
	e.mu.Unlock()
	e.Meter.Endpoints(len(snapshot.All))
	e.gate.AdmitWaiting()
}

// recordLoads handles the load reports that came with an answer.
func (e *Entry) recordLoads(loads ...*wire.Load) {
	if len(loads) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range loads {
		e.view.RecordLoad(l.GetEndpoint(), reportOf(l))
	}
}

// suspect keeps new work from an endpoint until its next heartbeat.
func (e *Entry) suspect(name, why string) {
	e.mu.Lock()
	changed := e.view.MarkSuspect(name)
	e.mu.Unlock()
	if changed {
		e.Log.Warn().Str("endpoint", name).Str("why", why).Msg("endpoint is suspect")
		e.rebuild()
	}
}

// peerDown handles the end of the connection to an agent.
func (e *Entry) peerDown(address string) {
	e.mu.Lock()
	changed := e.view.MarkAddressSuspect(address)
	e.mu.Unlock()
	if changed {
		e.Log.Warn().Str("address", address).Msg("connection to agent broke; agent is suspect")
		e.rebuild()
	}
	for _, f := range e.allFlights() {
		f.push(event{down: address})
	}
}

// maintainInterval is the interval of the maintenance of the view.
const maintainInterval = 50 * time.Millisecond

// maintain removes silent endpoints, applies changes of the configuration, and admits requests for
// which load reports have shown room.
func (e *Entry) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
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
			e.gate.AdmitWaiting()
		}
	}
}

// expire removes endpoints that have been silent for too long, and cancels the calls that wait for
// them.
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

// waitFor returns a context that also ends when an endpoint has been silent for too long, and a
// function to call after the wait.
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

// Snapshot returns the current snapshot of the view.
func (e *Entry) Snapshot() *view.Snapshot {
	return e.snapshot.Load()
}

// Revisions returns the revision of the configuration in force at each known entry.
func (e *Entry) Revisions() map[string]uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	revisions := maps.Clone(e.revisions)
	revisions[e.Name] = e.config.Revision()
	return revisions
}
