package drain_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/role/drain"
)

func TestWait(t *testing.T) {
	cases := []struct {
		name            string
		empty, gone, at time.Duration
	}{
		{"empties", 3 * time.Second, time.Hour, 3 * time.Second},
		{"limit", time.Hour, time.Hour, 10 * time.Second},
		{"context ends", time.Hour, 2 * time.Second, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), c.gone)
				defer cancel()
				start := time.Now()
				drain.Wait(ctx, 10*time.Second, func() int {
					if time.Since(start) >= c.empty {
						return 0
					}
					return 1
				})
				require.Equal(t, c.at, time.Since(start))
			})
		})
	}
}
