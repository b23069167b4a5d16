package withdrawal_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/withdrawal"
)

// Guards against an attempt that is taken to have failed because it was withdrawn, and the other way round.
func TestOnlyWithdrawnAttemptsCountAsWithdrawn(t *testing.T) {
	for name, c := range map[string]struct {
		left      time.Duration
		end       func(ctx withdrawal.Context, parent func())
		withdrawn bool
	}{
		"withdrawn":                   {time.Hour, func(ctx withdrawal.Context, _ func()) { ctx.Withdraw() }, true},
		"withdrawn before it is over": {time.Hour, func(ctx withdrawal.Context, _ func()) { ctx.Withdraw(); ctx.Cancel() }, true},
		"over before it is withdrawn": {time.Hour, func(ctx withdrawal.Context, _ func()) { ctx.Cancel(); ctx.Withdraw() }, false},
		"the caller has left":         {time.Hour, func(_ withdrawal.Context, parent func()) { parent() }, false},
		"the deadline has passed":     {0, func(withdrawal.Context, func()) {}, false},
	} {
		t.Run(name, func(t *testing.T) {
			parent, leave := context.WithCancel(t.Context())
			defer leave()
			ctx := withdrawal.Until(parent, time.Now().Add(c.left))
			defer ctx.Cancel()
			require.False(t, withdrawal.Withdrawn(ctx))
			c.end(ctx, leave)
			<-ctx.Done()
			require.Equal(t, c.withdrawn, withdrawal.Withdrawn(ctx))
		})
	}
}
