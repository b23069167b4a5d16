package kv_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/port/kv"
)

// TestStoreNamesOnTheWire compares the JSON of Write and Pair with that of earlier versions: a
// renamed field would change the store's protocol.
func TestStoreNamesOnTheWire(t *testing.T) {
	cases := []struct {
		name    string
		value   any
		decoded any // a pointer to the zero value of the same type
		json    string
	}{
		{
			"Write",
			&kv.Write{Key: "k", Value: []byte("v"), If: 7, Lease: "l"},
			&kv.Write{},
			`{"Key":"k","Value":"dg==","If":7,"Lease":"l"}`,
		},
		{
			"Pair",
			&kv.Pair{Key: "k", Value: []byte("v"), Revision: 7, Deleted: true},
			&kv.Pair{},
			`{"Key":"k","Value":"dg==","Revision":7,"Deleted":true}`,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text, err := json.Marshal(c.value)
			require.NoError(t, err)
			require.Equal(t, c.json, string(text))
			require.NoError(t, json.Unmarshal([]byte(c.json), c.decoded))
			require.Equal(t, c.value, c.decoded)
		})
	}
}
