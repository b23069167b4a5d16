package cputime_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/cputime"
)

func TestUsedGrowsWithWork(t *testing.T) {
	begun := cputime.Used()
	require.Positive(t, begun)
	sum := 0
	for cputime.Used() == begun {
		for i := range 1000 {
			sum += i
		}
	}
	require.Greater(t, cputime.Used(), begun, sum)
}
