package requestlog_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/requestlog"
)

// The logs alone must determine the result of a request, even if its gateway lost power.
func TestVerdict(t *testing.T) {
	const (
		sent   = `{"time":"2026-12-02T10:00:00Z","process":"g-1","message":"request is sent","request":"r","address":"10.0.0.1:80"}`
		served = `{"time":"2026-12-02T10:00:01Z","process":"g-1","message":"request ended","request":"r","outcome":"served","status":200,"runs":1,"used":["10.0.0.1:80"]}`
		notRun = `{"time":"2026-12-02T10:00:01Z","process":"g-1","message":"request ended","request":"r","outcome":"not run","status":503,"runs":0,"used":["10.0.0.1:80"]}`
		failed = `{"time":"2026-12-02T10:00:01Z","process":"g-1","message":"request ended","request":"r","outcome":"failed","status":502,"runs":1,"used":["10.0.0.1:80"]}`
		other  = `{"time":"2026-12-02T10:00:01Z","process":"g-1","message":"endpoint gone","address":"10.0.0.1:80"}`
	)
	cases := []struct {
		name string
		log  []string
		want requestlog.Verdict
	}{
		{"acknowledged", []string{sent, served}, requestlog.Verdict{Result: requestlog.FateAnswered, Process: "g-1", Endpoint: "10.0.0.1:80", Status: 200}},
		{"refused", []string{sent, notRun}, requestlog.Verdict{Result: requestlog.FateNotRun, Process: "g-1", Status: 503}},
		{"failed", []string{sent, failed}, requestlog.Verdict{Result: requestlog.FateRan, Process: "g-1", Endpoint: "10.0.0.1:80", Status: 502}},
		{"power lost in between", []string{sent, other}, requestlog.Verdict{Result: requestlog.FateUnknown, Process: "g-1", Endpoint: "10.0.0.1:80"}},
		{"never sent", []string{other}, requestlog.Verdict{Result: requestlog.FateUnsent}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &requestlog.Log{Request: "r", Before: time.Minute}
			_, err := s.Read(strings.NewReader(strings.Join(c.log, "\n")))
			require.NoError(t, err)
			require.Equal(t, c.want, s.Verdict())
			require.NotEmpty(t, s.Verdict().String())
		})
	}
}

// The verdict on a late answer must show how its time was spent.
func TestVerdictHoldsTimes(t *testing.T) {
	const log = `{"time":"2026-12-02T10:00:01Z","process":"g-1","message":"request ended","request":"r","outcome":"served","status":200,"runs":1,"first_ms":640.25,"waited_ms":300.5,"under_route_ms":2100,"returned":true,"pause_ms":46.2}`
	s := &requestlog.Log{Request: "r", Before: time.Minute}
	_, err := s.Read(strings.NewReader(log))
	require.NoError(t, err)
	want := requestlog.Times{
		Before: 2100 * time.Millisecond, Line: 301 * time.Millisecond, Chain: 339 * time.Millisecond,
		MaxPause: 46 * time.Millisecond,
	}
	require.Equal(t, want, s.Verdict().Times)
	require.Contains(t, s.Verdict().String(), "2.1s with earlier tries, 301ms in line, 339ms from there to the first event; longest pause 46ms")
}
