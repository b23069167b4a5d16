package reread_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/reread"
)

func TestTime(t *testing.T) {
	const alone = 100 * time.Millisecond
	cases := []struct {
		name        string
		parts       []reread.Reader
		fleetFactor float64
		want        time.Duration
	}{
		{"nothing to read", nil, 1, 0},
		{"alone", []reread.Reader{{OwnPrompts: 1, Share: 0.1, TimeFactor: 8}}, 1, 80 * time.Millisecond},
		{"behind prompts of other gateways", []reread.Reader{{OwnPrompts: 1, OtherPrompts: 4, Share: 0.1, TimeFactor: 8}}, 1, 400 * time.Millisecond},
		{"the slowest part determines the result", []reread.Reader{{OwnPrompts: 1, Share: 0.1, TimeFactor: 8}, {OwnPrompts: 1, Share: 0.9, TimeFactor: 3}}, 1, 270 * time.Millisecond},
		{"all gateways move streams", []reread.Reader{{OwnPrompts: 2, Share: 0.1, TimeFactor: 8}}, 20, 2440 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.InDelta(t, c.want, reread.ReadTime(c.parts, alone, c.fleetFactor), float64(time.Millisecond))
		})
	}
}

// A stream must move if its next event is then in time, or if another chain is hardly faster.
func TestLeave(t *testing.T) {
	require.False(t, reread.ShouldRestart(100*time.Millisecond, 0, 200*time.Millisecond))
	require.False(t, reread.ShouldRestart(300*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond))
	require.True(t, reread.ShouldRestart(300*time.Millisecond, 100*time.Millisecond, 200*time.Millisecond))
	require.True(t, reread.ShouldRestart(300*time.Millisecond, 100*time.Millisecond, -time.Second))
}
