// Package place decides which layers an endpoint without any shall load.
package place

import (
	"cmp"
	"slices"

	"github.com/grademill/grademill/decide/flow"
	"github.com/grademill/grademill/decide/layer"
)

// Model is a model that may need more endpoints.
type Model struct {
	// Service is the service that the model is for.
	Service string
	// Layers is the number of layers, and PerEngine how many an endpoint
	// without any can take.
	Layers, PerEngine int
	// Held are the ranges held now, each with its capacity.
	Held []flow.Edge
}

// Host is an endpoint without layers.
type Host struct {
	Name string
	// Allowed reports whether the policies let a service's model be loaded here.
	Allowed func(service string) bool
}

// Order is one decision.
type Order struct {
	Host    string
	Service string
	Layers  layer.Range
	// Gain is what the bound rises by; 0 where a stage is missing altogether
	// and more than one order is needed.
	Gain float64
}

// Planner plans orders. The zero Planner is ready.
type Planner struct {
	// Capacity is what a new endpoint is taken to carry; zero means 1.
	Capacity float64
}

// Plan returns at most one order for each host. Each goes to the range whose
// lack costs most: first to models that cannot serve at all, then by what the
// bound of the model rises by. Models that serve get no more endpoints.
func (p Planner) Plan(models []Model, hosts []Host) []Order {
	models = slices.Clone(models)
	slices.SortFunc(models, func(a, b Model) int { return cmp.Compare(a.Service, b.Service) })
	var orders []Order
	for _, host := range hosts {
		best, at := Order{}, -1
		for i, m := range models {
			o, ok := p.missing(m, host)
			if ok && (at < 0 || o.Gain > best.Gain) {
				best, at = o, i
			}
		}
		if at < 0 {
			continue
		}
		models[at].Held = append(slices.Clip(models[at].Held), flow.Edge{Layers: best.Layers, Capacity: p.capacity()})
		orders = append(orders, best)
	}
	return orders
}

func (p Planner) capacity() float64 {
	return cmp.Or(p.Capacity, 1)
}

// missing returns the order that helps a model most that cannot serve now.
func (p Planner) missing(m Model, host Host) (Order, bool) {
	if m.PerEngine <= 0 || !host.Allowed(m.Service) {
		return Order{}, false
	}
	network := flow.Network{Layers: m.Layers, Edges: m.Held}
	if network.Bound() > 0 {
		return Order{}, false
	}
	best, found := Order{Host: host.Name, Service: m.Service}, false
	for _, r := range p.ranges(m) {
		if covered(m.Held, r) {
			continue
		}
		gain := network.With(flow.Edge{Layers: r, Capacity: p.capacity()}).Bound()
		if !found || gain > best.Gain {
			best.Layers, best.Gain, found = r, gain, true
		}
	}
	return best, found
}

// ranges returns the ranges that an endpoint may be told to load: those held
// somewhere that fit, and the model cut into even parts.
func (p Planner) ranges(m Model) []layer.Range {
	var ranges []layer.Range
	for _, cut := range m.gaps() {
		for first := cut.First; first < cut.End; first += m.PerEngine {
			ranges = append(ranges, layer.Range{First: first, End: min(first+m.PerEngine, cut.End)})
		}
	}
	return ranges
}

// gaps returns the parts of the model that nobody holds.
func (m Model) gaps() []layer.Range {
	held := make([]bool, m.Layers)
	for _, e := range m.Held {
		for l := e.Layers.First; l < min(e.Layers.End, m.Layers); l++ {
			held[l] = true
		}
	}
	var gaps []layer.Range
	for l := 0; l < m.Layers; l++ {
		if held[l] {
			continue
		}
		first := l
		for l < m.Layers && !held[l] {
			l++
		}
		gaps = append(gaps, layer.Range{First: first, End: l})
	}
	return gaps
}

// covered reports whether r is held as it is.
func covered(held []flow.Edge, r layer.Range) bool {
	return slices.ContainsFunc(held, func(e flow.Edge) bool { return e.Layers == r })
}
