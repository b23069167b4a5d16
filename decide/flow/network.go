// Package flow computes an upper bound on the throughput of a model spread over endpoints: the
// maximum flow through a network whose nodes are the boundaries between layers and whose edges
// are the endpoints' ranges of layers.
package flow

import (
	"slices"

	"github.com/grademill/grademill/decide/layer"
)

// Edge is an endpoint's range of layers with its capacity, for example in tokens per second.
type Edge struct {
	Layers   layer.Range
	Capacity float64
}

// Network is a model's layers and the endpoints that hold them.
type Network struct {
	// Layers is the number of layers of the model.
	Layers int
	Edges  []Edge
}

// With returns the network with one more edge.
func (n Network) With(e Edge) Network {
	n.Edges = append(slices.Clip(n.Edges), e)
	return n
}

// Bound returns the maximum flow from the first layer to the last (Edmonds and Karp 1972), in
// the unit of the capacities.
func (n Network) Bound() float64 {
	g := n.residualGraph()
	total := 0.0
	for {
		path := g.shortestPath()
		if path == nil {
			return total
		}
		total += g.push(path)
	}
}

// graph is the residual network; arc i^1 is the reverse of arc i.
type graph struct {
	arcs  []arc
	out   [][]int // arcs by node
	sink  int
	nodes int
}

type arc struct {
	to       int
	residual float64
}

// residualGraph builds the residual network. Its nodes are the boundaries between layers, node
// 0 the source.
func (n Network) residualGraph() *graph {
	boundaries := []int{0, n.Layers}
	for _, e := range n.Edges {
		boundaries = append(boundaries, e.Layers.First, e.Layers.End)
	}
	slices.Sort(boundaries)
	boundaries = slices.Compact(boundaries)
	source, _ := slices.BinarySearch(boundaries, 0)
	sink, _ := slices.BinarySearch(boundaries, n.Layers)
	g := &graph{out: make([][]int, len(boundaries)), sink: sink - source, nodes: len(boundaries)}
	merged := make(map[[2]int]float64)
	for _, e := range n.Edges {
		from, _ := slices.BinarySearch(boundaries, e.Layers.First)
		to, _ := slices.BinarySearch(boundaries, e.Layers.End)
		if !e.Layers.Empty() {
			merged[[2]int{from - source, to - source}] += e.Capacity
		}
	}
	for ends, capacity := range merged {
		g.add(ends[0], ends[1], capacity)
	}
	return g
}

func (g *graph) add(from, to int, capacity float64) {
	g.out[from] = append(g.out[from], len(g.arcs))
	g.arcs = append(g.arcs, arc{to, capacity})
	g.out[to] = append(g.out[to], len(g.arcs))
	g.arcs = append(g.arcs, arc{from, 0})
}

// epsilon is the residual capacity below which an arc counts as saturated.
const epsilon = 1e-9

// shortestPath returns the arcs of an augmenting path with the fewest arcs, or nil when there
// is none.
func (g *graph) shortestPath() []int {
	via := make([]int, g.nodes)
	for i := range via {
		via[i] = -1
	}
	queue := []int{0}
	for len(queue) > 0 && via[g.sink] < 0 {
		node := queue[0]
		queue = queue[1:]
		for _, i := range g.out[node] {
			to := g.arcs[i].to
			if g.arcs[i].residual > epsilon && via[to] < 0 && to != 0 {
				via[to] = i
				queue = append(queue, to)
			}
		}
	}
	if via[g.sink] < 0 {
		return nil
	}
	var path []int
	for node := g.sink; node != 0; node = g.arcs[via[node]^1].to {
		path = append(path, via[node])
	}
	return path
}

// push augments the flow along path and returns the amount.
func (g *graph) push(path []int) float64 {
	residual := g.arcs[path[0]].residual
	for _, i := range path {
		residual = min(residual, g.arcs[i].residual)
	}
	for _, i := range path {
		g.arcs[i].residual -= residual
		g.arcs[i^1].residual += residual
	}
	return residual
}
