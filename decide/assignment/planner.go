// Package assignment plans which layers idle endpoints load for models that cannot serve
// because layers are missing. Planner.Plan returns the orders.
package assignment

import (
	"cmp"
	"slices"

	"github.com/grademill/grademill/decide/flow"
	"github.com/grademill/grademill/decide/layer"
)

// Model is a model that may need more endpoints.
type Model struct {
	// Service is the service that offers the model.
	Service string
	// Layers is the number of layers, PerEngine the number that one idle endpoint can load; 0
	// turns placement off.
	Layers, PerEngine int
	// Held are the ranges that endpoints hold now, with their capacities.
	Held []flow.Edge
}

// Host is an endpoint without layers.
type Host struct {
	Name string
	// Allowed reports whether the policies let the model of a service be loaded here.
	Allowed func(service string) bool
}

// Order tells a host to load a range of layers of a service's model.
type Order struct {
	Host    string
	Service string
	Layers  layer.Range
	// Gain is the rise of the model's throughput bound; 0 where the model needs further orders
	// before it can serve.
	Gain float64
}

// Planner plans orders. The zero Planner is ready to use.
type Planner struct {
	// Capacity is the assumed capacity of a new endpoint; zero means 1.
	Capacity float64
}

// Plan returns at most one order for each host. Only models that cannot serve at all get
// orders. Each host goes to the model and range with the largest gain, on a tie to the service
// first by name.
func (p Planner) Plan(models []Model, hosts []Host) []Order {
	models = slices.Clone(models)
	slices.SortFunc(models, func(a, b Model) int { return cmp.Compare(a.Service, b.Service) })
	var orders []Order
	for _, host := range hosts {
		best, at := Order{}, -1
		for i, m := range models {
			o, ok := p.bestOrder(m, host)
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

// bestOrder returns the order of the largest gain for a model, and false when the model can
// serve, placement is off, or a policy forbids the host.
func (p Planner) bestOrder(m Model, host Host) (Order, bool) {
	if m.PerEngine <= 0 || !host.Allowed(m.Service) {
		return Order{}, false
	}
	network := flow.Network{Layers: m.Layers, Edges: m.Held}
	if network.Bound() > 0 {
		return Order{}, false
	}
	best, found := Order{Host: host.Name, Service: m.Service}, false
	for _, r := range p.ranges(m) {
		if isHeld(m.Held, r) {
			continue
		}
		gain := network.With(flow.Edge{Layers: r, Capacity: p.capacity()}).Bound()
		if !found || gain > best.Gain {
			best.Layers, best.Gain, found = r, gain, true
		}
	}
	return best, found
}

// ranges returns the uncovered layers of a model, cut into ranges of at most PerEngine layers.
func (p Planner) ranges(m Model) []layer.Range {
	var ranges []layer.Range
	for _, gap := range m.uncovered() {
		for first := gap.First; first < gap.End; first += m.PerEngine {
			ranges = append(ranges, layer.Range{First: first, End: min(first+m.PerEngine, gap.End)})
		}
	}
	return ranges
}

// uncovered returns the runs of layers that no endpoint holds.
func (m Model) uncovered() []layer.Range {
	held := make([]bool, m.Layers)
	for _, e := range m.Held {
		for l := e.Layers.First; l < min(e.Layers.End, m.Layers); l++ {
			held[l] = true
		}
	}
	var uncovered []layer.Range
	for l := 0; l < m.Layers; l++ {
		if held[l] {
			continue
		}
		first := l
		for l < m.Layers && !held[l] {
			l++
		}
		uncovered = append(uncovered, layer.Range{First: first, End: l})
	}
	return uncovered
}

// isHeld reports whether an endpoint holds exactly r.
func isHeld(held []flow.Edge, r layer.Range) bool {
	return slices.ContainsFunc(held, func(e flow.Edge) bool { return e.Layers == r })
}
