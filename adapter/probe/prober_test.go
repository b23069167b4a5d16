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
