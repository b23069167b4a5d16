package e2e_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An endpoint without layers is ordered to load the uncovered layers, if the
// policies allow it.
func TestIdleEndpointTakesTheMissingRange(t *testing.T) {
	w := newWorld(t)
	w.addEntries("entry-1", "entry-2")
	w.engine("engine-1", "rose-hill", 0, 4, "-load", "50ms")
	w.engine("engine-2", "quatre-bornes", 4, 8, "-load", "50ms")
	w.engine("spare-1", "curepipe", 0, 0, "-load", "50ms")
	w.engine("spare-2", "rose-hill", 0, 0, "-load", "50ms")
	w.list()
	w.put(w.entries[0], "policies", "not-in-curepipe", `{"match":"false","place":"hall != 'curepipe'"}`)
	w.configure(4)
	w.eventually(func() bool { return complete(w.entries[0], "hello", 1).whole }, "the model is served")
	require.Empty(t, w.engineRecord(w.engines[2]), "a policy forbids the hall of this endpoint")
	require.NotEmpty(t, w.engineRecord(w.engines[3]))
	// The next leader continues with a higher term after the first is killed.
	w.put(w.entries[0], "policies", "not-in-curepipe", `{"match":"false"}`)
	w.entries[0].kill()
	w.agents[0].kill()
	w.eventually(func() bool { return complete(w.entries[1], "hello", 1).whole }, "the model is served again")
	require.NotEmpty(t, w.engineRecord(w.engines[2]))
}

// The stages of a request end it when its entry has been killed.
func TestOrphanedRequestEnds(t *testing.T) {
	w := replicatedChain(t)
	l := run(1, 2000, w.entries[0])
	w.awaitSteps(20)
	w.entries[0].kill()
	l.group.Wait()
	require.False(t, l.answers[0].whole)
	w.eventually(func() bool {
		before := w.steps()
		again := run(4, 4, w.entries[1])
		again.whole(t)
		// Only the steps of the new requests have run since.
		return w.steps()-before <= 4*3*5
	}, "the orphaned request ends")
}

// steps returns the number of steps that all engines have run.
func (w *world) steps() int {
	n := 0
	for _, e := range w.engines {
		n += len(w.engineRecord(e))
	}
	return n
}
