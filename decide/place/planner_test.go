package place_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/flow"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/place"
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
	two := []place.Host{{Name: "h1", Allowed: anywhere}, {Name: "h2", Allowed: anywhere}}
	whole := place.Model{Service: "a", Layers: 12, PerEngine: 4, Held: held(layer.Range{End: 12})}
	gap := place.Model{Service: "b", Layers: 12, PerEngine: 4, Held: held(layer.Range{End: 4}, layer.Range{First: 8, End: 12})}
	cases := []struct {
		name   string
		models []place.Model
		hosts  []place.Host
		want   []place.Order
	}{
		{"nothing is missing", []place.Model{whole}, two, nil},
		{"a missing range is ordered once", []place.Model{whole, gap}, two, []place.Order{
			{Host: "h1", Service: "b", Layers: layer.Range{First: 4, End: 8}, Gain: 1},
		}},
		{"a model without endpoints", []place.Model{{Service: "c", Layers: 6, PerEngine: 4}}, two, []place.Order{
			{Host: "h1", Service: "c", Layers: layer.Range{End: 4}},
			{Host: "h2", Service: "c", Layers: layer.Range{First: 4, End: 6}, Gain: 1},
		}},
		{"a policy forbids the host", []place.Model{gap}, []place.Host{{Name: "h", Allowed: func(string) bool { return false }}}, nil},
		{"placement is off", []place.Model{{Service: "d", Layers: 6}}, two, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, place.Planner{}.Plan(c.models, c.hosts))
		})
	}
}
