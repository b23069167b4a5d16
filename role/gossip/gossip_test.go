package gossip_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/role/gossip"
	"github.com/grademill/grademill/state/peers"
	wire "github.com/grademill/grademill/wire/gossip"
)

// testTimeout bounds every wait: a test that reaches it fails.
const testTimeout = 30 * time.Second

// node is a gateway that uses one endpoint.
type node struct {
	gossip.Gossip
	table        peers.Table
	active       atomic.Int64
	others       atomic.Int64
	heard        atomic.Int64
	sent         atomic.Int64
	droppedBytes atomic.Int64
	// former is set for a gateway that sends no loads, like the builds before them.
	former atomic.Bool
	stop   func()
}

// oneRequest is the demand of each node: one request per second.
var oneRequest = demand.Demand{Admitted: 1, Classes: map[demand.Class]demand.Load{{}: {Offered: 1}}}

// Count implements peers.Counter.
func (n *node) Count(s peers.Usage) { n.others.Add(s.Active) }

// Digest implements gossip.Local.
func (n *node) Digest(_ time.Time, others map[string]peers.Usage, demands map[string]demand.Demand) *wire.Digest {
	active := n.active.Load() + others["card"].Active
	d := &wire.Digest{Uses: []*wire.Use{{Endpoint: "card", Active: uint32(active)}}}
	if !n.former.Load() {
		d.Loads = gossip.EncodeLoads(map[string]demand.Demand{"chat": oneRequest.Plus(demands["chat"])})
	}
	return d
}

// HandleDigest implements gossip.Local.
func (n *node) HandleDigest(*wire.Digest, time.Time) { n.heard.Add(1) }

// HandleLoss implements gossip.Local.
func (n *node) HandleLoss(*wire.Loss, time.Time) {}

// HandleEnds implements gossip.Local.
func (n *node) HandleEnds(*wire.Ends, time.Time) {}

// HandleSuspects implements gossip.Local.
func (n *node) HandleSuspects(*wire.Suspects, time.Time) {}

// Tick implements gossip.Local.
func (n *node) Tick(time.Time) {}

// start runs a fleet with the given number of halls and gateways in each hall, all announced in the
// store.
func start(t *testing.T, halls, each int, rate float64) []*node {
	var all []*node
	for h := range halls {
		for i := range each {
			n, socket := new(node), listen(t)
			n.active.Store(1)
			n.table.Counter = func(string) peers.Counter { return n }
			n.Gossip = gossip.Gossip{
				Self:        overlay.Member{Name: fmt.Sprintf("gateway-%d-%d", h, i), Address: socket.LocalAddr().String(), Hall: fmt.Sprint("hall-", h)},
				Incarnation: 1, Local: n, Peers: &n.table, LinkRate: rate, Log: zerolog.Nop(),
				Listen: func(string) (net.PacketConn, error) { return socket, nil },
				Sent: func(bytes int, dropped bool) {
					if dropped {
						n.droppedBytes.Add(int64(bytes))
					} else {
						n.sent.Add(int64(bytes))
					}
				},
			}
			n.Init()
			all = append(all, n)
		}
	}
	for _, n := range all {
		for _, m := range all {
			n.table.Announce(m.Self.Name, m.Self, time.Now())
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { n.Run(ctx) })
		n.stop = func() {
			cancel()
			group.Wait()
		}
		t.Cleanup(n.stop)
	}
	return all
}

// listen opens a socket at a free local UDP port. It stays open until its node uses it, since a port that is closed
// meanwhile can be given to another node.
func listen(t *testing.T) net.PacketConn {
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// waitForActive waits until each node has learned of the given number of active requests at the
// others.
func waitForActive(t *testing.T, nodes []*node, active int64) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if n.others.Load() != active {
				return false
			}
		}
		return true
	}, testTimeout, 5*time.Millisecond)
}

// waitForDemand waits until each node has learned of the given demand of the others.
func waitForDemand(t *testing.T, nodes []*node, offered float64) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			if d := n.table.FleetDemand("chat"); d.Offered() != offered || d.Admitted != offered {
				return false
			}
		}
		return true
	}, testTimeout, 5*time.Millisecond)
}

// Each gateway of a small fleet learns the usage of all others.
func TestSmallFleet(t *testing.T) {
	t.Parallel()
	all := start(t, 2, 3, 0)
	waitForActive(t, all, 5)
	all[0].active.Store(4)
	all[0].SendSoon()
	waitForActive(t, all[1:], 8)
}

// Each gateway of a large fleet learns the usage of all others, that of other halls from sums, with
// each gateway counted once. This still holds after the delegate of a hall has ended.
func TestLargeFleet(t *testing.T) {
	t.Parallel()
	all := start(t, 3, 6, 0)
	waitForActive(t, all, 17)
	waitForDemand(t, all, 17)
	require.Len(t, all[0].table.HallDemands("chat"), 3)
	var left []*node
	ended := false
	for _, n := range all {
		if !ended && n.Overlay().IsDelegate() {
			n.stop()
			ended = true
			continue
		}
		left = append(left, n)
	}
	require.True(t, ended)
	waitForActive(t, left, 16)
	waitForDemand(t, left, 16)
	left[0].active.Store(5)
	waitForActive(t, left[1:], 20)
}

// Guards against digests without loads that are not understood, or that keep the loads of others
// from being counted: gateways of the former build may be in the fleet.
func TestFleetOfBothBuilds(t *testing.T) {
	t.Parallel()
	all := start(t, 2, 3, 0)
	waitForDemand(t, all, 5)
	all[0].former.Store(true)
	waitForDemand(t, all[1:], 4)
	waitForActive(t, all, 5)
	waitForDemand(t, all[:1], 5)
}

// On a slow link, digests use no more than their share: the excess is dropped and the others are
// still sent.
func TestDigestsKeepToTheirShareOfTheLink(t *testing.T) {
	t.Parallel()
	all := start(t, 1, 14, 1)
	require.Eventually(t, func() bool { return all[0].droppedBytes.Load() > 0 }, 2*testTimeout, 20*time.Millisecond)
	require.LessOrEqual(t, all[0].sent.Load(), int64(70<<10))
}
