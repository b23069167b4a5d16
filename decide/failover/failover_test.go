package failover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/failover"
)

func TestTime(t *testing.T) {
	const alone = 100 * time.Millisecond
	cases := []struct {
		name        string
		parts       []failover.Reader
		fleetFactor float64
		want        time.Duration
	}{
		{"nothing to read", nil, 1, 0},
		{"alone", []failover.Reader{{OwnPrompts: 1, Share: 0.1, TimeFactor: 8}}, 1, 80 * time.Millisecond},
		{"behind prompts of other gateways", []failover.Reader{{OwnPrompts: 1, OtherPrompts: 4, Share: 0.1, TimeFactor: 8}}, 1, 400 * time.Millisecond},
		{"the slowest part determines the result", []failover.Reader{{OwnPrompts: 1, Share: 0.1, TimeFactor: 8}, {OwnPrompts: 1, Share: 0.9, TimeFactor: 3}}, 1, 270 * time.Millisecond},
		{"all gateways move streams", []failover.Reader{{OwnPrompts: 2, Share: 0.1, TimeFactor: 8}}, 20, 2440 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.InDelta(t, c.want, failover.ReadTime(c.parts, alone, c.fleetFactor), float64(time.Millisecond))
		})
	}
}

// A stream must move if its next event is then in time, or if another chain is hardly faster.
func TestLeave(t *testing.T) {
	require.False(t, failover.ShouldRestart(100*time.Millisecond, 0, 200*time.Millisecond))
	require.False(t, failover.ShouldRestart(300*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond))
	require.True(t, failover.ShouldRestart(300*time.Millisecond, 100*time.Millisecond, 200*time.Millisecond))
	require.True(t, failover.ShouldRestart(300*time.Millisecond, 100*time.Millisecond, -time.Second))
}

// Guards against a ratio that is unbounded at a gateway with few of the requests, or less than that
// of a gateway with all of them.
func TestFleetFactorIsBounded(t *testing.T) {
	for _, c := range []struct {
		own, others int64
		want        float64
	}{{0, 0, 1}, {0, 10, 1}, {10, 0, 1}, {10, -1, 1}, {10, 5, 1.5}, {1, 63, 64}, {1, 500, 64}} {
		require.InDelta(t, c.want, failover.FleetFactor(c.own, c.others), 1e-9, c)
	}
}
