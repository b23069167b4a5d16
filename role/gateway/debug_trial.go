package gateway

import (
	"time"
)

func (g *Gateway) debugRoom(now time.Time) {
	c := g.catalog.Load()
	if c == nil || g.overload.Position() > 0.06 {
		return
	}
	if now.Sub(g.debugAt) < time.Second {
		return
	}
	g.debugAt = now
	for name, backends := range g.fleet.Load().open {
		s := c.Services[name]
		if s == nil || s.Model == nil {
			continue
		}
		m := s.Model
		type sum struct{ room, held float64 }
		byHall := map[string][]sum{}
		for _, b := range backends {
			if byHall[b.Hall] == nil {
				byHall[b.Hall] = make([]sum, m.Layers)
			}
			n := float64(b.Layers.Len())
			if n == 0 {
				continue
			}
			room, _ := b.room(m, 0)
			held := float64(b.use.held.Load() + b.use.othersHeld.Load())
			for l := b.Layers.First; l < b.Layers.End && l < m.Layers; l++ {
				byHall[b.Hall][l].room += room / n
				byHall[b.Hall][l].held += held / n
			}
		}
		for hall, list := range byHall {
			worst, least := 0, 1e18
			for l, x := range list {
				if f := x.room - x.held; f < least {
					least, worst = f, l
				}
			}
			mean := 0.0
			for _, x := range list {
				mean += x.held / max(x.room, 1)
			}
			slots, entered := 0.0, 0.0
			for _, b := range backends {
				if b.Hall == hall && b.Layers.First == 0 && b.Layers.Len() > 0 {
					slots += float64(b.Slots)
					entered += float64(b.use.entered.Load() + b.use.othersEntered.Load())
				}
			}
			g.Log.Info().Str("hall", hall).Int("layer", worst).Float64("room", list[worst].room).Float64("free", least).
				Float64("fill", list[worst].held/max(1, list[worst].room)).Float64("mean_fill", mean/float64(len(list))).
				Float64("slots", slots).Float64("entered", entered).Msg("debug room")
		}
	}
}
