package health_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/health"
)

func TestAvoidancePeriodGrowsWithLosses(t *testing.T) {
	now := time.Unix(1000, 0)
	r := health.Record{}.WithLoss(now)
	require.True(t, r.Avoided(now.Add(299*time.Millisecond)))
	require.False(t, r.Avoided(now.Add(300*time.Millisecond)))
	r = r.WithLoss(now)
	require.True(t, r.Avoided(now.Add(599*time.Millisecond)))
	for range 20 {
		r = r.WithLoss(now)
	}
	require.False(t, r.Avoided(now.Add(2400*time.Millisecond)), "bounded")
	require.False(t, r.WithSuccess().Avoided(now))
}

func TestFailingIsAShareOfRecentRequests(t *testing.T) {
	var r health.Record
	for range 100 {
		r = r.WithFailure()
	}
	require.InDelta(t, 1, r.FailureRate, 0.01)
	for range 10 {
		r = r.WithSuccess()
	}
	require.Less(t, r.FailureRate, 0.4)
}

// An endpoint that accepts requests without answering must be avoided from the third consecutive
// one on, for a growing time. Only an answer may end this, not the success of an earlier request.
func TestEndpointIsAvoidedAfterConsecutiveDrops(t *testing.T) {
	now := time.Unix(1000, 0)
	r := health.Record{}.WithDrop(now).WithDrop(now)
	require.False(t, r.Avoided(now), "two may be chance")
	r = r.WithDrop(now).WithSuccess()
	require.True(t, r.Avoided(now.Add(299*time.Millisecond)))
	require.False(t, r.Avoided(now.Add(300*time.Millisecond)))
	r = r.WithDrop(now)
	require.True(t, r.Avoided(now.Add(599*time.Millisecond)))
	r = r.WithAnswer()
	require.False(t, r.Avoided(now))
	require.False(t, r.WithDrop(now).WithDrop(now).Avoided(now), "the count starts over")
}

// Guards against an endpoint that answers each request of a model with an error at once: it seems idle,
// and would attract all requests of its hall.
func TestErrorsInARowAreAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	r := health.Record{}.WithError(now).WithError(now)
	require.False(t, r.Avoided(now), "two errors may be those of requests")
	require.False(t, r.WithoutErrors().WithError(now).Avoided(now), "it has accepted one between them")
	r = r.WithError(now)
	require.True(t, r.Avoided(now))
	require.True(t, r.WithSuccess().Avoided(now), "a request that was accepted before the errors has ended")
	later := now.Add(time.Second)
	require.False(t, r.Avoided(later), "one more request is tried")
	require.True(t, r.WithError(later).Avoided(later.Add(500*time.Millisecond)), "for longer each time")
}
