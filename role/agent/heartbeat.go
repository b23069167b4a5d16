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

// sendHeartbeats sends heartbeats to the entries until ctx ends.
func (a *Agent) sendHeartbeats(ctx context.Context) {
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

// introductionInterval is the number of heartbeats after which the agent repeats its introduction,
// for entries that have forgotten it while it was silent.
const introductionInterval = 8

// report sends one heartbeat to each entry of the subset.
func (a *Agent) report() {
	a.mu.Lock()
	defer a.mu.Unlock()
	self := a.introduction()
	a.heartbeats++
	for _, address := range a.subset() {
		beat := a.heartbeat()
		if a.heartbeats%introductionInterval == 0 || !proto.Equal(a.introduced[address], self) {
			beat.Self = self
			a.introduced[address] = self
		}
		a.links.Heartbeat(address, beat)
	}
}

// introduction returns the description of the endpoint, which seldom changes; a.mu is held.
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

// heartbeat returns the current report; a.mu is held.
func (a *Agent) heartbeat() *wire.Heartbeat {
	load := a.load()
	load.Endpoint = "" // implied by the incarnation
	return &wire.Heartbeat{
		Incarnation: a.incarnation, Load: load, EntriesHash: a.entriesHash,
		Epoch: a.calls.Now(time.Now()), Term: a.fence.Term,
	}
}

// redial is the backoff between connections to an entry that does not answer. The first delay is
// about one heartbeat interval of the example settings, the last a few times the expiry of an
// endpoint.
var redial = backoff.Backoff{Base: 500 * time.Millisecond, Max: 10 * time.Second}

// failure holds the failed connections to an entry.
type failure struct {
	// count is the number of failures without a quiet period in between.
	count int
	// until is when the next attempt is due.
	until time.Time
}

// subset returns the addresses of the entries that receive the next heartbeat: those with the
// highest rendezvous weight for this agent on the list that an entry has sent. It uses the
// addresses of the settings until there is a list, and adds them while the whole subset fails: the
// entries on a list may all have ended since. Entries in their backoff period are left out. a.mu is
// held.
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

// failed records that the connection to an entry broke; a.mu is held.
func (a *Agent) failed(address string) {
	now := time.Now()
	maps.DeleteFunc(a.failures, func(_ string, f failure) bool { return now.Sub(f.until) > redial.Max })
	f := a.failures[address]
	f.count++
	f.until = now.Add(redial.Delay(f.count, rand.Float64()))
	a.failures[address] = f
}

// handleUpdate handles an update from an entry.
func (a *Agent) handleUpdate(update *wire.News) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fence = a.fence.WithTerm(update.GetTerm())
	if len(update.GetEntries()) > 0 {
		clear(a.failures)
		a.entries = update.GetEntries()
		a.entriesHash = EntriesHash(a.entries)
	}
}

// EntriesHash returns a hash of a list of entries that does not depend on their order, 0 for the
// empty list.
func EntriesHash(entries []*wire.Peer) uint64 {
	var sum uint64
	for _, e := range entries {
		sum ^= xxhash.Sum64String(e.GetAddress())
	}
	return sum
}
