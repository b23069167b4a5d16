package fleetindex_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/endpoint"
	"github.com/grademill/grademill/state/fleetindex"
	"github.com/grademill/grademill/state/roster"
)

func TestIndex(t *testing.T) {
	a := &roster.Record{Endpoint: endpoint.Endpoint{ID: "a", Address: "a:1", Hall: "south", Service: "plan"}}
	b := &roster.Record{Endpoint: endpoint.Endpoint{ID: "b", Address: "b:1", Hall: "north", Service: "plan", Leaving: true}}
	x := fleetindex.New([]*roster.Record{a, b}, func(r *roster.Record) *roster.Record { return r })
	require.Equal(t, map[string][]*roster.Record{"plan": {a}}, x.Open)
	require.Equal(t, map[string]*roster.Record{"a": a, "b": b}, x.ByID)
	require.Equal(t, map[string]*roster.Record{"a:1": a, "b:1": b}, x.ByAddress)
	require.Equal(t, []*roster.Record{b}, x.ByHall["north"])
	require.Equal(t, []string{"north", "south"}, x.Halls())
	require.Empty(t, new(fleetindex.Index[string]).Halls())
}
