package config_test

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/config"
)

func change(kind config.Kind, name, body string) config.Change {
	return config.Change{Kind: kind, Name: name, Body: []byte(body)}
}

func TestStateIsNeverChangedInPlace(t *testing.T) {
	var zero config.State
	one, err := zero.With(1, change(config.KindTeam, "desk", `{"weight":2}`))
	require.NoError(t, err)
	two, err := one.With(2, change(config.KindTeam, "desk", `{"weight":3}`))
	require.NoError(t, err)
	three, err := two.With(3, change(config.KindTeam, "desk", ""))
	require.NoError(t, err)
	require.Empty(t, zero.Teams)
	require.InDelta(t, 2, one.Teams["desk"].Value.Weight, 0)
	require.Equal(t, uint64(2), two.ObjectRevision(config.KindTeam, "desk"))
	require.Zero(t, three.ObjectRevision(config.KindTeam, "desk"))
}

// Guards against a team from which its last service is taken away being allowed all services, also once the state has
// been stored and read again.
func TestTeamWithoutServicesMayCallNone(t *testing.T) {
	for body, want := range map[string]bool{`{}`: true, `{"services":["plan"]}`: true, `{"services":["other"]}`: false, `{"services":[]}`: false} {
		state, err := new(config.State).With(1, change(config.KindTeam, "desk", body))
		require.NoError(t, err)
		stored, err := json.Marshal(state)
		require.NoError(t, err)
		var read config.State
		require.NoError(t, json.Unmarshal(stored, &read))
		for _, s := range []*config.State{state, &read} {
			require.Equal(t, want, s.Teams["desk"].Value.MayCall("plan"), body)
		}
	}
}

func TestChangesFollowEachOther(t *testing.T) {
	var zero config.State
	for _, revision := range []uint64{0, 2} {
		_, err := zero.With(revision, change(config.KindTeam, "desk", `{}`))
		var order *config.OrderError
		require.True(t, errors.As(err, &order))
	}
}

func TestCheck(t *testing.T) {
	const hash = `"0000000000000000000000000000000000000000000000000000000000000000"`
	cases := []struct {
		name, object string
		kind         config.Kind
		body, field  string
		ok           bool
	}{
		{"model", "m", config.KindService, `{"kind":"model","model":"toy","layers":12,"repeatable":true}`, "", true},
		{"model without layers", "m", config.KindService, `{"kind":"model","model":"toy"}`, "layers", false},
		{"plain", "p", config.KindService, `{"kind":"plain"}`, "", true},
		{"team", "t", config.KindTeam, `{"weight":2,"key_sha256":[` + hash + `]}`, "", true},
		{"team with a short hash", "t", config.KindTeam, `{"key_sha256":["abc"]}`, "keysha256[0]", false},
		{"team with a negative weight", "t", config.KindTeam, `{"weight":-1}`, "weight", false},
		{"policy without match", "p", config.KindPolicy, `{}`, "match", false},
		{"unknown member", "p", config.KindPolicy, `{"match":"true","prio":"1"}`, "", false},
		{"two values", "t", config.KindTeam, `{}{}`, "", false},
		{"name in capitals", "T", config.KindTeam, `{}`, "name", false},
		{"empty name", "", config.KindTeam, `{}`, "name", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := config.Check(c.kind, c.object, []byte(c.body))
			if c.ok {
				require.NoError(t, err)
				return
			}
			var invalid *config.InvalidError
			require.True(t, errors.As(err, &invalid), "%v", err)
			require.Equal(t, c.field, invalid.Field)
		})
	}
}

func FuzzCheck(f *testing.F) {
	for _, body := range []string{`{"kind":"plain"}`, `{"match":"true"}`, `{"weight":1}`, `{`, `[]`, `null`, "\xff"} {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body string) {
		for _, kind := range []config.Kind{config.KindService, config.KindTeam, config.KindPolicy} {
			if config.Check(kind, "x", []byte(body)) != nil {
				continue
			}
			var zero config.State
			_, err := zero.With(1, change(kind, "x", body))
			require.NoError(t, err, "an accepted object can be applied")
		}
	})
}
