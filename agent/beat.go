package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/grademill/grademill/rendezvous"
	"github.com/grademill/grademill/wire"
)

// beat reports to the entries until ctx ends.
func (a *Agent) beat(ctx context.Context) {
	ticker := time.NewTicker(a.Heartbeat)
	defer ticker.Stop()
	for {
		a.report(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reportTimeout bounds one report.
const reportTimeout = 2 * time.Second

// report sends one heartbeat to each entry of the subset, all at once.
func (a *Agent) report(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	beat := a.heartbeat()
	var group sync.WaitGroup
	for _, address := range a.subset() {
		group.Go(func() {
			reply := new(wire.HeartbeatReply)
			if err := a.client.Call(ctx, address, "heartbeat", beat, reply); err != nil {
				a.Log.Debug().Err(err).Str("entry", address).Msg("heartbeat failed")
				return
			}
			a.answered(reply)
		})
	}
	group.Wait()
}

// heartbeat returns the report of this moment.
func (a *Agent) heartbeat() *wire.Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	beat := &wire.Heartbeat{
		Endpoint: a.Name, Address: a.Address, Hall: a.Hall, Incarnation: a.incarnation,
		Service: a.Service, Leaving: a.leaving.Load(), Load: a.load(), Revision: a.config.Revision(),
		EntriesHash: EntriesHash(a.entries), Term: a.fence.Term,
		Epoch: a.calls.Now(time.Now()),
	}
	if a.Engine != nil {
		beat.Service = a.status.Service
		beat.First, beat.End = uint32(a.status.Layers.First), uint32(a.status.Layers.End)
	}
	if a.loading {
		beat.Service, beat.First, beat.End = "", 0, 0
	}
	return beat
}

// subset returns the entries to report to: those of highest weight for this
// agent, and the ones to begin with until an entry has sent the list.
func (a *Agent) subset() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.entries) == 0 {
		return a.Entries
	}
	addresses := make([]string, len(a.entries))
	for i, e := range a.entries {
		addresses[i] = e.GetAddress()
	}
	return rendezvous.Top(a.Name, addresses, a.Subset)
}

// answered takes in the reply to a heartbeat.
func (a *Agent) answered(reply *wire.HeartbeatReply) {
	if sync := reply.GetSync(); sync != nil {
		if err := a.config.Take(sync); err != nil {
			a.Log.Warn().Err(err).Msg("configuration of an entry not taken")
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fence = a.fence.WithTerm(reply.GetTerm())
	if len(reply.GetEntries()) > 0 {
		a.entries = reply.GetEntries()
	}
}

// EntriesHash returns a hash of a list of entries, 0 for the empty list.
func EntriesHash(entries []*wire.Peer) uint64 {
	var sum uint64
	for _, e := range entries {
		sum ^= xxhash.Sum64String(e.GetAddress())
	}
	return sum
}
