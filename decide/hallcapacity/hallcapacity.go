// Package hallcapacity estimates how many requests per second the endpoints of a data hall can
// serve, from the memory and the slots of the holders of each layer.
package hallcapacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/hallsplit"
	"github.com/grademill/grademill/decide/layer"
)

const (
	// defaultDuration is the duration of a request while none is known, as in decide/capacity.
	defaultDuration = 3 * time.Second
	// linkShare is the part of the links between halls that requests from other halls may use, as in
	// state/linklimit.
	linkShare = 0.4
	// tokenBytes bounds the bytes that a token of a request takes on a link. A chain that runs within
	// one hall sends only texts to other halls: an event with one token and its framing is shorter.
	tokenBytes = 256
	megabyte   = 1e6
)

// Holder is an endpoint that holds layers.
type Holder struct {
	Hall string
	// Layers is within the layers of the model.
	Layers layer.Range
	// Room is the number of tokens for which it has memory beside its layers, Slots the number of
	// requests that may begin there at the same time.
	Room, Slots int
}

// Request is a typical request of a service.
type Request struct {
	// Tokens is the number of tokens for which it holds memory, above 0.
	Tokens float64
	// Duration is 0 while unknown.
	Duration time.Duration
}

// Halls returns the capacity and the bound of the links of each hall that has holders, ordered by
// name; the demand is 0. The capacity is the room of the holders of the layer with the least room,
// in requests, divided by the duration of a request, and at most what the slots of the holders of
// the first layer allow. It is 0 for a hall that lacks a layer.
func Halls(m *catalog.Model, holders []Holder, typical Request) []hallsplit.Hall {
	byHall := make(map[string]*site)
	for _, h := range holders {
		s := byHall[h.Hall]
		if s == nil {
			s = &site{change: make([]float64, max(m.Layers, 0)+1)}
			byHall[h.Hall] = s
		}
		s.add(h)
	}
	halls := make([]hallsplit.Hall, 0, len(byHall))
	for name, s := range byHall {
		h := hallsplit.Hall{Name: name, Capacity: s.capacity(typical)}
		if typical.Tokens > 0 { // the halls share one link
			h.LinkRate = linkShare * m.LinkRate * megabyte / (tokenBytes * typical.Tokens) / float64(len(byHall))
		}
		halls = append(halls, h)
	}
	slices.SortFunc(halls, func(a, b hallsplit.Hall) int { return cmp.Compare(a.Name, b.Name) })
	return halls
}

// site sums what the holders of one hall have.
type site struct {
	// change is the change of the room from each layer to the next, with one element more than the
	// model has layers.
	change []float64
	// slots is the number of slots of the holders of the first layer.
	slots float64
}

// add adds a holder.
func (s *site) add(h Holder) {
	first, end := max(h.Layers.First, 0), min(h.Layers.End, len(s.change)-1)
	if first >= end || h.Room <= 0 {
		return
	}
	s.change[first] += float64(h.Room)
	s.change[end] -= float64(h.Room)
	if first == 0 {
		s.slots += float64(h.Slots)
	}
}

// capacity returns the capacity in requests per second.
func (s *site) capacity(typical Request) float64 {
	layers := len(s.change) - 1
	if layers == 0 || typical.Tokens <= 0 {
		return 0
	}
	room, least := 0.0, math.Inf(1)
	for _, c := range s.change[:layers] {
		room += c
		least = min(least, room)
	}
	duration := typical.Duration
	if duration <= 0 {
		duration = defaultDuration
	}
	return max(min(least/typical.Tokens, s.slots), 0) / duration.Seconds()
}
