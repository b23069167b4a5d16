package overload_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/retryafter"
	"github.com/grademill/grademill/role/overload"
)

// The load of most tests: 8 gateways before a capacity of 160 requests a second, with a demand of 2.4
// times the capacity. Priorities 0 and 1 fit, priority 2 does not.
const (
	size     = 8
	capacity = 160.0
)

var (
	first, second, last = demand.Class{}, demand.Class{Priority: 1}, demand.Class{Priority: 2}
	returning           = demand.Class{Priority: 2, Returning: true}
)

// classes returns streams of the three priorities, in parts of the capacity.
func classes(a, b, c float64) []stream {
	return []stream{
		{overload.Arrival{Class: first, Team: "small"}, a * capacity},
		{overload.Arrival{Class: second, Team: "middle"}, b * capacity},
		{overload.Arrival{Class: last, Team: "large"}, c * capacity},
	}
}

// overloaded returns a fleet that has been in overload for long enough to have agreed.
func overloaded(gateways int) *fleet {
	f := newFleet(capacity, inOneHall(gateways)...)
	f.streams = classes(0.1, 0.2, 0.3)
	f.run(6*time.Second, nil)
	f.streams = classes(0.2, 0.3, 1.9)
	f.run(8*time.Second, nil)
	return f
}

// refused returns the classes that a gateway does not admit as a whole.
func (g *gateway) refused() map[demand.Class]bool {
	list := make(map[demand.Class]bool)
	for class, share := range g.shares {
		if share < 0.95 {
			list[class] = true
		}
	}
	return list
}

// Load: a jump from 0.6 to 2.4 times the capacity. Guards against gateways that refuse different
// classes: one would refuse a request while another admits a less urgent one. Two intervals are the
// time that a report needs to arrive everywhere and to be computed.
func TestGatewaysAgreeWithinTwoIntervals(t *testing.T) {
	f := newFleet(capacity, inOneHall(size)...)
	f.streams = classes(0.1, 0.2, 0.3)
	f.run(6*time.Second, nil)
	for _, g := range f.gateways {
		require.False(t, g.shedding, "there is room for all")
	}
	f.streams = classes(0.2, 0.3, 1.9)
	begun, apart := time.Duration(0), time.Duration(0)
	f.run(10*time.Second, func() {
		shedding := 0
		for _, g := range f.gateways {
			if g.shedding {
				shedding++
			}
		}
		if shedding > 0 && begun == 0 {
			begun = f.now
		}
		if shedding != size && begun > 0 {
			apart = f.now - begun
		}
	})
	t.Logf("shedding began at %v, the last gateway without it %v later", begun, apart)
	require.NotZero(t, begun)
	require.LessOrEqual(t, begun, 6*time.Second+4*time.Second, "the free slots last for two seconds at most")
	require.LessOrEqual(t, apart, 2*digestInterval+maxReportDelay)
	for range 20 {
		f.run(digestInterval, nil)
		for _, g := range f.gateways {
			require.Equal(t, map[demand.Class]bool{last: true}, g.refused(), g.self.Name)
			require.InDelta(t, f.gateways[0].shares[last], g.shares[last], 0.1)
		}
	}
	require.InDelta(t, capacity, sum(f.admittedDuring(9*time.Second)), 0.1*capacity)
}

// Guards against a stream that breaks off because the gateway that resumes it sheds its class.
func TestResumedStreamIsExempt(t *testing.T) {
	f := overloaded(size)
	shed := 0
	for range 50 {
		for _, g := range f.gateways {
			require.True(t, f.arriveOne(g, overload.Arrival{Class: last, Team: "large", Exempt: true}, at(f.now)).Admit)
			if !f.arriveOne(g, overload.Arrival{Class: last, Team: "large"}, at(f.now)).Admit {
				shed++
			}
		}
	}
	require.Greater(t, shed, 50*size/2, "others of the class are shed")
}

// Load: 1.9 times the capacity of the least urgent class, and 0.3 of returning callers. Guards against
// callers that retry at once and use up the room that is reserved for those that kept the delay.
func TestEarlyCallersGetNothingReserved(t *testing.T) {
	f := overloaded(size)
	f.streams = append(f.streams,
		stream{overload.Arrival{Class: returning}, 0.15 * capacity},
		stream{overload.Arrival{Class: returning, Early: true}, 0.15 * capacity})
	f.run(4*time.Second, nil)
	kept, early := 0, 0
	for range 100 {
		for _, g := range f.gateways {
			d := f.arriveOne(g, overload.Arrival{Class: returning}, at(f.now))
			if d.Admit {
				require.Less(t, d.Share, 1.0)
				kept++
			}
			if f.arriveOne(g, overload.Arrival{Class: returning, Early: true}, at(f.now)).Admit {
				early++
			}
		}
	}
	require.Positive(t, kept)
	require.Zero(t, early)
}

// Load: 2.4 times the capacity, of which one gateway hears nobody for 8 s. Guards against a gateway that
// takes the capacity of the fleet for its own, or its own demand for that of the fleet: it would admit
// several times its part. Requirement: the served rate of the fleet stays 0.9 of the capacity.
func TestGatewayThatHearsNobodyKeepsToItsPart(t *testing.T) {
	f := overloaded(size)
	deaf := f.gateways[3]
	deaf.deaf = true
	open := time.Duration(0)
	f.run(missedDigests*digestInterval+2*digestInterval, func() {
		if !deaf.shedding {
			open += tick
		}
	})
	require.LessOrEqual(t, open, 2*digestInterval, "while the reports lapse one by one")
	rates := f.admittedDuring(7 * time.Second)
	t.Logf("admitted per second: %.1f", rates)
	require.InDelta(t, capacity/size, rates[3], 0.25*capacity/size)
	require.GreaterOrEqual(t, sum(rates), 0.9*capacity)
	share, whole := deaf.control.RoomShare(service, "north")
	require.True(t, whole, "its share is one of the whole room")
	require.InDelta(t, 1.0/size, share, 0.25/size)
	require.Zero(t, deaf.control.RetryLoad(service, retryafter.Load{}).Capacity, "it knows nothing of the fleet's room")

	deaf.deaf = false
	f.run(time.Second, nil)
	f.logState(t)
	require.InDelta(t, f.gateways[0].capacity, deaf.capacity, 0.15*capacity, "it returns to the fleet's sums")
	require.Equal(t, f.gateways[0].refused(), deaf.refused())
	_, whole = deaf.control.RoomShare(service, "north")
	require.False(t, whole)
	rates = f.admittedDuring(6 * time.Second)
	require.InDelta(t, capacity/size, rates[3], 0.25*capacity/size)
}

// Load: 2.4 times the capacity, and a new gateway. Guards against a new gateway that admits everything
// while the others shed, and against one that sheds everything.
func TestGatewayThatStartsInAnOverload(t *testing.T) {
	f := overloaded(size)
	g := f.add("gateway-99", "north", 0.99)
	f.run(500*time.Millisecond, nil)
	f.logState(t)
	require.True(t, g.shedding)
	require.InDelta(t, f.gateways[0].capacity, g.capacity, 0.15*capacity)
	f.run(500*time.Millisecond, nil)
	require.Equal(t, f.gateways[0].refused(), g.refused())
	rates := f.admittedDuring(6 * time.Second)
	require.InDelta(t, capacity/(size+1), rates[size], 0.25*capacity/(size+1))
	require.GreaterOrEqual(t, sum(rates), 0.9*capacity)
}

// Load: 2.4 times the capacity, and a gateway ends, so that its callers go to the others. Guards against
// demand of an ended gateway that counts on, and against a level that opens when its reports lapse.
func TestGatewayThatEndsInAnOverload(t *testing.T) {
	f := overloaded(size)
	f.gateways[0].down = true
	open := 0
	f.run(4*time.Second, func() {
		for _, g := range f.gateways[1:] {
			if !g.shedding {
				open++
			}
		}
	})
	require.Zero(t, open)
	rates := f.admittedDuring(6 * time.Second)
	t.Logf("admitted per second: %.1f", rates)
	require.GreaterOrEqual(t, sum(rates[1:]), 0.9*capacity)
	// All 7 that are left offer the whole demand, of which the table of one holds that of the 6 others.
	require.InDelta(t, 2.4*capacity*(size-2)/(size-1), f.gateways[1].table.FleetDemand(service).Offered(), 0.25*capacity)
}

// Load: 2.4 times the capacity; the reports of one gateway are lost, but it hears the others. Guards
// against others that go on with too small a demand and so take its part, and against one that believes
// itself alone.
func TestReportsLostOneWay(t *testing.T) {
	f := overloaded(size)
	f.gateways[2].mute = true
	f.run(2*time.Second, nil)
	rates := f.admittedDuring(6 * time.Second)
	t.Logf("admitted per second: %.1f", rates)
	require.GreaterOrEqual(t, sum(rates), 0.9*capacity)
	require.InDelta(t, capacity/size, rates[2], 0.25*capacity/size)
	require.True(t, f.gateways[2].shedding)
	_, whole := f.gateways[2].control.RoomShare(service, "north")
	require.False(t, whole)
}

// Load: 2.4 times a capacity of 325 requests a second at 11 gateways, of which every second one is of the
// former build and reports no load. Guards against new gateways that see half of the demand against the
// whole capacity and never shed, and against ones that shed nearly all of theirs because the former ones
// keep long queues: with the target of a fleet in which all report, they got 0.48 of what the former ones
// did, and 0.73 with the longer one.
func TestHalfOfTheFleetWithoutLoadReports(t *testing.T) {
	const capacity, runs = 325.0, 8 // the ratio of a single run varies by a tenth
	updated, former := 0.0, 0.0
	for seed := range uint64(runs) {
		f := newFleet(capacity, inOneHall(11)...)
		f.random = rand.New(rand.NewPCG(2, seed))
		for i, g := range f.gateways {
			g.former = i%2 == 0
		}
		f.streams = []stream{{overload.Arrival{Class: second, Team: "middle"}, 2.4 * capacity}}
		f.run(14*time.Second, nil)
		rates := f.admittedDuring(14 * time.Second)
		require.GreaterOrEqual(t, sum(rates), 0.9*capacity)
		for i, g := range f.gateways {
			if g.former {
				former += rates[i] / 6
				continue
			}
			updated += rates[i] / 5
			require.True(t, g.shedding)
		}
	}
	t.Logf("admitted per second: %.1f at a new gateway, %.1f at a former one", updated/runs, former/runs)
	require.GreaterOrEqual(t, updated, 0.7*former)
}

// Guards against shedding that is on without its setting.
func TestNothingIsShedWithoutAdmission(t *testing.T) {
	f := newFleet(capacity, inOneHall(size)...)
	for _, g := range f.gateways {
		g.control.Admission = false
	}
	f.streams = classes(0.2, 0.3, 1.9)
	f.run(8*time.Second, nil)
	for _, g := range f.gateways {
		require.Zero(t, g.shed)
		require.Empty(t, g.refused())
		require.Zero(t, g.control.RetryLoad(service, retryafter.Load{Admitted: 3}).Capacity)
	}
}

// Guards against digests that carry the names of teams while nothing is short, which costs bytes on
// every link, and against reports without them in an overload, when the even share needs them.
func TestTeamsAreNamedOnlyInAShortage(t *testing.T) {
	f := newFleet(capacity, inOneHall(size)...)
	f.streams = classes(0.1, 0.2, 0.3)
	f.run(6*time.Second, nil)
	teams := func() int {
		n := 0
		for _, load := range f.gateways[0].control.Demands(at(f.now))[service].Classes {
			n += len(load.Teams)
		}
		return n
	}
	require.Zero(t, teams())
	f.streams = classes(0.2, 0.3, 1.9)
	f.run(6*time.Second, nil)
	require.Equal(t, 3, teams())
	f.streams = classes(0.1, 0.2, 0.3)
	f.run(10*time.Second, nil)
	require.Zero(t, teams())
}

// Load: 3 gateways in one hall and 1 in another, which exchange the sums of halls. Guards against shares
// of an endpoint's room that exceed 1 together, so that all take the same room, or that leave most of
// it to requests which do not come.
func TestSharesOfRoomInHalls(t *testing.T) {
	f := newFleet(capacity, "north", "north", "north", "south")
	f.relayed = true
	f.streams = classes(0.2, 0.3, 0.4)
	f.run(6*time.Second, nil)
	const intervals = 160 // the demand of a gateway varies from one to the next
	mean := make(map[string][]float64)
	for range intervals {
		f.run(digestInterval, nil)
		for _, hall := range []string{"north", "south"} {
			for i, g := range f.gateways {
				share, whole := g.control.RoomShare(service, hall)
				require.False(t, whole)
				mean[hall] = append(mean[hall], make([]float64, len(f.gateways)-len(mean[hall]))...)
				mean[hall][i] += share / intervals
			}
		}
	}
	share := func(i int, hall string) float64 { return mean[hall][i] }
	for _, hall := range []string{"north", "south"} {
		total := 0.0
		for i := range f.gateways {
			total += share(i, hall)
		}
		require.InDelta(t, 1, total, 0.05, hall)
	}
	// Each gateway has the same demand, and that of the other hall counts a fifth.
	require.InDelta(t, 1/3.2, share(0, "north"), 0.03)
	require.InDelta(t, 0.2/3.2, share(3, "north"), 0.03)
	require.InDelta(t, 1/1.6, share(3, "south"), 0.05)
	require.InDelta(t, 0.2/1.6, share(0, "south"), 0.03)
}

// Guards against a gateway that takes the shares of others as soon as their reports lapse: they may
// still run and use their room. Reports lapse one by one.
func TestSharesOfRoomWithoutReportsOfOthers(t *testing.T) {
	f := overloaded(size)
	deaf := f.gateways[3]
	before, _ := deaf.control.RoomShare(service, "north")
	deaf.deaf = true
	largest := 0.0
	f.run(3*time.Second, func() {
		share, _ := deaf.control.RoomShare(service, "north")
		largest = max(largest, share)
	})
	require.LessOrEqual(t, largest, 1.25*max(before, 1.0/size))
	f.gateways[5].mute = true // the others hear all but one
	f.run(2*time.Second, nil)
	total := 0.0
	for i, g := range f.gateways {
		share, whole := g.control.RoomShare(service, "north")
		require.Equal(t, i == 3, whole, "reports of others are heard")
		total += share
	}
	require.LessOrEqual(t, total, 1.1)
	require.GreaterOrEqual(t, total, 0.8)
}

// Guards against a gateway that takes much room before it has heard anybody: the others use it already.
func TestShareOfRoomOfAGatewayThatStarts(t *testing.T) {
	f := overloaded(size)
	g := f.add("gateway-99", "north", 0.99)
	g.deaf = true
	share, _ := g.control.RoomShare(service, "north")
	t.Logf("before its first round: %.3f", share)
	f.run(2*digestInterval, nil)
	share, whole := g.control.RoomShare(service, "north")
	t.Logf("in its first rounds: %.3f", share)
	require.True(t, whole)
	require.LessOrEqual(t, share, 1.0/(size+1))
}
