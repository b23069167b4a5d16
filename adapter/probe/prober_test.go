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

// lossy is a client whose errors hide why a question was given up, as those of net/http do once its
// own bound has passed, too.
type lossy struct{ limit time.Duration }

func (l lossy) Report(ctx context.Context, _ string) (runner.Report, error) {
	select {
	case <-ctx.Done():
		return runner.Report{}, &timeoutError{context.Cause(ctx).Error() + " (bound exceeded)"}
	case <-time.After(l.limit):
		return runner.Report{}, &timeoutError{"bound exceeded"}
	}
}

type timeoutError struct{ text string }

func (e *timeoutError) Error() string { return e.text }
func (*timeoutError) Timeout() bool   { return true }
func (*timeoutError) Temporary() bool { return true }

// A gateway that had no processor time for 1.3 s took ten endpoints for dead at once, and broke off
// 18 streams: "endpoint does not answer" with the error "this process was held up, and cannot tell
// whether there is an answer (Client.Timeout exceeded while awaiting headers)". The HTTP client had
// passed its own bound meanwhile, and its error no longer was ErrHeldUp.
func TestHeldUpProcessSaysSoWhateverTheClientSays(t *testing.T) {
	never := func(answered <-chan struct{}) error {
		<-answered
		return nil
	}
	for name, c := range map[string]struct {
		silence func(<-chan struct{}) error
		want    error
	}{
		"held up":                  {func(<-chan struct{}) error { return probe.ErrHeldUp }, probe.ErrHeldUp},
		"bound of the client only": {never, probe.ErrHeldUp},
		"silent":                   {func(<-chan struct{}) error { return errSilent }, errSilent},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := probe.Prober{Control: control{lossy: lossy{time.Second}}, Silence: c.silence}
				_, err := p.Ask(t.Context(), "endpoint")
				require.ErrorIs(t, err, c.want)
			})
		})
	}
}

// errSilent is that of a test.
var errSilent = &probe.SilentError{Busy: 0.01}

// control only reports.
type control struct {
	runner.Control // nil: nothing else is called
	lossy
}

// Report implements runner.Control.
func (c control) Report(ctx context.Context, address string) (runner.Report, error) {
	return c.lossy.Report(ctx, address)
}

// slow answers for each endpoint after a time of its own, never where it has none.
type slow struct {
	runner.Control // nil: nothing else is called
	times          map[string]time.Duration
}

// Report implements runner.Control.
func (s slow) Report(ctx context.Context, address string) (runner.Report, error) {
	took, lives := s.times[address]
	if !lives {
		took = time.Hour
	}
	select {
	case <-ctx.Done():
		return runner.Report{}, context.Cause(ctx)
	case <-time.After(took):
		return runner.Report{Pace: 1}, nil
	}
}

// While large configurations came three times a second, the links of hosts were full for 0.1 s and
// more: gateways found 136 endpoints silent in ten seconds, 104 of which answered again at once, and
// moved 620 streams away from them. Nothing told a silent endpoint from a choked way to all.
func TestSilenceIsComparedWithAnotherEndpoint(t *testing.T) {
	const quick, choked = 4 * time.Millisecond, 200 * time.Millisecond
	for name, c := range map[string]struct {
		times map[string]time.Duration
		want  error
	}{
		"the other answers":   {map[string]time.Duration{"other": quick}, errSilent},
		"neither in time":     {map[string]time.Duration{"other": choked, "endpoint": choked}, probe.ErrHeldUp},
		"its answer comes":    {map[string]time.Duration{"other": quick, "endpoint": 75 * time.Millisecond}, nil},
		"no other is there":   {map[string]time.Duration{}, probe.ErrHeldUp},
		"it answers, slowly":  {map[string]time.Duration{"other": quick, "endpoint": choked}, errSilent},
		"it answers, quickly": {map[string]time.Duration{"endpoint": quick}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := probe.Prober{
					Control:   slow{times: c.times},
					Reference: func(string) string { return "other" },
					Silence: func(answered <-chan struct{}) error {
						select {
						case <-answered:
							return nil
						case <-time.After(70 * time.Millisecond):
							return errSilent
						}
					},
				}
				_, err := p.Ask(t.Context(), "endpoint")
				require.ErrorIs(t, err, c.want)
			})
		})
	}
}

// counting is a client that counts the questions, all of which are answered.
type counting struct {
	runner.Control // nil: what is not asked here must not be called
	asked          int
}

func (c *counting) Report(context.Context, string) (runner.Report, error) {
	c.asked++
	return runner.Report{}, nil
}

// An answer that serves all who ask for a moment is no word on what happens in that moment: an endpoint
// that had just answered and then ended under a request passed for one that lives, and its end was not
// charged to the request.
func TestAnswerFromBeforeIsNotTaken(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := new(counting)
		p := probe.Prober{Control: c}
		ask := func(since time.Time) {
			_, err := p.AskSince(t.Context(), "endpoint", since)
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
		require.Equal(t, 2, c.asked, "what was asked after the break serves")
	})
}
