package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/capacity"
	"github.com/grademill/grademill/decide/demand"
)

const (
	interval = 150 * time.Millisecond
	target   = 100 * time.Millisecond
)

var start = time.Unix(1000, 0)

// offered is a demand at the given rates, with the number of requests that wait.
func offered(rate, admitted, waiting float64) demand.Demand {
	return demand.Demand{
		Admitted: admitted, Waiting: waiting,
		Classes: map[demand.Class]demand.Load{{Priority: 1}: {Offered: rate}},
	}
}

// run returns the estimate after the demand has been reported for a time from now on.
func run(e capacity.Estimate, d demand.Demand, now, span time.Duration) capacity.Estimate {
	for at := now; at < now+span; at += interval {
		e = e.Next(d, target, start.Add(at))
	}
	return e
}

// Guards against a limit while nothing waits, and against one that is kept after a shortage has ended:
// a later rise of the demand would be refused while there is room.
func TestUnknownWithoutShortage(t *testing.T) {
	e := run(capacity.Estimate{}, offered(90, 90, 0), 0, 5*time.Second)
	require.Zero(t, e.Value())
	e = run(e, offered(240, 100, 40), 5*time.Second, 3*time.Second)
	require.Greater(t, e.Value(), 81.0, "a wait of 0.4 s takes off at most a tenth of the 90 that were served before")
	require.LessOrEqual(t, e.Value(), 100.0)
	e = run(e, offered(60, 60, 0), 8*time.Second, 3*time.Second)
	require.Zero(t, e.Value())
}

// Guards against an estimate that collapses while all slots are taken and nothing can start: the mean
// over the duration of a request counts, and a twentieth of the demand is admitted at least.
func TestPauseOfAdmissions(t *testing.T) {
	e := run(capacity.Estimate{Span: 3 * time.Second}, offered(200, 100, 20), 0, 4*time.Second)
	short := run(e, offered(200, 0, 30), 4*time.Second, 600*time.Millisecond)
	require.Greater(t, short.Value(), 65.0)
	long := run(e, offered(200, 0, 30), 4*time.Second, 8*time.Second)
	require.InDelta(t, 10, long.Value(), 1.1)
}

// Guards against slow growth below the capacity known before, and against growth far above what is
// served.
func TestGrowth(t *testing.T) {
	e := run(capacity.Estimate{}, offered(400, 100, 20), 0, 5*time.Second)
	e = run(e, offered(400, 60, 20), 5*time.Second, 2*time.Second)
	low := e.Value()
	require.Less(t, low, 80.0)
	e = run(e, offered(400, 70, 0), 7*time.Second, 1500*time.Millisecond)
	require.Greater(t, e.Value(), 1.25*low)
	e = run(e, offered(400, 100, 0), 9*time.Second, 10*time.Second)
	require.InDelta(t, 110, e.Value(), 2)
}

// Guards against gateways that disagree for long: one that starts takes over the mean of the others, and
// one that differs comes near it within a second.
func TestAgreesWithOthers(t *testing.T) {
	others := offered(400, 100, 9)
	others.CapacitySum, others.Estimates = 1000, 10
	require.InDelta(t, 100, capacity.Estimate{}.Next(others, target, start).Value(), 1)
	e := run(capacity.Estimate{}, offered(400, 100, 20), 0, 3*time.Second)
	e = run(e, offered(400, 100, 0), 3*time.Second, 2*time.Second)
	require.InDelta(t, 110, e.Value(), 0.5)
	e = run(e, others, 5*time.Second, time.Second)
	require.InDelta(t, 100, e.Value(), 3)
}

// Guards against an isolated gateway that claims the capacity of the fleet.
func TestPartOfIsolatedGateway(t *testing.T) {
	e := run(capacity.Estimate{}, offered(400, 200, 20), 0, 3*time.Second)
	whole := e.Value()
	e = e.WithPart(0.1)
	require.InDelta(t, whole/10, e.Value(), 0.01)
	e = run(e, offered(40, 20, 2), 3*time.Second, 3*time.Second)
	require.InDelta(t, whole/10, e.Value(), 0.5)
}

func TestForgottenWithoutDemand(t *testing.T) {
	e := run(capacity.Estimate{Span: time.Second}, offered(400, 100, 20), 0, 3*time.Second)
	require.Positive(t, e.Value())
	e = run(e, demand.Demand{}, 3*time.Second, 11*time.Second)
	require.Equal(t, capacity.Estimate{Span: time.Second}, e)
}

func TestTarget(t *testing.T) {
	require.Equal(t, 100*time.Millisecond, capacity.Target(500*time.Millisecond, false))
	require.Equal(t, 250*time.Millisecond, capacity.Target(500*time.Millisecond, true))
}
