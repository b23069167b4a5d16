package agent

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/decide/backoff"
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
		Endpoint: a.Name, Address: a.Address, Hall: a.Hall, Service: a.Service, Leaving: a.announced.Load(),
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

// redial spaces out the connections to an entry that does not answer. The first
// wait is about a heartbeat of the examples, the last one a few expiries.
var redial = backoff.Backoff{Base: 500 * time.Millisecond, Max: 10 * time.Second}

// failure is how a connection to an entry failed.
type failure struct {
	// count is the number of failures without a calm time between them.
	count int
	// until is when the entry is tried again.
	until time.Time
}

// subset returns the entries to report to now: those of highest weight for this
// agent among the list that an entry has sent. The addresses of the settings
// are used until there is a list, and again while all of the subset fail: a list
// may name only entries that have died since. Entries that failed wait their
// turn. a.mu is held.
func (a *Agent) subset() []string {
	now := time.Now()
	chosen := slices.Clone(a.Entries)
	if len(a.entries) > 0 {
		addresses := make([]string, len(a.entries))
		for i, e := range a.entries {
			addresses[i] = e.GetAddress()
		}
		chosen = rendezvous.Top(a.Name, addresses, a.Subset)
		if !slices.ContainsFunc(chosen, func(address string) bool { return a.failures[address].count == 0 }) {
			chosen = append(chosen, a.Entries...)
		}
	}
	slices.Sort(chosen)
	return slices.DeleteFunc(slices.Compact(chosen), func(address string) bool {
		return now.Before(a.failures[address].until)
	})
}

// failed notes that the connection to an entry broke; a.mu is held.
func (a *Agent) failed(address string) {
	now := time.Now()
	maps.DeleteFunc(a.failures, func(_ string, f failure) bool { return now.Sub(f.until) > redial.Max })
	f := a.failures[address]
	f.count++
	f.until = now.Add(redial.Delay(f.count, rand.Float64()))
	a.failures[address] = f
}

// hear takes in news from an entry.
func (a *Agent) hear(news *wire.News) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fence = a.fence.WithTerm(news.GetTerm())
	if len(news.GetEntries()) > 0 {
		clear(a.failures)
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
