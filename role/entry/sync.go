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

// answerSync answers a peer with the changes that it has missed.
func (e *Entry) answerSync(_ context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	e.mu.Lock()
	if self := r.GetSelf(); self.GetAddress() != "" {
		e.revisions[self.GetName()] = r.GetRevision()
		e.peers.RecordDirect(time.Now(), self)
	}
	entries := e.peers.Shared()
	e.mu.Unlock()
	reply, err := e.config.UpdatesSince(r.GetRevision())
	if err == nil && r.GetEntriesHash() != agent.EntriesHash(entries) {
		reply.Entries = entries
	}
	return reply, err
}

// syncPeers requests missed changes from one peer after another, so that all entries converge no
// matter which of them watch the platform, and also during its outages.
func (e *Entry) syncPeers(ctx context.Context) {
	for {
		for _, address := range e.syncTargets() {
			e.syncWith(ctx, address)
		}
		pause := e.Sync/2 + rand.N(e.Sync)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// syncTargets returns the peers to request changes from next: at random either a watcher of the own
// hall or any peer. Until the configuration is known, it returns all known peers.
func (e *Entry) syncTargets() []string {
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

// syncWith requests changes from one peer.
func (e *Entry) syncWith(ctx context.Context, address string) {
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
		e.Log.Debug().Err(err).Str("peer", address).Msg("peer sync failed")
		return
	}
	e.mu.Lock()
	for _, p := range reply.GetEntries() {
		e.peers.RecordReported(time.Now(), p)
	}
	e.mu.Unlock()
	if err := e.config.ApplyReply(reply); err != nil {
		e.Log.Error().Err(err).Str("peer", address).Msg("changes from peer not applied")
	}
}

// watchKey ranks the entries of a hall to select its watchers.
const watchKey = "watch"

// isWatcher reports whether this entry is one of those that watch the platform.
func (e *Entry) isWatcher() bool {
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

// watch watches the platform while this entry is a watcher.
func (e *Entry) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if e.isWatcher() {
			e.watchWhile(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(e.Sync):
		}
	}
}

// watchWhile watches until this entry is no longer a watcher.
func (e *Entry) watchWhile(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && e.isWatcher() {
			time.Sleep(e.Sync)
		}
		cancel()
	}()
	e.changes.Watch(ctx, func(err error) {
		e.Log.Warn().Err(err).Msg("platform watch failed")
	})
}

// list reads the platform's list of hosts periodically. The last list stays in use while the
// platform does not answer.
func (e *Entry) list(ctx context.Context) {
	for {
		list, err := e.Hosts.Hosts(ctx)
		if err != nil {
			e.Log.Warn().Err(err).Msg("list of hosts not read from platform")
		} else {
			e.recordHosts(list)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.HostListInterval/2 + rand.N(e.HostListInterval)):
		}
	}
}

// recordHosts handles a new list of hosts.
func (e *Entry) recordHosts(list []hosts.Host) {
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
	e.peers.ApplyHostList(time.Now(), peers)
	changed := e.view.ApplyHostList(leaving)
	e.mu.Unlock()
	if changed {
		e.rebuild()
	}
}
