package assignment_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/assignment"
	"github.com/grademill/grademill/decide/flow"
	"github.com/grademill/grademill/decide/layer"
)

func anywhere(string) bool { return true }

func held(ranges ...layer.Range) []flow.Edge {
	var edges []flow.Edge
	for _, r := range ranges {
		edges = append(edges, flow.Edge{Layers: r, Capacity: 1})
	}
	return edges
}

func TestPlan(t *testing.T) {
	two := []assignment.Host{{Name: "h1", Allowed: anywhere}, {Name: "h2", Allowed: anywhere}}
	whole := assignment.Model{Service: "a", Layers: 12, PerEngine: 4, Held: held(layer.Range{End: 12})}
	gap := assignment.Model{Service: "b", Layers: 12, PerEngine: 4, Held: held(layer.Range{End: 4}, layer.Range{First: 8, End: 12})}
	cases := []struct {
		name   string
		models []assignment.Model
		hosts  []assignment.Host
		want   []assignment.Order
	}{
		{"nothing is missing", []assignment.Model{whole}, two, nil},
		{"a missing range is ordered once", []assignment.Model{whole, gap}, two, []assignment.Order{
			{Host: "h1", Service: "b", Layers: layer.Range{First: 4, End: 8}, Gain: 1},
		}},
		{"a model without endpoints", []assignment.Model{{Service: "c", Layers: 6, PerEngine: 4}}, two, []assignment.Order{
			{Host: "h1", Service: "c", Layers: layer.Range{End: 4}},
			{Host: "h2", Service: "c", Layers: layer.Range{First: 4, End: 6}, Gain: 1},
		}},
		{"a policy forbids the host", []assignment.Model{gap}, []assignment.Host{{Name: "h", Allowed: func(string) bool { return false }}}, nil},
		{"placement is off", []assignment.Model{{Service: "d", Layers: 6}}, two, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, assignment.Planner{}.Plan(c.models, c.hosts))
		})
	}
}
