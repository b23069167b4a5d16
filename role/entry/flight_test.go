package entry_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/outcome"
	"github.com/grademill/grademill/lab"
	"github.com/grademill/grademill/port/router"
	"github.com/grademill/grademill/role/entry"
	"github.com/grademill/grademill/standin/toy"
)

// startLab starts a lab with one entry and the given number of copies of a chain of two stages.
func startLab(t *testing.T, copies int, adjust func(*entry.Entry)) *lab.Lab {
	l := &lab.Lab{
		Entries: []lab.EntryConfig{{Name: "entry", Hall: "h"}}, Service: "m", Layers: 4,
		Teams: map[string]float64{"t": 1}, Log: zerolog.Nop(), Adjust: adjust,
	}
	for i := range copies {
		for part := range 2 {
			l.Engines = append(l.Engines, lab.Engine{
				Name: string(rune('a'+part)) + string(rune('0'+i)), Hall: "h",
				Layers: layer.Range{First: 2 * part, End: 2*part + 2}, Base: time.Millisecond, MaxBatch: 4,
			})
		}
	}
	require.NoError(t, l.Start(context.Background()))
	t.Cleanup(l.Close)
	return l
}

// requestTokens requests n tokens, and calls afterSecond after the second one.
func requestTokens(l *lab.Lab, n int, afterSecond func()) ([]uint32, error) {
	var tokens []uint32
	_, err := l.Entry(0).Complete(context.Background(), router.Completion{
		Team: "t", Service: "m", Prompt: toy.Tokens("hello"), MaxTokens: n,
	}, func(token uint32) error {
		tokens = append(tokens, token)
		if len(tokens) == 2 && afterSecond != nil {
			afterSecond()
		}
		return nil
	})
	return tokens, err
}

func TestAnswerGoesOnAlongAnotherChain(t *testing.T) {
	for _, stage := range []string{"a", "b"} {
		t.Run(stage, func(t *testing.T) {
			l := startLab(t, 2, nil)
			tokens, err := requestTokens(l, 20, func() {
				l.Kill(stage + "0")
			})
			require.NoError(t, err)
			require.Equal(t, toy.Model{Name: "m", Layers: 4}.Answer(toy.Tokens("hello"), 20), tokens)
		})
	}
}

// A request that has lost its chain and finds no other one ends with a Retry-After delay, as failed
// since layers have run.
func TestRequestWithoutAnotherChainFails(t *testing.T) {
	l := startLab(t, 1, func(e *entry.Entry) { e.RecoverWait = time.Millisecond })
	_, err := requestTokens(l, 500, func() { l.Kill("b0") })
	report, ok := outcome.Of(err)
	require.True(t, ok)
	require.Equal(t, outcome.Failed, report.Kind)
	require.Equal(t, outcome.NoChain, report.Code)
	require.Positive(t, report.RetryAfter)
	_, err = requestTokens(l, 1, nil)
	report, _ = outcome.Of(err)
	require.Equal(t, outcome.NotRun, report.Kind, "new request without a chain")
	require.Positive(t, report.RetryAfter)
}

// Without a retry budget, a request that lost a stage is given up at once, without waiting for another
// chain.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	l := startLab(t, 2, func(e *entry.Entry) { e.Retries.Reserve, e.Retries.Share = 0, 0 })
	_, err := requestTokens(l, 500, func() {
		l.Kill("b0")
		l.Kill("b1")
	})
	report, ok := outcome.Of(err)
	require.True(t, ok)
	require.Equal(t, outcome.Failed, report.Kind)
	require.Equal(t, outcome.RetryExceeded, report.Code)
}

// When callers hang up, their reservations are released.
func TestHungUpCallersReleaseTheirReservations(t *testing.T) {
	l := startLab(t, 1, nil)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			_, err := l.Entry(0).Complete(ctx, router.Completion{
				Team: "t", Service: "m", Prompt: toy.Tokens("x"), MaxTokens: 10_000,
			}, func(uint32) error { return nil })
			report, _ := outcome.Of(err)
			if report == nil || report.Kind == outcome.Done {
				t.Error("request ended as done although its caller hung up")
			}
		})
	}
	time.AfterFunc(20*time.Millisecond, cancel)
	group.Wait()
	for _, c := range l.Entry(0).Snapshot().Models["m"].Candidates {
		require.Zero(t, c.Usage.OwnSessions.Load(), c.Endpoint.Name)
	}
	_, err := requestTokens(l, 3, nil)
	require.NoError(t, err)
}

// A request that crashes each stage that runs it is given up after three crashes. Otherwise it
// would be retried along other chains until it had crashed all of them.
func TestRequestThatCrashesItsStagesIsGivenUp(t *testing.T) {
	const copies = 5
	l := startLab(t, copies, nil)
	done := make(chan struct{})
	var killed atomic.Int32
	var group sync.WaitGroup
	group.Go(func() {
		for gone := make(map[string]bool); ; {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
			for _, c := range l.Entry(0).Snapshot().Models["m"].Candidates {
				name := c.Endpoint.Name
				if c.Usage.OwnSessions.Load() > 0 && strings.HasPrefix(name, "a") && !gone[name] {
					gone[name] = true
					killed.Add(1)
					l.Kill(name)
				}
			}
		}
	})
	_, err := requestTokens(l, 10_000, nil)
	close(done)
	group.Wait()
	report, ok := outcome.Of(err)
	require.True(t, ok)
	require.Equal(t, outcome.Failed, report.Kind)
	require.Equal(t, outcome.StageLost, report.Code)
	require.EqualValues(t, 3, killed.Load())
	_, err = requestTokens(l, 3, nil)
	require.NoError(t, err, "other requests must still be served")
}
