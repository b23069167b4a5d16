package demo_test

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/lab/demo"
)

// TestDemoRecoversFromKilledAgent checks that the agent that the demo kills is on the chain of the answer.
// Killing an agent that the answer does not use would leave nothing to recover.
func TestDemoRecoversFromKilledAgent(t *testing.T) {
	var out bytes.Buffer
	d := demo.Demo{Out: &out, Log: zerolog.Nop()}
	require.NoError(t, d.Run(t.Context()), out.String())
	require.Contains(t, out.String(), "24 tokens in 2 attempt(s)")
	require.Contains(t, out.String(), "was killed half way")
}
