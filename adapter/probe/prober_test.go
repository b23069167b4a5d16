package probe_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/probe"
	"github.com/grademill/grademill/port/runner"
)

// causeHider is a client whose errors hide the cause of the context's cancellation, as those
// of net/http do once the client's own timeout has passed, too.
type causeHider struct{ limit time.Duration }

func (l causeHider) Report(ctx context.Context, _ string) (runner.Report, error) {
	select {
	case <-ctx.Done():
		return runner.Report{}, &timeoutError{context.Cause(ctx).Error() + " (timeout exceeded)"}
	case <-time.After(l.limit):
		return runner.Report{}, &timeoutError{"timeout exceeded"}
	}
}

type timeoutError struct{ text string }

func (e *timeoutError) Error() string { return e.text }
func (*timeoutError) Timeout() bool   { return true }
func (*timeoutError) Temporary() bool { return true }

// Guards against taking live endpoints for dead in a starved process. A gateway without
// processor time for 1.3 s reported ten endpoints as not answering and broke off 18 streams:
// the HTTP client's own timeout had passed meanwhile, and its error ("Client.Timeout exceeded
// while awaiting headers") no longer wrapped ErrUncertain.
func TestStarvedProcessIsReportedWhateverTheClientError(t *testing.T) {
	never := func(answered <-chan struct{}) error {
		<-answered
		return nil
	}
	for name, c := range map[string]struct {
		silence func(<-chan struct{}) error
		want    error
	}{
		"starved process":            {func(<-chan struct{}) error { return probe.ErrUncertain }, probe.ErrUncertain},
		"timeout of the client only": {never, probe.ErrUncertain},
		"silent":                     {func(<-chan struct{}) error { return errSilent }, errSilent},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := probe.Prober{Control: control{causeHider: causeHider{time.Second}}, AwaitAnswer: c.silence}
				_, err := p.Query(t.Context(), "endpoint")
				require.ErrorIs(t, err, c.want)
			})
		})
	}
}

var errSilent = &probe.SilentError{Busy: 0.01}

// control implements only Report.
type control struct {
	runner.Control // nil: nothing else is called
	causeHider
}

// Report implements runner.Control.
func (c control) Report(ctx context.Context, address string) (runner.Report, error) {
	return c.causeHider.Report(ctx, address)
}

// delayed answers each endpoint after its delay in delays, and never if it has none.
type delayed struct {
	runner.Control // nil: nothing else is called
	delays         map[string]time.Duration
}

// Report implements runner.Control.
func (s delayed) Report(ctx context.Context, address string) (runner.Report, error) {
	took, answers := s.delays[address]
	if !answers {
		took = time.Hour
	}
	select {
	case <-ctx.Done():
		return runner.Report{}, context.Cause(ctx)
	case <-time.After(took):
		return runner.Report{Pace: 1}, nil
	}
}

// Guards against taking a congested path for silent endpoints. While large configurations
// arrived three times a second, host links were saturated for 0.1 s and more: gateways found
// 136 endpoints silent in ten seconds, 104 of which answered again at once, and moved 620
// streams away from them.
func TestSilentEndpointIsComparedWithAnother(t *testing.T) {
	const quick, congested = 4 * time.Millisecond, 200 * time.Millisecond
	for name, c := range map[string]struct {
		delays map[string]time.Duration
		want   error
	}{
		"reference answers": {map[string]time.Duration{"other": quick}, errSilent},
		"neither in time":   {map[string]time.Duration{"other": congested, "endpoint": congested}, probe.ErrUncertain},
		"endpoint answers":  {map[string]time.Duration{"other": quick, "endpoint": 75 * time.Millisecond}, nil},
		"nothing answers":   {map[string]time.Duration{}, probe.ErrUncertain},
		"slow endpoint":     {map[string]time.Duration{"other": quick, "endpoint": congested}, errSilent},
		"quick endpoint":    {map[string]time.Duration{"endpoint": quick}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := probe.Prober{
					Control:   delayed{delays: c.delays},
					Reference: func(string) string { return "other" },
					AwaitAnswer: func(answered <-chan struct{}) error {
						select {
						case <-answered:
							return nil
						case <-time.After(70 * time.Millisecond):
							return errSilent
						}
					},
				}
				_, err := p.Query(t.Context(), "endpoint")
				require.ErrorIs(t, err, c.want)
			})
		})
	}
}

// counting is a client that answers every request at once and counts them.
type counting struct {
	runner.Control // nil: no other method is called
	asked          int
}

func (c *counting) Report(context.Context, string) (runner.Report, error) {
	c.asked++
	return runner.Report{}, nil
}

// A shared answer says nothing about events after its request was sent. Without QuerySince, an
// endpoint that had just answered and then ended under a request counted as alive, and its end
// was not charged to the request.
func TestAnswerToEarlierRequestIsNotUsed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := new(counting)
		p := probe.Prober{Control: c}
		ask := func(since time.Time) {
			_, err := p.QuerySince(t.Context(), "endpoint", since)
			require.NoError(t, err)
		}
		ask(time.Time{})
		time.Sleep(10 * time.Millisecond)
		ask(time.Time{})
		require.Equal(t, 1, c.asked)
		broken := time.Now()
		ask(broken)
		require.Equal(t, 2, c.asked)
		time.Sleep(10 * time.Millisecond)
		ask(broken)
		require.Equal(t, 2, c.asked, "a report requested after the break is used")
	})
}
