package flow_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/flow"
	"github.com/grademill/grademill/decide/layer"
)

func edge(first, end int, capacity float64) flow.Edge {
	return flow.Edge{Layers: layer.Range{First: first, End: end}, Capacity: capacity}
}

// The expected bounds are computed by hand.
func TestBound(t *testing.T) {
	cases := []struct {
		name  string
		edges []flow.Edge
		want  float64
	}{
		{"nothing", nil, 0},
		{"one endpoint with all layers", []flow.Edge{edge(0, 12, 5)}, 5},
		{"slowest stage", []flow.Edge{edge(0, 4, 9), edge(4, 8, 3), edge(8, 12, 7)}, 3},
		{"replicas add up", []flow.Edge{edge(0, 6, 2), edge(0, 6, 3), edge(6, 12, 4)}, 4},
		{"missing stage", []flow.Edge{edge(0, 4, 9), edge(8, 12, 7)}, 0},
		{"two ways around", []flow.Edge{edge(0, 4, 5), edge(4, 12, 2), edge(4, 8, 2), edge(8, 12, 9), edge(0, 12, 1)}, 5},
		{"boundaries that do not meet", []flow.Edge{edge(0, 6, 5), edge(4, 12, 5)}, 0},
		{"flow that must be rerouted", []flow.Edge{
			edge(0, 4, 1), edge(0, 8, 1), edge(4, 8, 1), edge(4, 12, 1), edge(8, 12, 1),
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.InDelta(t, c.want, flow.Network{Layers: 12, Edges: c.edges}.Bound(), 1e-6)
		})
	}
}
