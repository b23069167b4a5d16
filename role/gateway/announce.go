package gateway

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/wire/gossip"
)

// The figures of being announced.
const (
	// announceLease is how long a gateway stays announced without renewal, and
	// announceEvery the time between two renewals.
	announceLease = 6 * time.Second
	announceEvery = 2 * time.Second
)

// The keys that gateways write.
const (
	// peerPrefix, a name and an incarnation hold the announcement of a gateway, under
	// a lease.
	peerPrefix = "grademill/gateways/"
	// giverKey holds the name of the gateway that gives orders, under a lease.
	giverKey = "grademill/giver"
)

// announce keeps this gateway's address in the store until ctx ends.
func (g *Gateway) announce(ctx context.Context) {
	key := peerPrefix + g.Name + "/" + strconv.FormatInt(g.started.UnixNano(), 36)
	lease := ""
	for ctx.Err() == nil && !g.draining.Load() {
		if lease != "" && lapsed(g.Store.KeepAlive(ctx, lease)) {
			lease = ""
		}
		if lease == "" && g.loaded.Load() {
			lease = g.enrol(ctx, key)
		}
		pause.For(ctx, announceEvery)
	}
	if lease != "" {
		_ = g.Store.Revoke(context.WithoutCancel(ctx), lease) // it lapses otherwise
	}
}

// lapsed reports whether an error of a renewal says that the lease is over. While the store
// gives no answer it may go on: a new one would find the key still there.
func lapsed(err error) bool {
	var missing *kv.NotFoundError
	return errors.As(err, &missing)
}

// enrol writes the announcement under a new lease and returns the lease, empty when
// that failed.
func (g *Gateway) enrol(ctx context.Context, key string) string {
	text, err := proto.Marshal(&gossip.Announcement{Address: g.Address, Hall: g.Hall})
	if err != nil {
		g.Log.Error().Err(err).Msg("announcement not encoded")
		return ""
	}
	lease, err := g.Store.Grant(ctx, announceLease)
	if err == nil {
		_, err = g.Store.Put(ctx, kv.Write{Key: key, Value: text, Lease: lease})
	}
	if err != nil {
		g.Log.Info().Err(err).Msg("this gateway is not announced")
		return ""
	}
	return lease
}

// announced takes in a pair of the store, if it is the announcement of a gateway.
func (g *Gateway) announced(p kv.Pair) bool {
	rest, ok := strings.CutPrefix(p.Key, peerPrefix)
	if !ok {
		return false
	}
	var a gossip.Announcement
	if err := proto.Unmarshal(p.Value, &a); err != nil {
		g.Log.Warn().Err(err).Str("key", p.Key).Msg("announcement of a gateway not understood")
		return true
	}
	name, _, _ := strings.Cut(rest, "/")
	g.peers.Announce(p.Key, overlay.Member{Name: name, Address: a.GetAddress(), Hall: a.GetHall()})
	return true
}

// withdrawn takes in that a key has gone, if it was the announcement of a gateway.
func (g *Gateway) withdrawn(key string) bool {
	if !strings.HasPrefix(key, peerPrefix) {
		return false
	}
	g.peers.Withdraw(key)
	return true
}
