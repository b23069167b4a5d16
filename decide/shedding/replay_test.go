package shedding_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// steady is a load of x times the capacity.
func steady(x float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return x }
}

// between is a load of x from start to end, and of other before and after.
func between(start, end time.Duration, x, other float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= start && at < end {
			return x
		}
		return other
	}
}

// teams returns n kinds of requests that differ in the team alone.
func teams(n, priority int) []kind {
	var kinds []kind
	for i := range n {
		kinds = append(kinds, kind{1, priority, fmt.Sprintf("team%02d", i), 500 * time.Millisecond})
	}
	return kinds
}

func priority(p int) func(kind) bool { return func(k kind) bool { return k.priority == p } }

// small and large are the two deployments of the page, at half the rates of the first one.
func small(kinds []kind, duration time.Duration, offered func(time.Duration) float64) load {
	return load{gateways: 11, capacity: 325, kinds: kinds, duration: duration, offered: offered}
}

func large(kinds []kind, duration time.Duration, offered func(time.Duration) float64) load {
	return load{gateways: 30, capacity: 345, kinds: kinds, duration: duration, offered: offered}
}

// inTime returns the rate of answers in time in the seconds from a to b, in capacities.
func inTime(l load, r result, a, b int) float64 {
	return r.sum(a, b, nil).served / float64(b-a) / l.capacity
}

// Guards against late work that displaces work in time, with the bound of the requirements: 0.9 of the
// capacity over the last 14 s. Returning callers first, which is today's order while they are few, misses
// it. Today's order by urgency is logged: it misses the bound at 1.1, but at 2.4 and 3 only with 30
// gateways and requests of equal duration, since this pool neither rejects nor preempts requests. The bound on the estimate shows that the level
// neither oscillates nor settles beside the capacity.
func TestSteadyOverload(t *testing.T) {
	t.Parallel()
	for name, l := range map[string]load{
		"1.1 at 11": small(teams(9, 1), 30*time.Second, steady(1.1)), "1.1 at 30": large(teams(4, 1), 30*time.Second, steady(1.1)),
		"2.4 at 11": small(teams(9, 1), 28*time.Second, steady(2.4)), "2.4 at 30": large(teams(4, 1), 28*time.Second, steady(2.4)),
		"3 at 11": small(teams(9, 1), 28*time.Second, steady(3)), "3 at 30": large(teams(4, 1), 28*time.Second, steady(3)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, before, urgent := replay(l, byLevel), replay(l, returningFirst), replay(l, byUrgency)
			t.Logf("in time: level %.3f, returning first %.3f, by urgency %.3f", inTime(l, r, 14, 28), inTime(l, before, 14, 28), inTime(l, urgent, 14, 28))
			require.GreaterOrEqual(t, inTime(l, r, 14, 28), 0.9)
			require.Less(t, inTime(l, before, 14, 28), 0.9)
			if strings.HasPrefix(name, "1.1") {
				require.Less(t, inTime(l, urgent, 14, 28), 0.9)
			}
			for second := 14; second < 28; second++ {
				require.InDelta(t, 1, r.seconds[second].capacity/l.capacity, 0.2, second)
			}
		})
	}
}

// Guards against a level that sheds while there is room: at 0.9 of the capacity, with a Poisson
// process, all requests are in time and no level closes; at 0.5 the level does not delay the use of
// the room when the load jumps to twice the capacity.
func TestNothingIsShedWhileThereIsRoom(t *testing.T) {
	t.Parallel()
	r := replay(large(teams(4, 1), 20*time.Second, steady(0.9)), byLevel)
	require.GreaterOrEqual(t, r.sum(0, 20, nil).share(), 0.999)
	for second := range 20 {
		require.InDelta(t, 30, r.seconds[second].open, 0, second)
	}
	l := small(teams(9, 1), 16*time.Second, between(8*time.Second, time.Hour, 2, 0.5))
	r = replay(l, byLevel)
	require.GreaterOrEqual(t, inTime(l, r, 8, 9), 1.5, "the free half is filled in the first second")
	require.InDelta(t, 1, r.seconds[9].capacity/l.capacity, 0.15, "the estimate a second after the room is used up")
}

// Guards against an estimate that follows a wave too late: 0.7 to 1.6 times the capacity with a period
// of 11 s offers at most 0.92 of the capacity in time (the load is below it for 4.3 s of 11).
func TestWave(t *testing.T) {
	t.Parallel()
	l := small(teams(9, 1), 36*time.Second, func(at time.Duration) float64 {
		return 1.15 + 0.45*math.Sin(2*math.Pi*at.Seconds()/11)
	})
	r, before := replay(l, byLevel), replay(l, returningFirst)
	t.Logf("in time: level %.3f, returning first %.3f", inTime(l, r, 14, 36), inTime(l, before, 14, 36))
	require.GreaterOrEqual(t, inTime(l, r, 14, 36), 0.9*0.92)
	require.Less(t, inTime(l, before, 14, 36), 0.9*0.92)
}

// Guards against returning callers who keep a burst alive: 95 in 100 new requests are in time from 2 s
// after the load has fallen under the capacity.
func TestEndOfBurst(t *testing.T) {
	t.Parallel()
	for name, l := range map[string]load{
		"11": small(teams(9, 1), 24*time.Second, between(6*time.Second, 14*time.Second, 2.4, 0.8)),
		"30": large(teams(4, 1), 24*time.Second, between(6*time.Second, 14*time.Second, 2.4, 0.8)),
	} {
		r, before := replay(l, byLevel), replay(l, returningFirst)
		t.Logf("%s: share in time from 2 s after the end: level %.3f, returning first %.3f; in the burst %.3f, %.3f", name,
			r.sum(16, 24, nil).share(), before.sum(16, 24, nil).share(), inTime(l, r, 7, 14), inTime(l, before, 7, 14))
		for second := 16; second < 24; second++ {
			require.GreaterOrEqual(t, r.sum(second, second+1, nil).share(), 0.95, "%s: second %d", name, second)
		}
		require.Less(t, before.sum(16, 24, nil).share(), 0.95)
	}
}

// Guards against a flood of one team at the cost of others: 24 teams at 0.8 of the capacity, one of which
// asks for ten times its usual demand. (At 0.9 the returning callers and the least share of the flood
// leave at most 0.96 of their demand to the others.) The others lose at most 1 in 20; the flood gets at
// least a quarter of the share of all requests.
func TestFloodOfOneTeam(t *testing.T) {
	t.Parallel()
	kinds := teams(24, 1)
	kinds[5].weight = 10
	flood := func(k kind) bool { return k.team == kinds[5].team }
	others := func(k kind) bool { return !flood(k) }
	l := small(kinds, 24*time.Second, steady(0.8*33/24))
	r, before := replay(l, byLevel), replay(l, returningFirst)
	t.Logf("share in time of the others and the flood: level %.3f %.3f, returning first %.3f %.3f",
		r.sum(10, 24, others).share(), r.sum(10, 24, flood).share(), before.sum(10, 24, others).share(), before.sum(10, 24, flood).share())
	require.GreaterOrEqual(t, r.sum(10, 24, others).share(), 0.95)
	require.GreaterOrEqual(t, r.sum(10, 24, flood).share(), 0.25*r.sum(10, 24, nil).share())
	require.Less(t, before.sum(10, 24, others).share(), 0.95)
}

// Guards against priority that does not hold across gateways: teams with priority ask for a fifth of the
// capacity at 3 times the capacity, and 0.95 of their first attempts are in time.
func TestTeamsWithPriority(t *testing.T) {
	t.Parallel()
	kinds := append(teams(4, 1), kind{4 * 0.2 / 2.8, 0, "urgent", 500 * time.Millisecond})
	for name, l := range map[string]load{"11": small(kinds, 28*time.Second, steady(3)), "30": large(kinds, 28*time.Second, steady(3))} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, before := replay(l, byLevel), replay(l, returningFirst)
			t.Logf("%s: share in time with priority: level %.3f, returning first %.3f; all: %.3f, %.3f in capacities", name,
				r.sum(14, 28, priority(0)).share(), before.sum(14, 28, priority(0)).share(), inTime(l, r, 14, 28), inTime(l, before, 14, 28))
			require.GreaterOrEqual(t, r.sum(14, 28, priority(0)).share(), 0.95)
			require.GreaterOrEqual(t, inTime(l, r, 14, 28), 0.9)
		})
	}
}

// Guards against an order that favours long objectives: with 500, 600 and 1,200 ms at the
// priorities 0, 1 and 2, no kind is served worse than a less urgent one by more than 5 in 100, and none
// under a quarter as often as all.
func TestMixedObjectives(t *testing.T) {
	t.Parallel()
	kinds := []kind{
		{1, 0, "a", 500 * time.Millisecond},
		{1, 1, "a", 600 * time.Millisecond},
		{1, 2, "a", 1200 * time.Millisecond},
		{1, 0, "b", 500 * time.Millisecond},
		{1, 1, "b", 600 * time.Millisecond},
		{1, 2, "b", 1200 * time.Millisecond},
	}
	for x, l := range map[float64]load{1.3: small(kinds, 28*time.Second, steady(1.3)), 2.4: large(kinds, 28*time.Second, steady(2.4))} {
		t.Run(fmt.Sprint(x), func(t *testing.T) {
			t.Parallel()
			r, before := replay(l, byLevel), replay(l, returningFirst)
			var shares, sharesBefore []string
			for p := range 3 {
				share := r.sum(10, 28, priority(p)).share()
				shares = append(shares, fmt.Sprintf("%.3f", share))
				sharesBefore = append(sharesBefore, fmt.Sprintf("%.3f", before.sum(10, 28, priority(p)).share()))
				require.GreaterOrEqual(t, share, 0.25*r.sum(10, 28, nil).share(), "%g: priority %d", x, p)
				for less := p + 1; less < 3; less++ {
					require.GreaterOrEqual(t, share, r.sum(10, 28, priority(less)).share()-0.05, "%g: priority %d", x, p)
				}
			}
			t.Logf("%g: shares in time: level %s, returning first %s; in capacities: %.3f, %.3f", x, strings.Join(shares, " "),
				strings.Join(sharesBefore, " "), inTime(l, r, 14, 28), inTime(l, before, 14, 28))
			require.GreaterOrEqual(t, inTime(l, r, 14, 28), 0.9)
		})
	}
}

// Guards against an estimate that does not follow the endpoints: a third of the room is missing from 14 to
// 18 s. Slots that requests hold stay taken, so nothing can start for 1 s, and the gap returns
// 3 s later. Of the 4 s, 2 remain in which requests can start: at most half of the capacity is served, and 0.9 of the whole again from 4 s after the return.
func TestCapacityThatFallsAndComesBack(t *testing.T) {
	t.Parallel()
	l := small(teams(9, 1), 30*time.Second, steady(1.5))
	l.room = between(14*time.Second, 18*time.Second, 2.0/3, 1)
	r, before := replay(l, byLevel), replay(l, returningFirst)
	t.Logf("in time while a third is missing: level %.3f, returning first %.3f; 2 to 4 s after: %.3f, %.3f; from 4 s after: %.3f, %.3f",
		inTime(l, r, 14, 18), inTime(l, before, 14, 18), inTime(l, r, 20, 22), inTime(l, before, 20, 22), inTime(l, r, 22, 30), inTime(l, before, 22, 30))
	require.GreaterOrEqual(t, inTime(l, r, 14, 18), 0.9*0.5)
	require.GreaterOrEqual(t, inTime(l, r, 22, 30), 0.9)
	require.Less(t, inTime(l, before, 22, 30), 0.9)
}

// Guards against failures of gateways that spread: one that ends (its demand moves to the others), one that
// hears nobody for 10 s (it keeps to its part) and half of the fleet of the
// former build, which must not starve the others. In that case durations differ by up to 1 s: with
// requests of exactly 3 s the gateways of the former build keep the slots in surges every 3 s.
func TestFailuresOfGateways(t *testing.T) {
	t.Parallel()
	ends := small(teams(9, 1), 28*time.Second, steady(2.4))
	ends.ended = func(gateway int, at time.Duration) bool { return gateway == 3 && at > 10*time.Second }
	deaf := small(teams(9, 1), 28*time.Second, steady(2.4))
	deaf.deaf = func(gateway int, at time.Duration) bool {
		return gateway == 3 && at > 10*time.Second && at < 20*time.Second
	}
	former := small(teams(9, 1), 28*time.Second, steady(2.4))
	former.spread = time.Second
	former.today = func(gateway int) bool { return gateway%2 == 0 }
	r, before := replay(ends, byLevel), replay(ends, returningFirst)
	t.Logf("a gateway ends: level %.3f, returning first %.3f", inTime(ends, r, 11, 28), inTime(ends, before, 11, 28))
	require.GreaterOrEqual(t, inTime(ends, r, 11, 28), 0.9)
	r = replay(deaf, byLevel)
	all := 0.0
	for _, n := range r.gateways {
		all += n / float64(len(r.gateways))
	}
	t.Logf("a gateway hears nobody: level %.3f in capacities, its part %.3f of the mean", inTime(deaf, r, 11, 28), r.gateways[3]/all)
	require.GreaterOrEqual(t, inTime(deaf, r, 11, 28), 0.9)
	require.InDelta(t, 1, r.gateways[3]/all, 0.25)
	r, before = replay(former, byLevel), replay(former, returningFirst)
	updated, old := 0.0, 0.0
	for i, n := range r.gateways {
		if i%2 == 0 {
			old += n / 6
		} else {
			updated += n / 5
		}
	}
	t.Logf("half of the former build: level %.3f, returning first %.3f; in time at a new gateway %.0f, at an old one %.0f",
		inTime(former, r, 14, 28), inTime(former, before, 14, 28), updated, old)
	require.GreaterOrEqual(t, updated, 0.75*old)
	require.GreaterOrEqual(t, inTime(former, r, 14, 28), 0.9)
}
