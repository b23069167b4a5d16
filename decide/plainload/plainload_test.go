package plainload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/plainload"
)

// Guards against outdated reports that keep requests away from an endpoint, and against failures or
// distance that outweigh any load or none.
func TestScore(t *testing.T) {
	cases := []struct {
		name string
		load plainload.Load
		want float64
	}{
		{"idle", plainload.Load{ReportAge: time.Hour}, 1},
		{"requests of all gateways", plainload.Load{Active: 3, ReportAge: time.Hour}, 4},
		{"fresh report", plainload.Load{Active: 3, Waiting: 2, ReportAge: 499 * time.Millisecond}, 6},
		{"outdated report", plainload.Load{Active: 3, Waiting: 2, ReportAge: 500 * time.Millisecond}, 4},
		{"other hall", plainload.Load{Active: 3, ReportAge: time.Hour, OtherHall: true}, 4.3},
		{"a quarter of the requests fails", plainload.Load{Active: 3, ReportAge: time.Hour, FailureRate: 0.25}, 12},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.InDelta(t, c.want, c.load.Score(), 1e-9)
		})
	}
}
