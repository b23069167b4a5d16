package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/grademill/grademill/decide/rendezvous"
	"github.com/grademill/grademill/port/hosts"
	"github.com/grademill/grademill/role/agent"
	"github.com/grademill/grademill/wire"
)

// answerSync answers a peer what it has missed.
func (e *Entry) answerSync(_ context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	e.mu.Lock()
	if self := r.GetSelf(); self.GetAddress() != "" {
		e.revisions[self.GetName()] = r.GetRevision()
		e.peers.Heard(time.Now(), self)
	}
	entries := e.peers.Shared()
	e.mu.Unlock()
	reply, err := e.config.Since(r.GetRevision())
	if err == nil && r.GetEntriesHash() != agent.EntriesHash(entries) {
		reply.Entries = entries
	}
	return reply, err
}

// follow asks one peer after another for what was missed, so that everyone
// converges whoever watches the platform, and during its outages.
func (e *Entry) follow(ctx context.Context) {
	for {
		for _, address := range e.askNext() {
			e.ask(ctx, address)
		}
		pause := e.Sync/2 + rand.N(e.Sync)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// askNext returns the peers to ask this time: a watcher of the own hall or
// anyone, by chance. Until the configuration is known it is all peers known.
func (e *Entry) askNext() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var near, all []string
	for _, p := range e.peers.All() {
		if p.GetAddress() == e.Address {
			continue
		}
		all = append(all, p.GetAddress())
		if p.GetHall() == e.Hall {
			near = append(near, p.GetAddress())
		}
	}
	if len(all) == 0 {
		all = slices.DeleteFunc(slices.Clone(e.Peers), func(a string) bool { return a == e.Address })
	}
	if e.config.Revision() == 0 || len(all) <= 1 {
		return all
	}
	if watchers := rendezvous.Top(watchKey, near, e.Watchers); len(watchers) > 0 && rand.IntN(2) == 0 {
		all = watchers
	}
	return []string{all[rand.IntN(len(all))]}
}

// ask asks one peer for changes.
func (e *Entry) ask(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, e.Sync+time.Second)
	defer cancel()
	reply := new(wire.SyncReply)
	e.mu.Lock()
	request := &wire.SyncRequest{
		Self:     &wire.Peer{Name: e.Name, Address: e.Address, Hall: e.Hall},
		Revision: e.config.Revision(), EntriesHash: agent.EntriesHash(e.peers.All()),
	}
	e.mu.Unlock()
	if err := e.client.Call(ctx, address, "sync", request, reply); err != nil {
		e.Log.Debug().Err(err).Str("peer", address).Msg("peer gave no changes")
		return
	}
	e.mu.Lock()
	for _, p := range reply.GetEntries() {
		e.peers.Told(time.Now(), p)
	}
	e.mu.Unlock()
	if err := e.config.Take(reply); err != nil {
		e.Log.Error().Err(err).Str("peer", address).Msg("changes of a peer not taken")
	}
}

// watchKey ranks the entries of a hall for the duty to watch.
const watchKey = "watch"

// watches reports whether this entry is one of those that watch the platform.
func (e *Entry) watches() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	var near []string
	for _, p := range e.peers.All() {
		if p.GetHall() == e.Hall {
			near = append(near, p.GetAddress())
		}
	}
	return !slices.Contains(near, e.Address) ||
		slices.Contains(rendezvous.Top(watchKey, near, e.Watchers), e.Address)
}

// watch watches the platform while it is this entry's duty.
func (e *Entry) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if e.watches() {
			e.watchWhile(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(e.Sync):
		}
	}
}

// watchWhile watches until the duty is another's.
func (e *Entry) watchWhile(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && e.watches() {
			time.Sleep(e.Sync)
		}
		cancel()
	}()
	e.changes.Watch(ctx, func(err error) {
		e.Log.Warn().Err(err).Msg("platform gives no changes")
	})
}

// list reads the platform's list of hosts from time to time. What it last said
// stays in use while it does not answer.
func (e *Entry) list(ctx context.Context) {
	for {
		list, err := e.Hosts.Hosts(ctx)
		if err != nil {
			e.Log.Warn().Err(err).Msg("platform gives no list of hosts")
		} else {
			e.listed(list)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.ListEvery/2 + rand.N(e.ListEvery)):
		}
	}
}

// listed takes in the list of hosts.
func (e *Entry) listed(list []hosts.Host) {
	var peers []*wire.Peer
	leaving := make(map[string]bool)
	for _, h := range list {
		if h.Role == "entry" {
			peers = append(peers, &wire.Peer{Name: h.Name, Address: h.Address, Hall: h.Hall})
		}
		if h.Leaving {
			leaving[h.Address] = true
		}
	}
	e.mu.Lock()
	e.peers.Listed(time.Now(), peers)
	changed := e.view.Listed(leaving)
	e.mu.Unlock()
	if changed {
		e.rebuild()
	}
}
