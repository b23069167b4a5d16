// Package flow computes the bound on throughput: the largest flow through the
// cuts between layers, where each endpoint is an edge across the layers that it
// holds.
package flow

import (
	"slices"

	"github.com/grademill/grademill/decide/layer"
)

// Edge is an endpoint's range with its capacity, such as in tokens a second.
type Edge struct {
	Layers   layer.Range
	Capacity float64
}

// Network is a layered model with the endpoints that hold parts of it.
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

// Bound returns the largest flow from layer 0 to the last (Edmonds and Karp
// 1972), in the unit of the capacities.
func (n Network) Bound() float64 {
	g := n.residual()
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
	to   int
	room float64
}

// residual builds the graph; its nodes are the cuts, 0 the source.
func (n Network) residual() *graph {
	cuts := []int{0, n.Layers}
	for _, e := range n.Edges {
		cuts = append(cuts, e.Layers.First, e.Layers.End)
	}
	slices.Sort(cuts)
	cuts = slices.Compact(cuts)
	source, _ := slices.BinarySearch(cuts, 0)
	sink, _ := slices.BinarySearch(cuts, n.Layers)
	g := &graph{out: make([][]int, len(cuts)), sink: sink - source, nodes: len(cuts)}
	merged := make(map[[2]int]float64)
	for _, e := range n.Edges {
		from, _ := slices.BinarySearch(cuts, e.Layers.First)
		to, _ := slices.BinarySearch(cuts, e.Layers.End)
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

// epsilon is the room below which an arc counts as full.
const epsilon = 1e-9

// shortestPath returns the arcs of a path with the fewest arcs that has room,
// or nil.
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
			if g.arcs[i].room > epsilon && via[to] < 0 && to != 0 {
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

// push sends as much as fits along path and returns how much that was.
func (g *graph) push(path []int) float64 {
	room := g.arcs[path[0]].room
	for _, i := range path {
		room = min(room, g.arcs[i].room)
	}
	for _, i := range path {
		g.arcs[i].room -= room
		g.arcs[i^1].room += room
	}
	return room
}
