package progress_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/progress"
)

func at(next uint32) progress.Report {
	return progress.Report{Known: true, Next: next}
}

func TestLost(t *testing.T) {
	running := progress.Report{Known: true, Running: true, Next: 8}
	unknown := progress.Report{}
	cases := []struct {
		name           string
		former, latest []progress.Report
		stage          int
		lost           bool
	}{
		{"a stage is running", []progress.Report{at(9), running, at(8)}, []progress.Report{at(9), running, at(8)}, 0, false},
		{"a step was between two stages", []progress.Report{at(9), at(8), at(8)}, []progress.Report{at(9), at(9), at(8)}, 0, false},
		{"a step did not reach the second stage", []progress.Report{at(9), at(8), at(8)}, []progress.Report{at(9), at(8), at(8)}, 1, true},
		{"a step did not reach the last stage", []progress.Report{at(9), at(9), at(8)}, []progress.Report{at(9), at(9), at(8)}, 2, true},
		{"the token was lost", []progress.Report{at(9), at(9), at(9)}, []progress.Report{at(9), at(9), at(9)}, 2, true},
		{"the first step was lost", []progress.Report{unknown, unknown}, []progress.Report{unknown, unknown}, 0, true},
		{"a stage does not know the attempt", []progress.Report{at(9), unknown}, []progress.Report{at(9), unknown}, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			stage, lost := progress.Lost(c.former, c.latest)
			require.Equal(t, c.lost, lost)
			require.Equal(t, c.stage, stage)
		})
	}
}
