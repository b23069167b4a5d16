package trial_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/trial"
)

// start is the time at which the schedules begin.
var start = time.Unix(1000, 0)

// after returns a time of the schedules.
func after(d time.Duration) time.Time { return start.Add(d) }

// What a gateway does with a copy depends on the attempts of others, the endpoints and the store.
func TestNext(t *testing.T) {
	t.Parallel()
	free := trial.Situation{Ends: 2, Endpoints: 6, StoreAnswers: true, Waited: 150 * time.Millisecond, MaxWait: trial.MaxWait}
	tried := trial.Trial{}.WithAttempt("gateway-1", "endpoint-1", 1)
	tried.Since = start
	for name, c := range map[string]struct {
		change func(*trial.Situation)
		want   trial.Action
	}{
		"nobody tries it":          {func(*trial.Situation) {}, trial.Claim},
		"another copy is tried":    {func(s *trial.Situation) { s.Trial = tried }, trial.Wait},
		"its gateway has ended":    {func(s *trial.Situation) { s.Trial = tried; s.Trial.Since = after(-trial.Timeout) }, trial.Claim},
		"no endpoint":              {func(s *trial.Situation) { s.Endpoints = 0 }, trial.Refuse},
		"no endpoint for a stream": {func(s *trial.Situation) { s.Endpoints, s.Begun = 0, true }, trial.Wait},
		"no store":                 {func(s *trial.Situation) { s.StoreAnswers = false }, trial.Refuse},
		"no store for a stream":    {func(s *trial.Situation) { s.StoreAnswers, s.Begun = false, true }, trial.Wait},
		"no store, tried already":  {func(s *trial.Situation) { s.StoreAnswers, s.Trial = false, tried }, trial.Wait},
		"others are tried":         {func(s *trial.Situation) { s.Reserved = 2 }, trial.Wait},
		"a third end":              {func(s *trial.Situation) { s.Reserved, s.Ends = 2, 3 }, trial.Claim},
		"all are reserved":         {func(s *trial.Situation) { s.Reserved, s.Ends, s.Endpoints = 1, 3, 1 }, trial.Wait},
		"others come first":        {func(s *trial.Situation) { s.Rank = 1 }, trial.Wait},
		"others came first":        {func(s *trial.Situation) { s.Rank, s.Waited = 1, 300*time.Millisecond }, trial.Claim},
		"the second end is new":    {func(s *trial.Situation) { s.Waited = 0 }, trial.Wait},
		"the third end is new":     {func(s *trial.Situation) { s.Waited, s.Ends = 0, 3 }, trial.Claim},
		"held for long":            {func(s *trial.Situation) { s.Waited = trial.MaxWait }, trial.Refuse},
		"tried three times":        {func(s *trial.Situation) { s.Trial.Sends = 3 }, trial.Refuse},
	} {
		s := free
		c.change(&s)
		got, reason := s.Next(start)
		require.Equal(t, c.want, got, "%s: %s", name, reason)
		require.Equal(t, got == trial.Claim, reason == "", name)
	}
}

// An end shows that the request causes it if there are three and nothing else suspected had begun at the endpoint.
func TestGuilty(t *testing.T) {
	t.Parallel()
	once := trial.Trial{}.WithAttempt("gateway-1", "endpoint-1", 1)
	thrice := once
	thrice.Sends = 3
	require.True(t, once.Guilty(trial.Evidence{Outcome: trial.Ended, Ends: 3}))
	require.False(t, once.Guilty(trial.Evidence{Outcome: trial.Ended, Ends: 2}))
	require.False(t, once.Guilty(trial.Evidence{Outcome: trial.Ended, Ends: 3, Shared: true}))
	require.True(t, thrice.Guilty(trial.Evidence{Outcome: trial.Ended, Ends: 5, Shared: true}))
	for _, o := range []trial.Outcome{trial.Unknown, trial.NotRun, trial.Passed} {
		require.False(t, once.Guilty(trial.Evidence{Outcome: o, Ends: 3}), o.String())
	}
}

// A request is harmless once it has run for much longer than at any of its ends and has answered for a while, or has
// answered for a second.
func TestHarmless(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	require.False(t, trial.Harmless(300*ms, 0, 200*ms))
	require.False(t, trial.Harmless(400*ms, 0, 200*ms), "it has just begun its answer")
	require.False(t, trial.Harmless(400*ms, 249*ms, 200*ms))
	require.True(t, trial.Harmless(400*ms, 250*ms, 200*ms))
	require.False(t, trial.Harmless(399*ms, 300*ms, 200*ms))
	require.False(t, trial.Harmless(200*ms, 0, 10*ms))
	require.False(t, trial.Harmless(1500*ms, 900*ms, 800*ms))
	require.True(t, trial.Harmless(1500*ms, 1000*ms, 800*ms))
	require.False(t, trial.Harmless(1500*ms, 900*ms, 0))
}

// Attempts that ended no endpoint do not use up those of a request under which only two have ended.
func TestAttemptsWithoutAnEndDoNotCount(t *testing.T) {
	t.Parallel()
	begun := trial.Trial{}.WithAttempt("gateway-1", "endpoint-1", 1)
	require.Zero(t, begun.WithOutcome(trial.NotRun, 3).Sends)
	require.Zero(t, begun.WithOutcome(trial.Unknown, 2).Sends)
	require.Equal(t, 1, begun.WithOutcome(trial.Unknown, 3).Sends)
	require.Equal(t, 1, begun.WithOutcome(trial.Ended, 3).Sends)
	require.Empty(t, begun.WithOutcome(trial.Ended, 3).Holder)
}

// schedule is the record of one suspect in the store, with the gateways that read it late.
type schedule struct {
	rng    *rand.Rand
	record trial.Trial
	views  []trial.Trial
	// runs are the times at which attempts ran.
	runs []run
}

type run struct{ from, until time.Duration }

// play has gateways try a request that ends each endpoint. Each acts on a state that it has read some time ago, half of
// them end before they report the outcome, and claims may succeed without an answer.
func play(gateways int, seed uint64) []run {
	s := schedule{rng: rand.New(rand.NewPCG(seed, 1)), views: make([]trial.Trial, gateways)}
	for now := time.Duration(0); now < time.Minute; now += time.Duration(s.rng.IntN(100)) * time.Millisecond {
		i := s.rng.IntN(gateways)
		if s.rng.IntN(3) == 0 && s.views[i].Revision < s.record.Revision { // it reads the record
			s.views[i] = s.record
			s.views[i].Since = after(now)
		}
		situation := trial.Situation{Trial: s.views[i], Ends: 2, Endpoints: 9, StoreAnswers: true, Waited: time.Second, MaxWait: trial.MaxWait}
		if action, _ := situation.Next(after(now)); action != trial.Claim || s.views[i].Revision != s.record.Revision {
			continue // it waits, or the store does not accept its claim
		}
		s.write(s.views[i].WithAttempt(fmt.Sprint("gateway-", i), "endpoint", 1))
		answered := s.rng.IntN(4) > 0
		if answered {
			took := time.Duration(s.rng.IntN(8000)) * time.Millisecond // at most 8 s, by the bound of attempts
			s.runs = append(s.runs, run{now, now + took})
			s.views[i] = s.record
			s.views[i].Since = after(now)
			if s.rng.IntN(2) == 0 {
				now += took
				s.write(s.record.WithOutcome(trial.Ended, 3))
			}
		}
	}
	return s.runs
}

// write replaces the record.
func (s *schedule) write(t trial.Trial) {
	t.Revision = s.record.Revision + 1
	s.record = t
}

// In any schedule one attempt at a time runs in the whole fleet, and at most three in all.
func TestOneAttemptAtATime(t *testing.T) {
	t.Parallel()
	runs := 0
	for _, gateways := range []int{1, 2, 5, 30, 430} {
		for seed := range uint64(200) {
			list := play(gateways, seed)
			runs += len(list)
			require.LessOrEqual(t, len(list), 3, "%d gateways, seed %d", gateways, seed)
			for i := 1; i < len(list); i++ {
				require.GreaterOrEqual(t, list[i].from, list[i-1].until, "%d gateways, seed %d", gateways, seed)
			}
		}
	}
	require.Greater(t, runs, 1000)
}
