package chaincost_test

import (
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
	var noise chaincost.HallNoise
	require.InDelta(t, 1, noise.Factor("least", func() float64 { return 0 }), 1e-9)
	require.InDelta(t, 1.7, noise.Factor("most", func() float64 { return 1 }), 1e-9)
	require.InDelta(t, 1, chaincost.EndpointNoise(0), 1e-9)
	require.InDelta(t, 1.2, chaincost.EndpointNoise(1), 1e-9)
}

// Guards against factors of an earlier request that remain in the reused memory, and against a factor that differs
// from one endpoint of a hall to the next.
func TestHallNoiseIsDrawnOncePerRequest(t *testing.T) {
	var noise chaincost.HallNoise
	for _, random := range []float64{0.2, 0.4} {
		noise.Reset()
		drawn := 0
		draw := func() float64 { drawn++; return random }
		for range 3 {
			for _, hall := range []string{"a", "b"} {
				require.InDelta(t, 1+0.7*random, noise.Factor(hall, draw), 1e-9)
			}
		}
		require.Equal(t, 2, drawn)
	}
}
