package quarantine_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that is cut, with most of its time left, because the store does not answer for a moment while the
// stream waits for an isolated attempt.
func TestStreamWaitsForTheStore(t *testing.T) {
	t.Parallel()
	const outage, left = 3 * time.Second, 20 * time.Second
	inFleet(t, 5, func(ctx context.Context, f *fleet) {
		f.arrive(ctx, 0, 2, poison, false)
		time.Sleep(time.Second)
		f.setStoreDown(true)
		time.AfterFunc(outage, func() { f.setStoreDown(false) })
		g := f.nodes[1].guard(poison)
		require.NoError(t, g.Enter(ctx, left, true))
		require.NotEmpty(t, g.Endpoint())
	})
}
