package configreplica_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/state/configreplica"
	"github.com/grademill/grademill/state/headlog"
)

func records(from, to uint64) []headlog.Record {
	var all []headlog.Record
	for r := from; r <= to; r++ {
		body := fmt.Appendf(nil, `{"kind":"teams","name":"t","body":{"weight":%d,"key_sha256":["%064d"]}}`, r, r)
		all = append(all, headlog.Record{Revision: r, ID: fmt.Sprint("write-", r), Body: body})
	}
	return all
}

func TestRevisionNeverDecreases(t *testing.T) {
	c := configreplica.New()
	require.NoError(t, c.Apply(records(1, 5)))
	require.NoError(t, c.Apply(records(2, 4)), "records that are already applied are skipped")
	require.NoError(t, c.Install(&config.State{Revision: 3}))
	require.Equal(t, uint64(5), c.Revision())
	require.InDelta(t, 5, c.Current().State.Teams["t"].Value.Weight, 0)
	var missing *config.OrderError
	require.True(t, errors.As(c.Apply(records(7, 8)), &missing))
	require.Equal(t, uint64(5), c.Revision())
	require.Equal(t, uint64(4), c.Find("write-4"))
	require.Zero(t, c.Find("write-9"))
}

func TestPeersCatchUp(t *testing.T) {
	from := configreplica.New()
	require.NoError(t, from.Apply(records(1, 2000)))
	for _, have := range []uint64{0, 10, 1500, 1999, 2000} {
		to := configreplica.New()
		require.NoError(t, to.Apply(records(1, have)))
		reply, err := from.UpdatesSince(to.Revision())
		require.NoError(t, err)
		require.NoError(t, to.ApplyReply(reply))
		require.Equal(t, uint64(2000), to.Revision())
		require.Equal(t, from.Current().State, to.Current().State)
		team, _ := to.Current().Keys.Holder(fmt.Sprintf("%064d", 2000))
		require.Equal(t, "t", team)
	}
}

// Guards against a key of two teams that admits its caller as either of them, at random.
func TestKeyOfTwoTeamsAdmitsNobody(t *testing.T) {
	c := configreplica.New()
	hash := fmt.Sprintf("%064d", 1)
	for i, name := range []string{"north", "south"} {
		require.NoError(t, c.Apply([]headlog.Record{{Revision: uint64(i + 1), ID: name, Body: fmt.Appendf(nil,
			`{"kind":"teams","name":%q,"body":{"key_sha256":[%q]}}`, name, hash)}}))
		team, ok := c.Current().Keys.Holder(hash)
		require.Equal(t, i == 0, ok, team)
	}
}

// A policy that does not compile leaves the former policies in force, while the revision
// advances.
func TestInvalidPolicyKeepsFormerPolicies(t *testing.T) {
	c := configreplica.New()
	require.NoError(t, c.Apply([]headlog.Record{{Revision: 1, ID: "a", Body: []byte(
		`{"kind":"policies","name":"p","body":{"match":"true","priority":"7"}}`)}}))
	former := c.Current().Policies
	require.Error(t, c.Apply([]headlog.Record{{Revision: 2, ID: "b", Body: []byte(
		`{"kind":"policies","name":"p","body":{"match":"nonsense("}}`)}}))
	require.Equal(t, uint64(2), c.Revision())
	require.Same(t, former, c.Current().Policies)
}
