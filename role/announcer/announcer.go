// Package announcer keeps a gateway's address in the store, and learns those of the
// others from there.
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

// The figures of being announced.
const (
	// lookEvery is the time between two looks whether something is to be done, and between two calls
	// while they fail.
	lookEvery = 2 * time.Second
	// goneSpread is how long at most a gateway whose announcement has gone waits: those of a whole hall
	// may go together.
	goneSpread = time.Second
	// readyEvery is how often a gateway that starts looks whether it has read the store.
	readyEvery = 20 * time.Millisecond
	// silentFor is how long a gateway must have been silent for its announcement to be removed. One that
	// has only been cut off from the others announces itself again.
	silentFor = 30 * time.Second
	// maxRemoved is the number of keys that the store takes in one call.
	maxRemoved = 32
)

// prefix and a name are the key of an announcement.
const prefix = "grademill/gateways/"

// Store is what an Announcer needs of the store.
type Store interface {
	// Put writes if the condition holds and returns the new revision.
	Put(ctx context.Context, w kv.Write) (uint64, error)
	// Remove removes pairs that are still at their revisions, all or none.
	Remove(ctx context.Context, pairs []kv.Pair) error
}

// Announcer announces one gateway, and removes the announcements of others that have ended. These have no
// lease: each renewal would be a call, and digests tell of an end. Set the exported fields before Run.
type Announcer struct {
	// Self is the gateway.
	Self  overlay.Member
	Store Store
	// Peers are told of the others.
	Peers *peers.Table
	// Overlay returns the fleet of the moment.
	Overlay func() overlay.Overlay
	// Ready is set once the store has been read, Ending once the gateway is about to
	// stop.
	Ready, Ending *atomic.Bool
	Log           zerolog.Logger

	mu sync.Mutex // guards what follows
	// gone wakes Run when the own announcement has gone, nil before Run.
	gone chan struct{}
	// known are the announcements in the store, without their values.
	known map[string]kv.Pair
	// written is what the own announcement says, nil for none.
	written *gossip.Announcement
}

// Run keeps the gateway announced until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	gone := a.init()
	for !a.Ready.Load() && ctx.Err() == nil {
		pause.For(ctx, readyEvery)
	}
	for ctx.Err() == nil && !a.Ending.Load() {
		a.announce(ctx)
		a.prune(ctx, time.Now())
		a.rest(ctx, gone)
	}
	if own, _ := a.own(); own.Revision != 0 {
		if err := a.Store.Remove(context.WithoutCancel(ctx), []kv.Pair{own}); err != nil {
			a.Log.Info().Err(err).Msg("the announcement of this gateway is left for others to remove")
		}
	}
}

// init returns what wakes Run when the own announcement has gone.
func (a *Announcer) init() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gone = make(chan struct{}, 1)
	return a.gone
}

// rest waits until the next look, which comes soon when the own announcement has gone.
func (a *Announcer) rest(ctx context.Context, gone <-chan struct{}) {
	timer := time.NewTimer(lookEvery)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-gone:
		pause.For(ctx, time.Duration(rand.Float64()*float64(goneSpread)))
	}
}

// announce writes the own announcement, unless the store holds it, from a former life too.
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

// prune removes the announcements of gateways that have ended, if that is for this one to do.
func (a *Announcer) prune(ctx context.Context, now time.Time) {
	silent := a.Peers.Silent(now, silentFor)
	if len(silent) == 0 || 2*a.Peers.Heard() < len(silent) {
		return // who hears few of the others is itself cut off
	}
	o := a.Overlay()
	var ended []kv.Pair
	var names []string
	a.mu.Lock()
	for key, m := range silent {
		if pair, there := a.known[key]; there && m.Name != a.Self.Name && o.Cleans(m) && len(ended) < maxRemoved {
			ended, names = append(ended, pair), append(names, m.Name)
		}
	}
	a.mu.Unlock()
	if len(ended) == 0 {
		return
	}
	err := a.Store.Remove(ctx, ended)
	a.Log.Info().Strs("gateways", names).Int("silent", len(silent)).Int("heard", a.Peers.Heard()).AnErr("error", err).
		Msg("announcements of gateways that have ended are removed")
}

// key is that of the own announcement.
func (a *Announcer) key() string {
	return prefix + a.Self.Name
}

// Put takes in a pair of the store, and reports whether it is the announcement of a
// gateway.
func (a *Announcer) Put(p kv.Pair) bool {
	rest, ok := strings.CutPrefix(p.Key, prefix)
	if !ok {
		return false
	}
	var text gossip.Announcement
	if err := proto.Unmarshal(p.Value, &text); err != nil {
		a.Log.Warn().Err(err).Str("key", p.Key).Msg("announcement of a gateway not understood")
		return true
	}
	name, _, _ := strings.Cut(rest, "/")
	a.note(kv.Pair{Key: p.Key, Revision: p.Revision}, &text)
	a.Peers.Announce(p.Key, overlay.Member{
		Name: name, Address: text.GetAddress(), Hall: text.GetHall(), LinkMegabits: text.GetLinkMegabits(),
	}, time.Now())
	return true
}

// Gone takes in that a key has gone at a revision, and reports whether it was the announcement of a
// gateway.
func (a *Announcer) Gone(key string, revision uint64) bool {
	if !strings.HasPrefix(key, prefix) {
		return false
	}
	if a.forget(key, revision) {
		a.Peers.Withdraw(key)
	}
	return true
}

// Known returns the number of gateways that the store names.
func (a *Announcer) Known() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.known)
}

// own returns the own announcement in the store, the zero pair and nil for none.
func (a *Announcer) own() (kv.Pair, *gossip.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known[a.key()], a.written
}

// note notes an announcement in the store.
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

// forget notes that an announcement has gone at a revision, and reports whether it has not been written
// again since.
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
	case a.gone <- struct{}{}:
	default: // before Run, or Run has yet to take the last one in
	}
	return true
}
