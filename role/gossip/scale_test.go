package gossip_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/role/gossip"
	"github.com/grademill/grademill/state/peers"
	wire "github.com/grademill/grademill/wire/gossip"
)

// The network of the model.
const (
	// linkRate is that of the thinnest hosts, in bytes a second: 20 Mbit/s.
	linkRate = 20e6 / 8
	// nearTime and farTime are how long a datagram is under way inside a hall and between
	// halls.
	nearTime = 200 * time.Microsecond
	farTime  = 750 * time.Microsecond
	// lossShare is the part of the datagrams that is lost.
	lossShare = 0.02
	// datagramHead is what a datagram takes beside its content, in bytes.
	datagramHead = 42
	// queueMost is how much may wait at a link before datagrams are dropped, in time.
	queueMost = 100 * time.Millisecond
)

// network carries datagrams between modelled hosts on a virtual clock: each host has a
// link with a rate and a queue.
type network struct {
	mu    sync.Mutex // guards what follows
	ports map[string]*port
	draws *rand.Rand
}

// port is the link of one host, as a socket.
type port struct {
	net.PacketConn // nil: what the model lacks must not be called

	n       *network
	address string
	hall    string
	in      chan datagram
	closed  chan struct{}
	// free is when the link has sent all that waits; n.mu guards it.
	free time.Time
}

type datagram struct {
	text []byte
	from net.Addr
}

// listen opens the port of an address in a hall.
func (n *network) listen(address, hall string) net.PacketConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := &port{n: n, address: address, hall: hall, in: make(chan datagram, 4096), closed: make(chan struct{})}
	n.ports[address] = p
	return p
}

// WriteTo implements net.PacketConn.
func (p *port) WriteTo(text []byte, to net.Addr) (int, error) {
	p.n.mu.Lock()
	defer p.n.mu.Unlock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	other := p.n.ports[to.String()]
	if other == nil || p.free.Sub(now) > queueMost || p.n.draws.Float64() < lossShare {
		return len(text), nil // lost, as a datagram may be
	}
	p.free = p.free.Add(time.Duration(float64(len(text)+datagramHead) / linkRate * float64(time.Second)))
	way := nearTime
	if other.hall != p.hall {
		way = farTime
	}
	from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(p.address))
	d := datagram{text: slices.Clone(text), from: from}
	time.AfterFunc(p.free.Sub(now)+way, func() {
		select {
		case other.in <- d:
		default: // its reader is too slow
		}
	})
	return len(text), nil
}

// ReadFrom implements net.PacketConn.
func (p *port) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case d := <-p.in:
		return copy(buffer, d.text), d.from, nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

// Close implements net.PacketConn.
func (p *port) Close() error {
	close(p.closed)
	return nil
}

// host is a modelled gateway that uses some endpoints of its hall.
type host struct {
	gossip.Gossip
	table peers.Table
	uses  []string
	// down is set while it says that its first endpoint is down; knows is when it first
	// heard of that, in nanoseconds of Unix time.
	down  atomic.Bool
	knows atomic.Int64
	sent  atomic.Int64
	heard atomic.Int64
}

// counter counts what others have at one endpoint.
type counter struct {
	h        *host
	endpoint string
}

// Count implements peers.Counter.
func (c counter) Count(s peers.Share) {
	if s.Down > 0 {
		c.h.knows.CompareAndSwap(0, time.Now().UnixNano())
	}
}

// Digest implements gossip.Local.
func (h *host) Digest(_ time.Time, others map[string]peers.Share) *wire.Digest {
	d := new(wire.Digest)
	add := func(endpoint string, s peers.Share) {
		d.Uses = append(d.Uses, &wire.Use{
			Endpoint: endpoint, Active: uint32(s.Active), Held: uint64(s.Held), Reading: uint32(s.Reading), Down: uint32(s.Down),
		})
	}
	if others != nil {
		for endpoint, s := range others {
			add(endpoint, s)
		}
		return d
	}
	for i, endpoint := range h.uses {
		s := peers.Share{Active: 3, Held: 20000, Reading: 1}
		if i == 0 && h.down.Load() {
			s.Down = 1
		}
		add(endpoint, s)
	}
	return d
}

// Heard implements gossip.Local.
func (h *host) Heard(*wire.Digest, time.Time) { h.heard.Add(1) }

// Lost implements gossip.Local.
func (h *host) Lost(*wire.Loss, time.Time) {}

// Ended implements gossip.Local.
func (h *host) Ended(*wire.Ends, time.Time) {}

// Tick implements gossip.Local.
func (h *host) Tick(time.Time) {}

// control is what a modelled fleet's gossip costs and how soon it tells.
type control struct {
	// mean and most are the bytes a second that a host sends.
	mean, most float64
	// told is how long it took until all others of the hall knew of a loss, and toldAll
	// until all of the fleet did.
	told, toldAll time.Duration
}

// modelled plays a fleet of gateways in halls before so many endpoints.
func modelled(t *testing.T, gateways, halls, endpoints int) control {
	var result control
	synctest.Test(t, func(t *testing.T) {
		n := &network{ports: make(map[string]*port), draws: rand.New(rand.NewPCG(uint64(gateways), 1))}
		var hosts []*host
		for i := range gateways {
			h := new(host)
			hall := i % halls
			for e := hall; e < endpoints && len(h.uses) < usesEach; e += halls {
				h.uses = append(h.uses, fmt.Sprintf("i-%010x", e))
			}
			h.table.Counter = func(endpoint string) peers.Counter { return counter{h, endpoint} }
			address := fmt.Sprintf("10.%d.%d.%d:7340", hall, i/200, i%200)
			h.Gossip = gossip.Gossip{
				Self:        overlay.Member{Name: fmt.Sprint("gateway-", i), Address: address, Hall: fmt.Sprint("hall-", hall)},
				Incarnation: 1, Local: h, Peers: &h.table, LinkRate: linkRate, Log: zerolog.Nop(),
				Listen: func(address string) (net.PacketConn, error) {
					return n.listen(address, h.Self.Hall), nil
				},
				Sent: func(bytes int, dropped bool) {
					if !dropped {
						h.sent.Add(int64(bytes + datagramHead))
					}
				},
			}
			h.Init()
			hosts = append(hosts, h)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for _, h := range hosts {
			for _, m := range hosts {
				h.table.Announce(m.Self.Name, m.Self, time.Now())
			}
			group.Go(func() { h.Run(ctx) })
		}
		time.Sleep(settleTime)
		before := make([]int64, len(hosts))
		for i, h := range hosts {
			before[i] = h.sent.Load()
		}
		time.Sleep(playTime)
		for i, h := range hosts {
			rate := float64(h.sent.Load()-before[i]) / playTime.Seconds()
			result.mean += rate / float64(len(hosts))
			result.most = max(result.most, rate)
		}
		finder := hosts[0]
		lost := time.Now()
		finder.down.Store(true)
		finder.News()
		time.Sleep(playTime)
		for _, h := range hosts[1:] {
			at := h.knows.Load()
			require.NotZero(t, at, "%s has not heard of the loss", h.Self.Name)
			took := time.Unix(0, at).Sub(lost)
			result.toldAll = max(result.toldAll, took)
			if h.Self.Hall == finder.Self.Hall {
				result.told = max(result.told, took)
			}
		}
		cancel()
		group.Wait()
	})
	return result
}

// The figures of a modelled day.
const (
	// usesEach is the number of endpoints that a gateway uses at a time.
	usesEach = 24
	// settleTime is how long a fleet has to find itself, playTime how long it is watched.
	settleTime = 3 * time.Second
	playTime   = 5 * time.Second
)

// What a host tells others does not grow with the fleet, and digests tell of a loss
// everywhere within a time that grows with the hall alone, though datagrams are lost. The
// bounds are those of the model's figures, with a margin; docs/CAPACITY.md has them.
func TestControlDoesNotGrowWithTheFleet(t *testing.T) {
	cases := []struct {
		gateways, halls, endpoints int
		mean, most                 float64
		told, toldAll              time.Duration
	}{
		{12, 3, 33, 30e3, 30e3, 500 * time.Millisecond, 500 * time.Millisecond},
		{68, 5, 119, 70e3, 150e3, 800 * time.Millisecond, 1500 * time.Millisecond},
		{430, 10, 3800, 80e3, 200e3, 2500 * time.Millisecond, 4500 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.gateways), func(t *testing.T) {
			got := modelled(t, c.gateways, c.halls, c.endpoints)
			t.Logf("%d gateways: %.1f kB a second each, %.1f at most; a loss is known in the hall after %v, everywhere after %v",
				c.gateways, got.mean/1e3, got.most/1e3, got.told, got.toldAll)
			require.LessOrEqual(t, got.mean, c.mean)
			require.LessOrEqual(t, got.most, c.most)
			require.LessOrEqual(t, got.told, c.told)
			require.LessOrEqual(t, got.toldAll, c.toldAll)
		})
	}
}
