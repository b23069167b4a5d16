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

	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/role/gossip"
	"github.com/grademill/grademill/state/peers"
	wire "github.com/grademill/grademill/wire/gossip"
)

// Parameters of the simulated network.
const (
	// linkRate is the bandwidth of the slowest hosts, 20 Mbit/s, in bytes per second.
	linkRate = 20e6 / 8
	// hallLatency and interHallLatency are the latencies of a datagram inside a hall and between
	// halls.
	hallLatency      = 200 * time.Microsecond
	interHallLatency = 750 * time.Microsecond
	// lossShare is the share of datagrams that are lost.
	lossShare = 0.02
	// headerBytes is the size of the headers of a datagram, in bytes.
	headerBytes = 42
	// maxQueueDelay is the delay in the queue of a link above which datagrams are dropped.
	maxQueueDelay = 100 * time.Millisecond
)

// network carries datagrams between simulated hosts on a virtual clock. The link of each host has a
// limited rate and a queue.
type network struct {
	mu    sync.Mutex // guards the fields below
	ports map[string]*port
	draws *rand.Rand
}

// port is the link of one host. It implements the methods of net.PacketConn that the tests use.
type port struct {
	net.PacketConn // nil: methods that are not implemented panic

	n       *network
	address string
	hall    string
	in      chan datagram
	closed  chan struct{}
	// free is when the link will have sent all queued datagrams; guarded by n.mu.
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
	if other == nil || p.free.Sub(now) > maxQueueDelay || p.n.draws.Float64() < lossShare {
		return len(text), nil // dropped without an error, like a UDP datagram
	}
	p.free = p.free.Add(time.Duration(float64(len(text)+headerBytes) / linkRate * float64(time.Second)))
	latency := hallLatency
	if other.hall != p.hall {
		latency = interHallLatency
	}
	from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(p.address))
	d := datagram{text: slices.Clone(text), from: from}
	time.AfterFunc(p.free.Sub(now)+latency, func() {
		select {
		case other.in <- d:
		default: // the receiver's buffer is full
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

// simGateway is a simulated gateway that uses some endpoints of its hall.
type simGateway struct {
	gossip.Gossip
	table peers.Table
	uses  []string
	// down is set while the gateway reports its first endpoint as down; learnedAt is when the
	// gateway first received such a report, in nanoseconds of Unix time.
	down      atomic.Bool
	learnedAt atomic.Int64
	sent      atomic.Int64
	heard     atomic.Int64
}

// counter receives the usage of one endpoint by the other gateways.
type counter struct {
	h        *simGateway
	endpoint string
}

// Count implements peers.Counter.
func (c counter) Count(s peers.Usage) {
	if s.Down > 0 {
		c.h.learnedAt.CompareAndSwap(0, time.Now().UnixNano())
	}
}

// Digest implements gossip.Local.
func (h *simGateway) Digest(_ time.Time, others map[string]peers.Usage, _ map[string]demand.Demand) *wire.Digest {
	d := new(wire.Digest)
	add := func(endpoint string, s peers.Usage) {
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
		s := peers.Usage{Active: 3, Held: 20000, Reading: 1}
		if i == 0 && h.down.Load() {
			s.Down = 1
		}
		add(endpoint, s)
	}
	return d
}

// HandleDigest implements gossip.Local.
func (h *simGateway) HandleDigest(*wire.Digest, time.Time) { h.heard.Add(1) }

// HandleLoss implements gossip.Local.
func (h *simGateway) HandleLoss(*wire.Loss, time.Time) {}

// HandleEnds implements gossip.Local.
func (h *simGateway) HandleEnds(*wire.Ends, time.Time) {}

// HandleSuspects implements gossip.Local.
func (h *simGateway) HandleSuspects(*wire.Suspects, time.Time) {}

// Tick implements gossip.Local.
func (h *simGateway) Tick(time.Time) {}

// traffic holds the cost of the exchange and the time that reports take.
type traffic struct {
	// mean and peak are the mean and the largest number of bytes per second that a host sends.
	mean, peak float64
	// hallDelay is the time until all others in the hall knew of a failed endpoint, fleetDelay the
	// time until the whole fleet did.
	hallDelay, fleetDelay time.Duration
}

// simulate simulates a fleet of gateways in halls that use the given number of endpoints.
func simulate(t *testing.T, gateways, halls, endpoints int) traffic {
	var result traffic
	synctest.Test(t, func(t *testing.T) {
		n := &network{ports: make(map[string]*port), draws: rand.New(rand.NewPCG(uint64(gateways), 1))}
		var hosts []*simGateway
		for i := range gateways {
			h := new(simGateway)
			hall := i % halls
			for e := hall; e < endpoints && len(h.uses) < usesPerGateway; e += halls {
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
						h.sent.Add(int64(bytes + headerBytes))
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
		time.Sleep(measureTime)
		for i, h := range hosts {
			rate := float64(h.sent.Load()-before[i]) / measureTime.Seconds()
			result.mean += rate / float64(len(hosts))
			result.peak = max(result.peak, rate)
		}
		finder := hosts[0]
		lost := time.Now()
		finder.down.Store(true)
		finder.SendSoon()
		time.Sleep(measureTime)
		for _, h := range hosts[1:] {
			at := h.learnedAt.Load()
			require.NotZero(t, at, "%s has not learned of the failed endpoint", h.Self.Name)
			took := time.Unix(0, at).Sub(lost)
			result.fleetDelay = max(result.fleetDelay, took)
			if h.Self.Hall == finder.Self.Hall {
				result.hallDelay = max(result.hallDelay, took)
			}
		}
		cancel()
		group.Wait()
	})
	return result
}

// Parameters of a simulation.
const (
	// usesPerGateway is the number of endpoints that a gateway uses at a time.
	usesPerGateway = 24
	// settleTime is the time in which the fleet settles, measureTime the measured time.
	settleTime  = 3 * time.Second
	measureTime = 5 * time.Second
)

// The control traffic of a host does not grow with the fleet, and all gateways learn of a failed
// endpoint within a time that depends on the size of the hall alone, although datagrams are lost.
// The bounds are the simulated values listed in docs/CAPACITY.md plus a margin.
func TestControlTrafficDoesNotGrowWithTheFleet(t *testing.T) {
	cases := []struct {
		gateways, halls, endpoints int
		mean, peak                 float64
		hallDelay, fleetDelay      time.Duration
	}{
		{12, 3, 33, 30e3, 30e3, 500 * time.Millisecond, 500 * time.Millisecond},
		{68, 5, 119, 70e3, 150e3, 800 * time.Millisecond, 1500 * time.Millisecond},
		{430, 10, 3800, 80e3, 200e3, 2500 * time.Millisecond, 4500 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.gateways), func(t *testing.T) {
			got := simulate(t, c.gateways, c.halls, c.endpoints)
			t.Logf("%d gateways: %.1f kB per second each, %.1f at most; a failed endpoint is known in the hall after %v, everywhere after %v",
				c.gateways, got.mean/1e3, got.peak/1e3, got.hallDelay, got.fleetDelay)
			require.LessOrEqual(t, got.mean, c.mean)
			require.LessOrEqual(t, got.peak, c.peak)
			require.LessOrEqual(t, got.hallDelay, c.hallDelay)
			require.LessOrEqual(t, got.fleetDelay, c.fleetDelay)
		})
	}
}
