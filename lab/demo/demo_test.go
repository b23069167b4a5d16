package demo_test

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/lab/demo"
)

// The demo kills an agent of the chain that the answer comes along, so that there is something
// to recover: it killed one that the answer did not use, and showed nothing.
func TestDemoShowsARecovery(t *testing.T) {
	var out bytes.Buffer
	d := demo.Demo{Out: &out, Log: zerolog.Nop()}
	require.NoError(t, d.Run(t.Context()), out.String())
	require.Contains(t, out.String(), "24 tokens in 2 attempt(s)")
	require.Contains(t, out.String(), "was killed half way")
}
