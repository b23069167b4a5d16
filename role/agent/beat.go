package agent

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/decide/rendezvous"
	"github.com/grademill/grademill/wire"
)

// beat reports to the entries until ctx ends.
func (a *Agent) beat(ctx context.Context) {
	ticker := time.NewTicker(a.Heartbeat)
	defer ticker.Stop()
	for {
		a.report()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// introduceEvery is the number of heartbeats after which the agent introduces
// itself again, to entries that have forgotten it while it was silent.
const introduceEvery = 8

// report sends one heartbeat to each entry of the subset.
func (a *Agent) report() {
	a.mu.Lock()
	defer a.mu.Unlock()
	self := a.introduction()
	a.beats++
	for _, address := range a.subset() {
		beat := a.heartbeat()
		if a.beats%introduceEvery == 0 || !proto.Equal(a.introduced[address], self) {
			beat.Self = self
			a.introduced[address] = self
		}
		a.links.Heartbeat(address, beat)
	}
}

// introduction returns what seldom changes; a.mu is held.
func (a *Agent) introduction() *wire.Introduction {
	self := &wire.Introduction{
		Endpoint: a.Name, Address: a.Address, Hall: a.Hall, Service: a.Service, Leaving: a.leaving.Load(),
	}
	if a.Engine != nil && !a.loading {
		self.Service = a.status.Service
		self.First, self.End = uint32(a.status.Layers.First), uint32(a.status.Layers.End)
	}
	return self
}

// heartbeat returns the report of this moment; a.mu is held.
func (a *Agent) heartbeat() *wire.Heartbeat {
	load := a.load()
	load.Endpoint = "" // the incarnation tells
	return &wire.Heartbeat{
		Incarnation: a.incarnation, Load: load, EntriesHash: a.entriesHash,
		Epoch: a.calls.Now(time.Now()), Term: a.fence.Term,
	}
}

// subset returns the entries to report to: those of highest weight for this
// agent, and the ones to begin with until an entry has sent the list; a.mu is
// held.
func (a *Agent) subset() []string {
	if len(a.entries) == 0 {
		return a.Entries
	}
	addresses := make([]string, len(a.entries))
	for i, e := range a.entries {
		addresses[i] = e.GetAddress()
	}
	return rendezvous.Top(a.Name, addresses, a.Subset)
}

// hear takes in news from an entry.
func (a *Agent) hear(news *wire.News) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fence = a.fence.WithTerm(news.GetTerm())
	if len(news.GetEntries()) > 0 {
		a.entries = news.GetEntries()
		a.entriesHash = EntriesHash(a.entries)
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
