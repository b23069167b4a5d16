package overload_test

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/shedding"
	"github.com/grademill/grademill/role/overload"
)

// step is the interval of updates, that of digests.
const step = 150 * time.Millisecond

var start = time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)

// others are the load reports of one other gateway, in another hall.
type others struct {
	demand demand.Demand
	heard  int
}

func (o *others) FleetDemand(string) demand.Demand { return o.demand }
func (o *others) HallDemands(string) map[string]demand.Demand {
	return map[string]demand.Demand{"south": o.demand}
}

func (o *others) FleetDemandAge(string, time.Time) time.Duration {
	if o.heard < 2 {
		return math.MaxInt64
	}
	return 140 * time.Millisecond
}
func (o *others) Size() int        { return 2 }
func (o *others) Heard() int       { return o.heard }
func (o *others) Announced() int   { return 2 }
func (o *others) Unreported() bool { return false }

type noMeter struct{}

func (noMeter) Level(string, float64, float64, float64, bool) {}
func (noMeter) Shed(string, bool)                             {}
func (noMeter) HallPart(string, string, float64)              {}

// fixture is a gateway in a fleet of two, on a virtual clock.
type fixture struct {
	overload.Control
	reports others
	log     bytes.Buffer
	now     time.Time
}

func newFixture() *fixture {
	f := &fixture{now: start}
	f.reports.heard = 2
	f.Control = overload.Control{
		Hall: "north", Enabled: true, Admission: true, Policy: shedding.Policy{MinShare: 0.4, ReturnShare: 0.05}, Reports: &f.reports,
		Objective: func(string) time.Duration { return 500 * time.Millisecond }, Position: func() float64 { return 0.25 },
		RequestDuration: func(string) time.Duration { return 3 * time.Second }, Waiting: func(string) int { return 2 },
		Meter: noMeter{}, Log: zerolog.New(&f.log),
	}
	return f
}

// request counts a request for service "chat".
func (f *fixture) request() {
	f.Arrive(overload.Arrival{Service: "chat", Team: "clinic", Class: demand.Class{Priority: 1}}, f.now)
}

// tick updates the levels one step later.
func (f *fixture) tick() {
	f.now = f.now.Add(step)
	f.Tick(f.now)
}

// withLoad has the other gateway report a demand per second and an estimate of the capacity.
func (f *fixture) withLoad(offered, capacity float64) {
	f.reports.demand = demand.Demand{
		Admitted: min(offered, capacity), Refused: offered - min(offered, capacity), Waiting: 3, CapacitySum: capacity, Estimates: 1,
		Classes: map[demand.Class]demand.Load{
			{Priority: 0}:                  {Offered: 0.1 * offered},
			{Priority: 1}:                  {Offered: 0.8 * offered, Teams: map[string]float64{"clinic": 0.5 * offered, "school": 0.01 * offered}},
			{Priority: 1, Returning: true}: {Offered: 0.1 * offered},
		},
	}
}

// Guards against a view that differs from what the gateway does, and against values that JSON cannot
// express: with no refusals, the gateway's part of them is 0/0.
func TestSnapshot(t *testing.T) {
	f := newFixture()
	f.request()
	text, err := json.Marshal(f.Snapshot())
	require.NoError(t, err)
	require.NotContains(t, string(text), "report_age_ms")

	f.tick()
	text, err = json.Marshal(f.Snapshot())
	require.NoError(t, err)
	require.Contains(t, string(text), `"open":true`)

	f.withLoad(200, 100)
	for range 10 {
		f.request()
		f.tick()
	}
	s := f.Snapshot().Services[0]
	require.Equal(t, "chat", s.Service)
	require.False(t, s.Level.Open)
	require.InDelta(t, 100, s.Capacity, 15)
	require.InDelta(t, 206, s.Fleet.Offered, 3)
	require.InDelta(t, 6, s.Own.Offered, 3)
	require.Equal(t, 5, s.Fleet.Waiting)
	require.Equal(t, 2, s.Own.Waiting)
	require.Equal(t, 140.0, *s.ReportAge)
	require.False(t, s.Isolated)
	require.Equal(t, 1, s.Level.Marginal.Priority)
	require.Len(t, s.Fleet.Classes, 3)
	require.Equal(t, 1.0, s.Fleet.Classes[0].Share)
	marginal := s.Fleet.Classes[1]
	require.Equal(t, s.Level.Marginal.Share, marginal.Share)
	require.Equal(t, []string{"clinic", "school"}, []string{marginal.Teams[0].Team, marginal.Teams[1].Team})
	require.Less(t, marginal.Teams[0].Share, marginal.Teams[1].Share)
	require.True(t, s.Fleet.Classes[2].Returning)
	require.NotNil(t, s.Fleet.Classes[2].EarlyShare)
	share, whole := f.RoomShare("chat", "south")
	require.False(t, whole)
	require.InDelta(t, share, s.RoomShares["south"], 0.001)
	require.Equal(t, 0.25, s.Appointments.Position)
	require.Positive(t, s.Appointments.Room)

	f.reports = others{heard: 1}
	f.tick()
	s = f.Snapshot().Services[0]
	require.True(t, s.Isolated)
	require.Nil(t, s.ReportAge)
}

// Guards against a log without bound and against a refusal before the line about its level: for 30 s
// the demand alternates between half and twice the capacity at each update. The start of shedding is
// logged at once, and there are at most two lines a second.
func TestLogLinesOfLevelAreBounded(t *testing.T) {
	f := newFixture()
	lines := func() int { return strings.Count(f.log.String(), "shedding level") }
	var logged []time.Time
	wasOpen, changes := true, 0
	for i := range 200 {
		f.withLoad([]float64{200, 50}[i%2], 100)
		f.reports.demand.Waiting = 30 // a queue, so that the capacity stays known
		f.request()
		before := lines()
		f.tick()
		if open := f.Snapshot().Services[0].Level.Open; open != wasOpen {
			wasOpen = open
			changes++
			if !open {
				last := f.log.String()[strings.LastIndex(strings.TrimSpace(f.log.String()), "\n")+1:]
				require.Contains(t, last, `"open":false`, "the latest line while requests are shed")
			}
		}
		if lines() > before {
			logged = append(logged, f.now)
		}
	}
	require.Greater(t, changes, 100, "the load must open and close the level")
	require.Greater(t, len(logged), 10)
	for i := 2; i < len(logged); i++ {
		require.GreaterOrEqual(t, logged[i].Sub(logged[i-2]), time.Second)
	}
	require.Contains(t, f.log.String(), "marginal_share")
}

// Guards against a capacity that changes unseen while the level stays closed, and against a line for
// each update.
func TestChangeOfCapacityIsLogged(t *testing.T) {
	f := newFixture()
	var capacities []float64
	var at []time.Time
	offered := 400.0
	for i := range 100 {
		f.withLoad(offered, 100+2*float64(i)) // triples within 15 s
		f.request()
		f.log.Reset()
		f.tick()
		var line struct {
			Capacity float64 `json:"capacity_per_s"`
		}
		if f.log.Len() > 0 {
			require.NoError(t, json.Unmarshal(f.log.Bytes(), &line))
			capacities, at = append(capacities, line.Capacity), append(at, f.now)
		}
	}
	require.Greater(t, len(at), 3)
	for i := 1; i < len(at); i++ {
		require.GreaterOrEqual(t, at[i].Sub(at[i-1]), time.Second)
		require.Greater(t, math.Abs(capacities[i]-capacities[i-1]), 0.099*capacities[i-1])
	}
}
