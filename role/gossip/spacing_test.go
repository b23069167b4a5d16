package gossip_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
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

// loadedGateway is a simulated gateway with a demand of one request per second.
type loadedGateway struct {
	simGateway
	// waiting is the number of its queued requests, idle is set while it has no demand.
	waiting atomic.Int64
	idle    atomic.Bool
	// digests counts the digests that it gets from single gateways, loads those of them with loads.
	digests, loads atomic.Int64
}

// Digest implements gossip.Local.
func (g *loadedGateway) Digest(_ time.Time, _ map[string]peers.Usage, others map[string]demand.Demand) *wire.Digest {
	d := others["chat"]
	if !g.idle.Load() {
		d = d.Plus(oneRequest)
		d.Waiting += float64(g.waiting.Load())
	}
	return &wire.Digest{Loads: gossip.EncodeLoads(map[string]demand.Demand{"chat": d})}
}

// HandleDigest implements gossip.Local.
func (g *loadedGateway) HandleDigest(d *wire.Digest, _ time.Time) {
	if d.GetMembers() > 0 {
		return
	}
	g.digests.Add(1)
	if len(d.GetLoads()) > 0 {
		g.loads.Add(1)
	}
}

// loadedFleet runs a fleet in ten halls, on the modelled network with its lost datagrams, until ctx ends.
func loadedFleet(ctx context.Context, group *sync.WaitGroup, gateways int) []*loadedGateway {
	const halls = 10
	n := &network{ports: make(map[string]*port), draws: rand.New(rand.NewPCG(uint64(gateways), 2))}
	var all []*loadedGateway
	for i := range gateways {
		g := new(loadedGateway)
		g.table.Counter = func(string) peers.Counter { return nil }
		hall, address := fmt.Sprint("hall-", i%halls), fmt.Sprintf("10.0.0.%d:7340", i+1)
		g.Gossip = gossip.Gossip{
			Self: overlay.Member{Name: fmt.Sprint("gateway-", i), Address: address, Hall: hall}, Incarnation: 1, Local: g, Peers: &g.table,
			Log: zerolog.Nop(), Sent: func(int, bool) {},
			Listen: func(address string) (net.PacketConn, error) { return n.listen(address, hall), nil },
		}
		g.Init()
		all = append(all, g)
	}
	for _, g := range all {
		for _, m := range all {
			g.table.Announce(m.Self.Name, m.Self, time.Now())
		}
		group.Go(func() { g.Run(ctx) })
	}
	return all
}

// loadShare returns the part of the digests of single gateways within a span that carries loads.
func loadShare(all []*loadedGateway, span time.Duration) float64 {
	count := func() (loads, digests int64) {
		for _, g := range all {
			loads, digests = loads+g.loads.Load(), digests+g.digests.Load()
		}
		return loads, digests
	}
	loads, digests := count()
	time.Sleep(span)
	loadsAfter, digestsAfter := count()
	return float64(loadsAfter-loads) / float64(digestsAfter-digests)
}

// Guards against the cost of loads in large fleets, where they exceed 4 kB per second in every digest,
// and against a demand that drops out between two digests that carry it, also when one is lost (2 in 100
// are). While requests wait every digest carries loads, since the estimate of the capacity needs them.
func TestLoadsAreSpacedInLargeFleets(t *testing.T) {
	for _, gateways := range []int{60, 70} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				defer group.Wait()
				defer cancel()
				all := loadedFleet(ctx, &group, gateways)
				time.Sleep(settleTime)
				share, heard, samples := loadShare(all, 3*time.Second), 0.0, 0 // 20 digests of each gateway
				if gateways > 68 {
					require.InDelta(t, 0.5, share, 0.05)
				} else {
					require.InDelta(t, 1, share, 0)
				}
				for range 100 {
					time.Sleep(50 * time.Millisecond)
					for _, g := range all {
						heard += g.table.FleetDemand("chat").Offered()
						samples++
					}
				}
				t.Logf("mean demand heard %.3f of %d, loads in %.3f of the digests", heard/float64(samples), gateways-1, share)
				require.InEpsilon(t, gateways-1, heard/float64(samples), 0.01)
				for _, g := range all {
					g.waiting.Store(1)
				}
				time.Sleep(time.Second)
				require.InDelta(t, 1, loadShare(all, time.Second), 0, "no loads are omitted while requests wait")
				all[0].idle.Store(true)
				time.Sleep(2 * time.Second)
				for _, g := range all[1:] {
					require.InDelta(t, gateways-2, g.table.FleetDemand("chat").Offered(), 1, "the demand of an idle gateway ends")
				}
				require.Zero(t, all[10].table.HallDemands("chat")["hall-0"].Offered()-float64(gateways/10-2), "and in its hall")
			})
		})
	}
}
