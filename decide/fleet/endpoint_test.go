package fleet_test

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/layer"
)

// TestEndpointNamesInTheStatus compares the JSON keys of Endpoint with those of earlier versions: a
// renamed field would change the status of the admin API.
func TestEndpointNamesInTheStatus(t *testing.T) {
	text, err := json.Marshal(fleet.Endpoint{
		Name: "a", Address: "a.example:1", Hall: "north", Incarnation: 1, Epoch: 2, Service: "plan",
		Layers: layer.Range{First: 3, End: 4}, Leaving: true, StepTime: time.Millisecond, Sessions: 5,
		Limit: 6, Batch: 7, Seen: time.Unix(8, 0),
	})
	require.NoError(t, err)
	var fields map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(text, &fields))
	require.ElementsMatch(t, []string{
		"Name", "Address", "Hall", "Incarnation", "Epoch", "Service", "Layers", "Leaving", "StepTime",
		"Sessions", "Limit", "Batch", "Seen",
	}, slices.Collect(maps.Keys(fields)))
}
