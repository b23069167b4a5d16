package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAccount checks that the account of a report gives the score lost by each part and by the prices,
// and the share of it that no gateway could have avoided.
func TestAccount(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a-day.json")
	require.NoError(t, os.WriteFile(path, []byte(`{
		"parts": [["whole day", 0.5, 0.8], ["nines", 0.5, 0.6667]],
		"prices": [["orders", 7, 0.01], ["loads", 2, 0.02]],
		"all": {"n": 1100, "not_owed": 100, "late": 50},
		"unserved_by": [["503", 4, []], ["no connection", 6, []]]
	}`), 0o600))
	a, err := readAccount(path)
	require.NoError(t, err)
	require.Equal(t, "a-day", a.day)
	require.InDelta(t, 0.5*0.8+0.5*0.6667-0.03, a.score, 1e-9)
	require.InDelta(t, 0.1, a.lost["whole day"], 1e-9)
	require.InDelta(t, 0.03, a.prices, 1e-9)
	require.InDelta(t, 0.05, a.late, 1e-9)
	require.InDelta(t, 0.01, a.unserved, 1e-9)
	require.InDelta(t, 0.006, a.unreachable, 1e-9)
	require.InDelta(t, 0.5*(nines(0.004)-nines(0.01)), a.unreachableScore, 1e-9)

	_, err = readAccount(filepath.Join(t.TempDir(), "missing.json"))
	require.ErrorIs(t, err, os.ErrNotExist)
}
