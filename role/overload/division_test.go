package overload_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/meter"
	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/hallsplit"
	"github.com/grademill/grademill/role/overload"
)

// hallReports are the load reports of three gateways, one in each of the halls a, b and c.
type hallReports struct {
	halls map[string]float64
	heard int
}

func offeredDemand(rate float64) demand.Demand {
	return demand.Demand{Classes: map[demand.Class]demand.Load{{Priority: 1}: {Offered: rate}}}
}

func (r *hallReports) HallDemands(string) map[string]demand.Demand {
	demands := make(map[string]demand.Demand)
	for name, rate := range r.halls {
		demands[name] = offeredDemand(rate)
	}
	return demands
}

func (r *hallReports) FleetDemand(string) demand.Demand {
	sum := demand.Demand{}
	for _, rate := range r.halls {
		sum = sum.Plus(offeredDemand(rate))
	}
	return sum
}
func (r *hallReports) FleetDemandAge(string, time.Time) time.Duration { return 0 }
func (r *hallReports) Size() int                                      { return 3 }
func (r *hallReports) Heard() int                                     { return r.heard }
func (r *hallReports) Announced() int                                 { return 3 }
func (r *hallReports) Unreported() bool                               { return false }

// replayHalls runs the control of the gateway of hall a for 5 s, and returns where its last 100 requests
// are directed.
func replayHalls(t *testing.T, c *overload.Control, start time.Time, rate int) map[string]int {
	directed := make(map[string]int)
	for n := range 5 * rate {
		now := start.Add(time.Duration(n) * time.Second / time.Duration(rate))
		d := c.Arrive(overload.Arrival{Service: "chat", Class: demand.Class{Priority: 1}}, now)
		require.True(t, d.Admit)
		c.CountAdmitted("chat", now)
		if n >= 5*rate-100 {
			directed[d.Hall]++
		}
		if n%(rate/10) == 0 {
			c.Tick(now)
		}
	}
	return directed
}

func newControl(r *hallReports, log *bytes.Buffer) *overload.Control {
	return &overload.Control{
		Enabled: true, Hall: "a", Reports: r, Meter: meter.NewGateway(), Log: zerolog.New(log), Seed: 1 << 63,
		Objective: func(string) time.Duration { return time.Second }, Position: func() float64 { return 0.5 },
		RequestDuration: func(string) time.Duration { return 3 * time.Second }, Waiting: func(string) int { return 0 },
	}
}

// Guards against a division that does not reach requests and shares of room, and against a hall that
// is taken to be idle because its reports are lost. Hall a is offered twice its capacity, and halls b
// and c a half.
func TestHallSplit(t *testing.T) {
	var log bytes.Buffer
	r := &hallReports{halls: map[string]float64{"b": 50, "c": 50}, heard: 3}
	c := newControl(r, &log)
	c.Split = true
	c.Halls = func(string) []hallsplit.Hall {
		return []hallsplit.Hall{{Name: "a", Capacity: 100}, {Name: "b", Capacity: 100}, {Name: "c", Capacity: 100}}
	}
	start := time.Unix(1000, 0)
	directed := replayHalls(t, c, start, 200)
	require.InDelta(t, 50, directed["a"], 3)
	require.InDelta(t, 25, directed["b"], 3)
	share := func(hall string) float64 {
		share, whole := c.RoomShare("chat", hall)
		require.False(t, whole)
		return share
	}
	least := 0.05 / 2
	require.InDelta(t, 100/(100+2*50*least), share("a"), 0.01)
	require.InDelta(t, 50/(50+50+50*least), share("b"), 0.01)
	require.Contains(t, log.String(), `"message":"hall split"`)
	require.Contains(t, log.String(), `"capacity_per_s":100,"parts":{"a":0.`)

	delete(r.halls, "b")
	r.heard = 2
	directed = replayHalls(t, c, start.Add(5*time.Second), 200)
	require.InDelta(t, 25, directed["b"], 3, "the demand of a hall without reports counts as it was")
	r.heard = 3
	directed = replayHalls(t, c, start.Add(10*time.Second), 200)
	require.InDelta(t, (250.0/3)/2, directed["b"], 3, "a hall of which all gateways are heard has no demand")
}

// Guards against halls that are taken to have room while requests wait: capacities by memory are upper
// bounds. Hall a is offered half of its capacity, halls b and c a quarter, and the fleet admits only 100
// requests per second and has 200 in the queue.
func TestHallSplitKnowsTheMeasuredCapacity(t *testing.T) {
	var log bytes.Buffer
	c := newControl(&hallReports{halls: map[string]float64{"b": 50, "c": 50}, heard: 3}, &log)
	c.Split = true
	c.Halls = func(string) []hallsplit.Hall {
		return []hallsplit.Hall{{Name: "a", Capacity: 200}, {Name: "b", Capacity: 200}, {Name: "c", Capacity: 200}}
	}
	require.Equal(t, map[string]int{"a": 100}, replayHalls(t, c, time.Unix(1000, 0), 100))
	c.Waiting = func(string) int { return 200 }
	require.InDelta(t, 67, replayHalls(t, c, time.Unix(1005, 0), 100)["a"], 4)
}

// Guards against a change for fleets that do not divide their demand: requests stay in their hall, and
// the share of room counts a fifth of the demand of all other halls.
func TestWithoutHallSplit(t *testing.T) {
	var log bytes.Buffer
	c := newControl(&hallReports{halls: map[string]float64{"b": 50, "c": 50}, heard: 3}, &log)
	require.Equal(t, map[string]int{"a": 100}, replayHalls(t, c, time.Unix(1000, 0), 200))
	share, _ := c.RoomShare("chat", "a")
	require.InDelta(t, 200/(200+0.1*100), share, 0.01)
	require.NotContains(t, log.String(), "hall split")
}
