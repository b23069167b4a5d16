package apikey_test

import (
	"maps"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/apikey"
)

// Guards against a registry without keys being taken for one that needs none.
func TestRegistryWithoutKeysRequiresOne(t *testing.T) {
	for name, r := range map[string]apikey.Registry[string]{
		"zero value": {}, "no keys": apikey.New(maps.All(map[string]string{})),
	} {
		require.True(t, r.Required(), name)
		require.Zero(t, r.Len(), name)
		_, ok := r.Holder("")
		require.False(t, ok, name)
	}
	require.False(t, apikey.Optional[string]().Required())
}

func TestHolder(t *testing.T) {
	r := apikey.New(maps.All(map[string]string{"k1": "north", "k2": "north", "k3": "south"}))
	require.True(t, r.Required())
	require.Equal(t, 3, r.Len())
	for key, want := range map[string]string{"k1": "north", "k2": "north", "k3": "south", "k4": ""} {
		holder, ok := r.Holder(key)
		require.Equal(t, want, holder)
		require.Equal(t, want != "", ok)
	}
}

// Guards against an empty key that admits requests without one, and against a key that admits its holder as whichever of
// several holders comes last.
func TestEmptyAndSharedKeysAdmitNobody(t *testing.T) {
	held := [][2]string{{"", "north"}, {"k1", "north"}, {"k1", "south"}, {"k1", "north"}, {"k2", "north"}, {"k2", "north"}}
	r := apikey.New(func(yield func(string, string) bool) {
		for _, h := range held {
			if !yield(h[0], h[1]) {
				return
			}
		}
	})
	require.Equal(t, 1, r.Len())
	for _, key := range []string{"", "k1"} {
		_, ok := r.Holder(key)
		require.False(t, ok, key)
	}
	holder, ok := r.Holder("k2")
	require.True(t, ok, "twice at one holder")
	require.Equal(t, "north", holder)
}
