// Package announcer publishes the address of a gateway in the store and learns the addresses of the
// other gateways from there.
//
// Run an [Announcer] per gateway, and pass it each change of the store with Put and Removed.
package announcer

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/state/peers"
	"github.com/grademill/grademill/wire/gossip"
)

// Intervals and limits.
const (
	// checkInterval is the time between two checks of the announcements, and so between two
	// attempts of a failing call.
	checkInterval = 2 * time.Second
	// maxRestoreDelay bounds the random delay before a gateway restores its removed announcement:
	// those of a whole hall may be removed together.
	maxRestoreDelay = time.Second
	// readyInterval is the time between two checks whether a starting gateway has read the store.
	readyInterval = 20 * time.Millisecond
	// pruneAfter is how long a gateway must have been silent before its announcement is removed. A
	// gateway that has only been cut off from the others announces itself again.
	pruneAfter = 30 * time.Second
	// maxRemoved is the number of keys that the store accepts in one call.
	maxRemoved = 32
)

// prefix, followed by the name of a gateway, is the key of its announcement.
const prefix = "grademill/gateways/"

// Store holds the announcements.
type Store interface {
	// Put writes if the condition holds, and returns the new revision.
	Put(ctx context.Context, w kv.Write) (uint64, error)
	// Remove removes pairs if all are still at their revisions, otherwise none.
	Remove(ctx context.Context, pairs []kv.Pair) error
}

// Announcer announces one gateway and removes the announcements of others that have ended.
// Announcements have no lease: each renewal would be a call, and digests show which gateways have
// ended. Set the exported fields before Run.
type Announcer struct {
	// Self is the announced gateway.
	Self  overlay.Member
	Store Store
	// Peers receives the announced gateways.
	Peers *peers.Table
	// Overlay returns the current fleet.
	Overlay func() overlay.Overlay
	// Ready is set once the store has been read, Ending once the gateway is about to stop.
	Ready, Ending *atomic.Bool
	Log           zerolog.Logger

	mu sync.Mutex // guards the fields below
	// removed wakes Run when the gateway's own announcement has been removed; nil before Run.
	removed chan struct{}
	// known holds the announcements in the store, without their values.
	known map[string]kv.Pair
	// written is the content of the gateway's own announcement in the store, nil for none.
	written *gossip.Announcement
}

// Run keeps the gateway announced until ctx ends or Ending is set, then removes its announcement.
func (a *Announcer) Run(ctx context.Context) {
	gone := a.init()
	for !a.Ready.Load() && ctx.Err() == nil {
		pause.For(ctx, readyInterval)
	}
	for ctx.Err() == nil && !a.Ending.Load() {
		a.announce(ctx)
		a.prune(ctx, time.Now())
		a.waitForCheck(ctx, gone)
	}
	if own, _ := a.own(); own.Revision != 0 {
		if err := a.Store.Remove(context.WithoutCancel(ctx), []kv.Pair{own}); err != nil {
			a.Log.Info().Err(err).Msg("announcement not removed, left for other gateways to remove")
		}
	}
}

// init returns the channel that wakes Run when the gateway's own announcement has been removed.
func (a *Announcer) init() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removed = make(chan struct{}, 1)
	return a.removed
}

// waitForCheck waits until the next check. After the removal of the gateway's own announcement it
// waits for at most maxRestoreDelay.
func (a *Announcer) waitForCheck(ctx context.Context, gone <-chan struct{}) {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-gone:
		pause.For(ctx, time.Duration(rand.Float64()*float64(maxRestoreDelay)))
	}
}

// announce writes the gateway's own announcement unless the store has it already, for example from
// a former incarnation.
func (a *Announcer) announce(ctx context.Context) {
	own, written := a.own()
	text := &gossip.Announcement{Address: a.Self.Address, Hall: a.Self.Hall, LinkMegabits: a.Self.LinkMegabits}
	if written != nil && proto.Equal(written, text) {
		return
	}
	value, err := proto.Marshal(text)
	if err != nil {
		a.Log.Error().Err(err).Msg("announcement not encoded")
		return
	}
	revision, err := a.Store.Put(ctx, kv.Write{Key: a.key(), Value: value, If: own.Revision})
	if err != nil {
		a.Log.Info().Err(err).Uint64("former_revision", own.Revision).Msg("this gateway is not announced")
		return
	}
	a.note(kv.Pair{Key: a.key(), Revision: revision}, text)
}

// prune removes the announcements of gateways that have ended, if this gateway is responsible for
// that.
func (a *Announcer) prune(ctx context.Context, now time.Time) {
	silent := a.Peers.Silent(now, pruneAfter)
	if len(silent) == 0 || 2*a.Peers.CountDirect() < len(silent) {
		return // a gateway that hears few of the others is itself cut off
	}
	o := a.Overlay()
	var ended []kv.Pair
	var names []string
	a.mu.Lock()
	for key, m := range silent {
		if pair, there := a.known[key]; there && m.Name != a.Self.Name && o.CleansUpAfter(m) && len(ended) < maxRemoved {
			ended, names = append(ended, pair), append(names, m.Name)
		}
	}
	a.mu.Unlock()
	if len(ended) == 0 {
		return
	}
	err := a.Store.Remove(ctx, ended)
	a.Log.Info().Strs("gateways", names).Int("silent", len(silent)).Int("heard", a.Peers.CountDirect()).AnErr("error", err).
		Msg("announcements of gateways that have ended are removed")
}

// key returns the key of the gateway's own announcement.
func (a *Announcer) key() string {
	return prefix + a.Self.Name
}

// Put handles a pair of the store, and reports whether it is the announcement of a gateway.
func (a *Announcer) Put(p kv.Pair) bool {
	rest, ok := strings.CutPrefix(p.Key, prefix)
	if !ok {
		return false
	}
	var text gossip.Announcement
	if err := proto.Unmarshal(p.Value, &text); err != nil {
		a.Log.Warn().Err(err).Str("key", p.Key).Msg("announcement not decoded")
		return true
	}
	name, _, _ := strings.Cut(rest, "/")
	a.note(kv.Pair{Key: p.Key, Revision: p.Revision}, &text)
	a.Peers.Announce(p.Key, overlay.Member{
		Name: name, Address: text.GetAddress(), Hall: text.GetHall(), LinkMegabits: text.GetLinkMegabits(),
	}, time.Now())
	return true
}

// Removed handles the removal of a key at a revision, and reports whether it was the announcement
// of a gateway.
func (a *Announcer) Removed(key string, revision uint64) bool {
	if !strings.HasPrefix(key, prefix) {
		return false
	}
	if a.forget(key, revision) {
		a.Peers.Withdraw(key)
	}
	return true
}

// Known returns the number of gateways that are announced in the store.
func (a *Announcer) Known() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.known)
}

// own returns the gateway's own announcement in the store: its pair and content, or the zero pair
// and nil if there is none.
func (a *Announcer) own() (kv.Pair, *gossip.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known[a.key()], a.written
}

// note records an announcement in the store, unless a newer one is known.
func (a *Announcer) note(p kv.Pair, text *gossip.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known == nil {
		a.known = make(map[string]kv.Pair)
	}
	if p.Revision <= a.known[p.Key].Revision {
		return
	}
	a.known[p.Key] = p
	if p.Key == a.key() {
		a.written = text
	}
}

// forget records that an announcement was removed at a revision. It reports false if the
// announcement has been written again since.
func (a *Announcer) forget(key string, revision uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision <= a.known[key].Revision {
		return false
	}
	delete(a.known, key)
	if key != a.key() {
		return true
	}
	a.written = nil
	select {
	case a.removed <- struct{}{}:
	default: // Run has not started, or has not handled the last removal yet
	}
	return true
}
