package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/pause"
)

func TestFor(t *testing.T) {
	cases := []struct {
		name             string
		wait, ends, want time.Duration
	}{
		{"the whole time", time.Second, time.Minute, time.Second},
		{"until the context ends", time.Minute, time.Second, time.Second},
		{"no time", -time.Second, time.Minute, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.ends)
				defer cancel()
				start := time.Now()
				pause.For(ctx, c.wait)
				require.Equal(t, c.want, time.Since(start))
			})
		})
	}
}
