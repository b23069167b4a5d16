package gateway

import (
	"context"
	"net"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/wire/gossip"
)

// The figures of what gateways tell each other.
const (
	// gossipEvery is the time between two digests in a small fleet. A stream
	// lives for seconds, so what is held changes little in between.
	gossipEvery = 150 * time.Millisecond
	// gossipFleet is the size up to which the time stays the same. In a larger
	// fleet it grows, so that a gateway sends and gets no more than in one of that
	// size. Mean worth of the grown sites' four days of high load (24 and 30
	// gateways): 0.74 with 6, 0.79 with 12, 0.78 with 30, where the bytes cost more
	// than fresher digests win.
	gossipFleet = 12
	// gossipMissed is the number of digests after which a gateway that sends none
	// is taken to have ended, with all it used.
	gossipMissed = 6
	// announceLease is how long a gateway stays announced without renewal, and
	// announceEvery the time between two renewals.
	announceLease = 6 * time.Second
	announceEvery = 2 * time.Second
	// maxDatagram is the largest digest that is read.
	maxDatagram = 64 << 10
)

// announce keeps this gateway's address in the store until ctx ends.
func (g *Gateway) announce(ctx context.Context) {
	key := peerPrefix + g.Name + "/" + strconv.FormatInt(g.started.UnixNano(), 36)
	lease := ""
	for ctx.Err() == nil && !g.draining.Load() {
		if lease != "" && g.Store.KeepAlive(ctx, lease) != nil {
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

// enrol writes the address under a new lease and returns the lease, empty when
// that failed.
func (g *Gateway) enrol(ctx context.Context, key string) string {
	lease, err := g.Store.Grant(ctx, announceLease)
	if err == nil {
		_, err = g.Store.Put(ctx, kv.Write{Key: key, Value: []byte(g.Address), Lease: lease})
	}
	if err != nil {
		g.Log.Info().Err(err).Msg("this gateway is not announced")
		return ""
	}
	return lease
}

// gossip exchanges digests with the other gateways until ctx ends.
func (g *Gateway) gossip(ctx context.Context) {
	socket, err := net.ListenPacket("udp4", g.Address)
	if err != nil {
		g.Log.Error().Err(err).Msg("nothing is heard of other gateways")
		return
	}
	defer socket.Close() //nolint:errcheck // datagrams that are not read
	go g.hear(socket)
	number := uint64(1)
	defer func() { g.farewell(socket, number) }()
	for ; ctx.Err() == nil; number++ {
		others := g.peers.others(g.Name)
		if len(others) > 0 {
			g.tell(socket, others, g.digest(number))
		}
		every := gossipEvery * time.Duration(max(len(others), gossipFleet)) / gossipFleet
		g.peers.expire(time.Now(), gossipMissed*every)
		g.compare(time.Now())
		due := time.NewTimer(every)
		select {
		case <-ctx.Done():
		case <-g.news:
		case <-due.C:
		}
		due.Stop()
	}
}

// sendDigest has a digest sent before it is due.
func (g *Gateway) sendDigest() {
	select {
	case g.news <- struct{}{}:
	default: // one that is due at once tells all
	}
}

// farewell tells the other gateways that this one uses nothing more.
func (g *Gateway) farewell(socket net.PacketConn, number uint64) {
	if others := g.peers.others(g.Name); len(others) > 0 {
		g.tell(socket, others, &gossip.Digest{Gateway: g.Name, Incarnation: uint64(g.started.UnixNano()), Number: number})
	}
}

// tell sends a digest to the other gateways.
func (g *Gateway) tell(socket net.PacketConn, others []string, d *gossip.Digest) {
	text, err := proto.Marshal(d)
	if err != nil {
		g.Log.Error().Err(err).Msg("digest not encoded")
		return
	}
	for _, address := range others {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			g.Log.Warn().Err(err).Str("address", address).Msg("address of a gateway not understood")
			continue
		}
		_, _ = socket.WriteTo(text, to) // the next digest makes up for a lost one
	}
}

// digest returns what this gateway uses.
func (g *Gateway) digest(number uint64) *gossip.Digest {
	now := time.Now()
	d := &gossip.Digest{
		Gateway: g.Name, Incarnation: uint64(g.started.UnixNano()), Number: number, Hall: g.Hall,
		Proven: g.loaded.Load() && !g.failing.Load(), ProofAgeMillis: uint32(max(g.proofAge(now).Milliseconds(), 0)),
	}
	giving := g.giving.Load()
	for id, b := range g.fleet.Load().byID {
		avoided := time.Duration(b.use.stalledUntil.Load() - now.UnixNano())
		active, held, down := b.use.active.Load(), b.use.held.Load(), b.use.down()
		pace, order := uint32(0), layer.Range{}
		if giving {
			pace = uint32(b.use.pace.Load())
			order = b.use.orderedLayers(now)
		}
		if active == 0 && held == 0 && avoided <= 0 && pace == 0 && !down {
			continue
		}
		d.Uses = append(d.Uses, &gossip.Use{
			Endpoint: id, Active: uint32(max(active, 0)), Held: uint64(max(held, 0)),
			AvoidedMillis: uint32(max(avoided.Milliseconds(), 0)), Pace: pace,
			Reading: uint32(max(b.use.reading.Load(), 0)), Down: down,
			OrderedFirst: uint32(order.First), OrderedEnd: uint32(order.End),
		})
	}
	return d
}

// hear takes digests in until the socket is closed.
func (g *Gateway) hear(socket net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		d := new(gossip.Digest)
		if err := proto.Unmarshal(buffer[:n], d); err != nil {
			g.Log.Debug().Err(err).Stringer("from", from).Msg("digest not understood")
			continue
		}
		g.takeDigest(d, from.String(), time.Now())
	}
}

// takeDigest replaces what is known of a gateway's uses.
func (g *Gateway) takeDigest(d *gossip.Digest, from string, now time.Time) {
	if d.GetGateway() == g.Name {
		return
	}
	f := g.fleet.Load()
	held := make(map[*usage]share, len(d.GetUses()))
	for _, use := range d.GetUses() {
		b := f.byID[use.GetEndpoint()]
		if b == nil {
			continue
		}
		held[b.use] = share{
			active: int64(use.GetActive()), held: int64(use.GetHeld()), reading: int64(use.GetReading()),
		}
		if use.GetPace() > 0 { // the sender gives orders
			b.use.pace.Store(int64(use.GetPace()))
			b.use.setOrdered(layer.Range{First: int(use.GetOrderedFirst()), End: int(use.GetOrderedEnd())}, now)
		}
		if use.GetAvoidedMillis() > 0 {
			g.adoptStall(b, now, time.Duration(use.GetAvoidedMillis())*time.Millisecond)
		}
		if use.GetDown() {
			b.use.othersDown.Store(now.UnixNano())
			g.doubt(b, now) // the other gateway may be the one that is cut off
		}
	}
	g.peers.heard(d, from, held, now)
}

// adoptStall passes an endpoint over for as long as another gateway does, and has
// the streams through it moved when this is news.
func (g *Gateway) adoptStall(b *backend, now time.Time, wait time.Duration) {
	news := !b.use.dead(now)
	b.use.othersStalled.Store(now.Add(wait).UnixNano())
	if news {
		b.use.watchers.kick()
	}
}
