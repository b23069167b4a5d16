package chaincost_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/chaincost"
)

// Guards against a cost that ignores the requests or the prompts that an endpoint already has:
// gateways would keep sending to a busy endpoint.
func TestLayerTime(t *testing.T) {
	m := &catalog.Model{Layers: 10, Step: 10 * time.Millisecond, PerSequence: time.Millisecond, ReadRate: 1000}
	card := catalog.Card{TokenTimeFactor: 2, PromptTimeFactor: 3}
	cases := []struct {
		name string
		load chaincost.Load
		want float64
	}{
		{"idle: a step of 10 ms, and 320 ms of reading over 32 tokens", chaincost.Load{FleetFactor: 1}, (0.010*2 + 0.010*3) / 10},
		{"five requests", chaincost.Load{Active: 5, FleetFactor: 1}, (0.015*2 + 0.010*3) / 10},
		{"prompts before it", chaincost.Load{OwnReading: 1, OthersReading: 2, FleetFactor: 1}, (0.010*2 + 0.040*3) / 10},
		{"all gateways move requests", chaincost.Load{OwnReading: 1, OthersReading: 2, FleetFactor: 4}, (0.010*2 + 0.070*3) / 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.InDelta(t, c.want, chaincost.LayerTime(m, card, 320, c.load), 1e-9)
		})
	}
}

// Guards against an infinite or negative cost of a full endpoint, which the search cannot compare.
func TestMemoryFactorIsBounded(t *testing.T) {
	for _, c := range []struct{ free, room, want float64 }{
		{100, 100, 1}, {25, 100, 4}, {1, 100, 12}, {0, 100, 12}, {-5, 100, 12}, {0, 0, 12},
	} {
		require.InDelta(t, c.want, chaincost.MemoryFactor(c.free, c.room), 1e-9, c)
	}
}

// Guards against noise that makes a hall or an endpoint cheaper than it is, or exceeds its bound.
func TestNoiseOnlyAddsCost(t *testing.T) {
	require.InDelta(t, 1, chaincost.HallNoise(0), 1e-9)
	require.InDelta(t, 1.7, chaincost.HallNoise(1), 1e-9)
	require.InDelta(t, 1, chaincost.EndpointNoise(0), 1e-9)
	require.InDelta(t, 1.2, chaincost.EndpointNoise(1), 1e-9)
}

// Guards against costs of an earlier search that remain in the reused memory.
func TestReusedMemoryIsOverwritten(t *testing.T) {
	require.Equal(t, []float64{chaincost.RemoteEntry, 0}, chaincost.Entries([]float64{9}[:0], []string{"a", "b"}, "b"))
	in, across, inf := chaincost.HopInHall, chaincost.HopAcrossHalls, math.Inf(1)
	rows := chaincost.Hops(nil, 3, inf)
	require.Equal(t, [][]float64{{in, inf, inf}, {inf, in, inf}, {inf, inf, in}}, rows)
	rows = chaincost.Hops(rows, 2, across)
	require.Equal(t, [][]float64{{in, across}, {across, in}}, rows)
	require.Equal(t, [][]float64{{in, inf, inf}, {inf, in, inf}, {inf, inf, in}}, chaincost.Hops(rows, 3, inf))
}
