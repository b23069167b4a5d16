package overload_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/shedding"
	"github.com/grademill/grademill/role/overload"
)

// reports are the reports of the other gateways, set by a test.
type reports struct {
	halls                  map[string]demand.Demand
	size, heard, announced int
	sizeCalls              int
}

func (r *reports) FleetDemand(string) demand.Demand {
	var all []demand.Demand
	for _, d := range r.halls {
		all = append(all, d)
	}
	return demand.Sum(all...)
}

func (r *reports) HallDemands(string) map[string]demand.Demand { return r.halls }

func (r *reports) FleetDemandAge(string, time.Time) time.Duration {
	if len(r.halls) == 0 {
		return math.MaxInt64
	}
	return 0
}

func (r *reports) Size() int {
	r.sizeCalls++
	return r.size
}

func (r *reports) Heard() int       { return r.heard }
func (r *reports) Announced() int   { return r.announced }
func (r *reports) Unreported() bool { return false }

// meterFake remembers the latest state of the admission.
type meterFake struct {
	levels   int
	shedding bool
}

func (m *meterFake) Level(_ string, _, _, _ float64, shedding bool) {
	m.levels++
	m.shedding = shedding
}

func (*meterFake) Shed(string, bool)                {}
func (*meterFake) HallPart(string, string, float64) {}

// control returns the control of a gateway of the hall "north" with the given reports and queue.
func control(r *reports, waiting *int) *overload.Control {
	return &overload.Control{
		Hall: "north", Enabled: true, Admission: true, Reports: r, Meter: new(meterFake),
		Policy:          shedding.Policy{MinShare: shedding.DefaultMinShare, ReturnShare: shedding.DefaultReturnShare},
		Objective:       func(string) time.Duration { return 500 * time.Millisecond },
		Position:        func() float64 { return 0.5 },
		RequestDuration: func(string) time.Duration { return 3 * time.Second },
		Waiting:         func(string) int { return *waiting },
	}
}

// run lets requests arrive, and a part of them be admitted, at rates per second for a time.
func run(c *overload.Control, now time.Time, offered, admitted int, d time.Duration) time.Time {
	const step = 150 * time.Millisecond
	due, got := 0.0, 0.0
	for end := now.Add(d); now.Before(end); now = now.Add(step) {
		for due += float64(offered) * step.Seconds(); due >= 1; due-- {
			c.Arrive(overload.Arrival{Service: "chat", Class: demand.Class{Priority: 1}}, now)
		}
		for got += float64(admitted) * step.Seconds(); got >= 1; got-- {
			c.CountAdmitted("chat", now)
		}
		c.Tick(now)
	}
	return now
}

// Guards against a fleet of one gateway that leaves most of the room to gateways that do not exist:
// the size that is assumed while no other gateway is known is 5.
func TestTheOnlyGatewayHasTheWholeRoom(t *testing.T) {
	waiting := 0
	c := control(&reports{size: 5, heard: 1, announced: 1}, &waiting)
	run(c, time.Unix(1000, 0), 20, 20, 3*time.Second)
	share, whole := c.RoomShare("chat", "north")
	require.InDelta(t, 1, share, 1e-9)
	require.False(t, whole, "its own use is all use, so the free room is known")
}

// Guards against a gateway that takes the whole room because it hears no other one, or has not read
// the store yet.
func TestAnIsolatedGatewayKeepsToItsShare(t *testing.T) {
	waiting := 0
	for _, announced := range []int{0, 5} {
		c := control(&reports{size: 5, heard: 1, announced: announced}, &waiting)
		run(c, time.Unix(1000, 0), 20, 20, 3*time.Second)
		share, whole := c.RoomShare("chat", "north")
		require.InDelta(t, 0.2, share, 1e-9)
		require.True(t, whole)
	}
}

// Guards against a gateway that sheds most requests after it has started: the estimate that it made
// of its own admissions alone, before it heard the others, is not the capacity of the fleet.
func TestAStartingGatewayTakesTheEstimateOfTheOthers(t *testing.T) {
	waiting := 40
	r := &reports{size: 10, heard: 1, announced: 10}
	c := control(r, &waiting)
	now := run(c, time.Unix(1000, 0), 30, 10, 3*time.Second)
	class := demand.Class{Priority: 1}
	r.heard = 10
	r.halls = map[string]demand.Demand{"north": {
		Admitted: 900, Waiting: 100, CapacitySum: 9 * 1000, Estimates: 9, Classes: map[demand.Class]demand.Load{class: {Offered: 900}},
	}}
	waiting = 0
	run(c, now, 30, 30, time.Second)
	require.True(t, c.Arrive(overload.Arrival{Service: "chat", Class: class}, now).Admit)
	require.Greater(t, c.Demands(now)["chat"].Capacity(), 800.0)
}

// Guards against work that grows with gateways times endpoints: the share is asked for once per
// endpoint and round, and the number of gateways takes time in proportion to the reports.
func TestASharePerEndpointDoesNotCountTheGateways(t *testing.T) {
	waiting := 0
	r := &reports{size: 430, heard: 1, announced: 430}
	c := control(r, &waiting)
	c.RoomShare("chat", "south") // before the first update
	c.Tick(time.Unix(1000, 0))
	before := r.sizeCalls
	for range 3800 {
		c.RoomShare("chat", "north")
	}
	require.Equal(t, before, r.sizeCalls)
}

// Guards against load reports that grow with the classes of a large fleet: 8 teams in each of 6 classes
// take 63 kB/s there. The rate of a class still includes the teams that are not named.
func TestFewerTeamsAreNamedInLargeFleets(t *testing.T) {
	waiting := 1
	for size, named := range map[int]int{68: demand.MaxTeams, 69: 4} {
		c := control(&reports{size: size, heard: size, announced: size, halls: map[string]demand.Demand{"north": {Waiting: 1}}}, &waiting)
		now := time.Unix(1000, 0)
		for range 20 {
			for team := range 10 {
				for range team + 1 {
					c.Arrive(overload.Arrival{Service: "chat", Team: string(rune('a' + team)), Class: demand.Class{Priority: 1}}, now)
				}
			}
			c.Tick(now)
			now = now.Add(150 * time.Millisecond)
		}
		load := c.Demands(now)["chat"].Classes[demand.Class{Priority: 1}]
		require.Len(t, load.Teams, named, "%d gateways", size)
		require.Contains(t, load.Teams, "j")
		require.NotContains(t, load.Teams, "b", "the teams with the least demand are omitted")
		require.Greater(t, load.Offered, 300.0, "55 requests every 150 ms")
	}
}

// Guards against a gateway that counts, records or reports anything while all parts of the overload
// control are switched off.
func TestNothingIsCountedWhileSwitchedOff(t *testing.T) {
	waiting := 100
	c, m := control(&reports{size: 1, heard: 1, announced: 1}, &waiting), new(meterFake)
	c.Enabled, c.Admission, c.Meter = false, false, m
	now := run(c, time.Unix(1000, 0), 100, 10, 5*time.Second)
	require.Zero(t, m.levels)
	require.Empty(t, c.Demands(now))
	require.Equal(t, overload.Decision{Admit: true, Share: 1}, c.Arrive(overload.Arrival{Service: "chat"}, now))
}

// Guards against a gateway with shares of room alone that reports shedding, and divides the room, by
// a level that it does not apply.
func TestTheLevelIsOpenWithoutAdmission(t *testing.T) {
	for _, admission := range []bool{false, true} {
		waiting := 100
		c, m := control(&reports{size: 1, heard: 1, announced: 1}, &waiting), new(meterFake)
		c.Admission, c.Meter = admission, m
		run(c, time.Unix(1000, 0), 100, 10, 5*time.Second)
		require.Positive(t, m.levels)
		require.Equal(t, admission, m.shedding)
	}
}

// Guards against a gateway that gets room for the requests of a team that is mostly refused: the
// room is divided by the demand that the level admits, and this gateway has only the flooding team.
func TestAFloodGetsNoRoomThatTheLevelRefuses(t *testing.T) {
	class := demand.Class{Priority: 1}
	waiting := 400
	others := demand.Demand{
		Admitted: 50, Waiting: 100,
		Classes: map[demand.Class]demand.Load{class: {Offered: 60, Teams: map[string]float64{"quiet-1": 30, "quiet-2": 30}}},
	}
	c := control(&reports{halls: map[string]demand.Demand{"north": others}, size: 2, heard: 2, announced: 2}, &waiting)
	now := time.Unix(1000, 0)
	for range 40 {
		for range 45 { // 300 a second
			c.Arrive(overload.Arrival{Service: "chat", Class: class, Team: "flood"}, now)
		}
		for range 6 { // 40 a second
			c.CountAdmitted("chat", now)
		}
		c.Tick(now)
		now = now.Add(150 * time.Millisecond)
	}
	share, _ := c.RoomShare("chat", "north")
	require.Less(t, share, 0.6, "the flood is five sixths of the demand, but not of what is admitted")
}

// Guards against a hall whose gateways have no demand, or that has no gateways: with a fifth of the
// even share for each gateway of the other halls, most of its free room would stay idle.
func TestAHallWithoutDemandIsShared(t *testing.T) {
	waiting := 0
	class := demand.Class{Priority: 1}
	others := demand.Demand{Admitted: 60, Classes: map[demand.Class]demand.Load{class: {Offered: 60}}}
	c := control(&reports{halls: map[string]demand.Demand{"south": others}, size: 4, heard: 4, announced: 4}, &waiting)
	run(c, time.Unix(1000, 0), 20, 20, 10*time.Second)
	share, whole := c.RoomShare("chat", "east")
	require.InDelta(t, 0.25, share, 0.02, "its part of the demand of the fleet")
	require.False(t, whole)
}
