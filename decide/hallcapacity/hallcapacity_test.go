package hallcapacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/hallcapacity"
	"github.com/grademill/grademill/decide/layer"
)

func holder(hall string, first, end, room, slots int) hallcapacity.Holder {
	return hallcapacity.Holder{Hall: hall, Layers: layer.Range{First: first, End: end}, Room: room, Slots: slots}
}

// Guards against a capacity that ignores the layer with the least room, a missing layer, the slots of
// the first endpoints, or the links.
func TestHalls(t *testing.T) {
	m := &catalog.Model{Layers: 8, LinkRate: 2.56}
	got := hallcapacity.Halls(m, []hallcapacity.Holder{
		holder("room", 0, 4, 6000, 100), holder("room", 2, 8, 3000, 100),
		holder("slots", 0, 8, 6000, 2), holder("slots", 1, 8, 6000, 100),
		holder("gap", 0, 4, 6000, 100), holder("gap", 5, 8, 6000, 100),
		holder("full", 0, 8, -5, 100),
	}, hallcapacity.Request{Tokens: 500, Duration: 2 * time.Second})
	want := map[string]float64{"room": 3, "slots": 1, "gap": 0, "full": 0}
	require.Len(t, got, len(want))
	for _, h := range got {
		require.InDelta(t, want[h.Name], h.Capacity, 1e-9, h.Name)
		require.Zero(t, h.Demand)
		require.InDelta(t, 0.4*2.56e6/(256*500)/4, h.LinkRate, 1e-9)
	}
	require.Empty(t, hallcapacity.Halls(m, nil, hallcapacity.Request{Tokens: 500}))
	one := hallcapacity.Halls(&catalog.Model{Layers: 8}, []hallcapacity.Holder{holder("a", 0, 8, 3000, 9)}, hallcapacity.Request{Tokens: 500})
	require.InDelta(t, 2, one[0].Capacity, 1e-9, "a request of unknown duration takes 3 s")
	require.Zero(t, one[0].LinkRate)
}

func BenchmarkHalls(b *testing.B) {
	var holders []hallcapacity.Holder
	for i := range 3800 {
		first := i * 7 % 74
		holders = append(holders, holder(fmt.Sprint("hall", i%10), first, first+7, 9000, 192))
	}
	b.ReportAllocs()
	for b.Loop() {
		hallcapacity.Halls(&catalog.Model{Layers: 80}, holders, hallcapacity.Request{Tokens: 800, Duration: 3 * time.Second})
	}
}
