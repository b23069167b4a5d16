package proof_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/state/proof"
)

func TestProof(t *testing.T) {
	var p proof.Proof
	start := time.Unix(50, 0) // soon after the start of the clock
	require.Equal(t, time.Hour, p.Age(start), "nothing is proven")
	require.True(t, p.At().Before(start))
	p.Confirm(start)
	p.Confirm(start.Add(-time.Second))
	require.Equal(t, time.Second, p.Age(start.Add(time.Second)), "an earlier proof changes nothing")
	p.Withhold(true)
	p.Confirm(start.Add(time.Second))
	require.Equal(t, start, p.At())
	p.Withhold(false)
	p.Confirm(start.Add(time.Second))
	require.Equal(t, start.Add(time.Second), p.At())
}
