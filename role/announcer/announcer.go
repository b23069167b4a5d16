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

	"github.com/gravitational/trace"
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
	// leaseTime is how long a gateway stays announced without renewal, and renewEvery the time
	// between two renewals. Digests tell of a death within seconds; the lease only has to tell
	// those that have ended from those that are cut off, and each renewal is a call.
	leaseTime  = 30 * time.Second
	renewEvery = 10 * time.Second
	// lookEvery is the time between two looks whether something is to be done, and between two calls
	// while they fail.
	lookEvery = 2 * time.Second
	// lapseSpread is how long at most a gateway whose announcement has gone waits: leases of a whole
	// fleet lapse together.
	lapseSpread = time.Second
	// readyEvery is how often a gateway that starts looks whether it has read the store.
	readyEvery = 20 * time.Millisecond
)

// prefix and a name are the key of an announcement.
const prefix = "grademill/gateways/"

// Store is what an Announcer needs of the store.
type Store interface {
	// Grant makes a lease that lapses unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// KeepAlive renews a lease, or returns a kv.NotFoundError when it lapsed.
	KeepAlive(ctx context.Context, lease string) error
	// Put writes if the condition holds and returns the new revision.
	Put(ctx context.Context, w kv.Write) (uint64, error)
	// Revoke ends a lease; its keys go with it.
	Revoke(ctx context.Context, lease string) error
}

// Announcer announces one gateway. Set the exported fields before Run.
type Announcer struct {
	// Self is the gateway.
	Self  overlay.Member
	Store Store
	// Peers are told of the others.
	Peers *peers.Table
	// Ready is set once the store has been read, Ending once the gateway is about to
	// stop.
	Ready, Ending *atomic.Bool
	Log           zerolog.Logger

	mu sync.Mutex // guards what follows
	// lapsed wakes Run when the own announcement has gone, nil before Run.
	lapsed chan struct{}
	// revision is that of the own announcement in the store, 0 for none, and written what it says.
	revision uint64
	written  *gossip.Announcement
}

// Run keeps the gateway announced until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	lapsed := a.init()
	for !a.Ready.Load() && ctx.Err() == nil {
		pause.For(ctx, readyEvery)
	}
	lease, renewed := "", time.Time{}
	for ctx.Err() == nil && !a.Ending.Load() {
		now := time.Now()
		switch {
		case lease == "":
			lease, renewed = a.announce(ctx), now
		case now.Sub(renewed) >= renewEvery:
			err := a.Store.KeepAlive(ctx, lease)
			if kv.Missing(err) {
				lease = ""
				continue
			}
			if err == nil { // else it may go on: a new lease would find the key still there
				renewed = now
			}
		}
		if !a.rest(ctx, lapsed) {
			lease = ""
		}
	}
	if lease != "" {
		_ = a.Store.Revoke(context.WithoutCancel(ctx), lease) // it lapses otherwise
	}
}

// init returns what wakes Run when the own announcement has gone.
func (a *Announcer) init() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lapsed = make(chan struct{}, 1)
	return a.lapsed
}

// rest waits between two looks, and reports whether the own announcement is still there.
func (a *Announcer) rest(ctx context.Context, lapsed <-chan struct{}) bool {
	timer := time.NewTimer(lookEvery)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-lapsed:
		pause.For(ctx, time.Duration(rand.Float64()*float64(lapseSpread)))
		revision, _ := a.own()
		return revision != 0
	}
	return true
}

// announce returns the lease under which this gateway is announced, empty when it is not.
func (a *Announcer) announce(ctx context.Context) string {
	revision, written := a.own()
	if lease := written.GetLease(); lease != "" && proto.Equal(written, a.announcement(lease)) && a.Store.KeepAlive(ctx, lease) == nil {
		a.Log.Info().Str("lease", lease).Uint64("revision", revision).Msg("a former announcement of this gateway goes on")
		return lease
	}
	lease, err := a.Store.Grant(ctx, leaseTime)
	if err == nil {
		err = a.write(ctx, lease, revision)
	}
	if err != nil {
		a.Log.Info().Err(err).Msg("this gateway is not announced")
		return ""
	}
	return lease
}

// write writes the announcement in place of the one at a revision, 0 for none.
func (a *Announcer) write(ctx context.Context, lease string, former uint64) error {
	text, err := proto.Marshal(a.announcement(lease))
	if err != nil {
		return trace.Wrap(err)
	}
	revision, err := a.Store.Put(ctx, kv.Write{Key: a.key(), Value: text, If: former, Lease: lease})
	if err == nil {
		a.noteOwn(revision, a.announcement(lease))
	}
	return err
}

// key is that of the own announcement.
func (a *Announcer) key() string {
	return prefix + a.Self.Name
}

// announcement returns what this gateway writes of itself under a lease.
func (a *Announcer) announcement(lease string) *gossip.Announcement {
	return &gossip.Announcement{Address: a.Self.Address, Hall: a.Self.Hall, LinkMegabits: a.Self.LinkMegabits, Lease: lease}
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
	if p.Key == a.key() {
		a.noteOwn(p.Revision, &text)
	}
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
	a.Peers.Withdraw(key)
	if key == a.key() {
		a.forgetOwn(revision)
	}
	return true
}

// own returns the own announcement in the store with its revision, nil for none.
func (a *Announcer) own() (uint64, *gossip.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.revision, a.written
}

// noteOwn notes what the store holds of this gateway at a revision.
func (a *Announcer) noteOwn(revision uint64, text *gossip.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision > a.revision {
		a.revision, a.written = revision, text
	}
}

// forgetOwn notes that the own announcement has gone at a revision.
func (a *Announcer) forgetOwn(revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision <= a.revision { // it has been written again since
		return
	}
	a.revision, a.written = 0, nil
	select {
	case a.lapsed <- struct{}{}:
	default: // before Run, or Run has yet to take the last one in
	}
}
