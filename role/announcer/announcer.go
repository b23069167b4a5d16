// Package announcer keeps a gateway's address in the store, and learns those of the
// others from there.
package announcer

import (
	"context"
	"strconv"
	"strings"
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
	// leaseTime is how long a gateway stays announced without renewal, and renewEvery
	// the time between two renewals.
	leaseTime  = 6 * time.Second
	renewEvery = 2 * time.Second
)

// prefix, a name and an incarnation are the key of an announcement.
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
	// Self is the gateway, and Incarnation this life of it.
	Self        overlay.Member
	Incarnation int64
	Store       Store
	// Peers are told of the others.
	Peers *peers.Table
	// Ready is set once the store has been read, Ending once the gateway is about to
	// stop.
	Ready, Ending *atomic.Bool
	Log           zerolog.Logger
}

// Run keeps the gateway announced until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	key := prefix + a.Self.Name + "/" + strconv.FormatInt(a.Incarnation, 36)
	lease := ""
	for ctx.Err() == nil && !a.Ending.Load() {
		if lease != "" && kv.Missing(a.Store.KeepAlive(ctx, lease)) {
			lease = "" // without an answer it may go on: a new one would find the key still there
		}
		if lease == "" && a.Ready.Load() {
			lease = a.enrol(ctx, key)
		}
		pause.For(ctx, renewEvery)
	}
	if lease != "" {
		_ = a.Store.Revoke(context.WithoutCancel(ctx), lease) // it lapses otherwise
	}
}

// enrol writes the announcement under a new lease and returns the lease, empty when
// that failed.
func (a *Announcer) enrol(ctx context.Context, key string) string {
	text, err := proto.Marshal(&gossip.Announcement{
		Address: a.Self.Address, Hall: a.Self.Hall, LinkMegabits: a.Self.LinkMegabits,
	})
	if err != nil {
		a.Log.Error().Err(err).Msg("announcement not encoded")
		return ""
	}
	lease, err := a.Store.Grant(ctx, leaseTime)
	if err == nil {
		_, err = a.Store.Put(ctx, kv.Write{Key: key, Value: text, Lease: lease})
	}
	if err != nil {
		a.Log.Info().Err(err).Msg("this gateway is not announced")
		return ""
	}
	return lease
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
	a.Peers.Announce(p.Key, overlay.Member{
		Name: name, Address: text.GetAddress(), Hall: text.GetHall(), LinkMegabits: text.GetLinkMegabits(),
	})
	return true
}

// Gone takes in that a key has gone, and reports whether it was the announcement of a
// gateway.
func (a *Announcer) Gone(key string) bool {
	if !strings.HasPrefix(key, prefix) {
		return false
	}
	a.Peers.Withdraw(key)
	return true
}
