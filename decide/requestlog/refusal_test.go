package requestlog_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/requestlog"
)

func read(t *testing.T, lines ...string) *requestlog.Log {
	s := &requestlog.Log{Request: "r", Before: time.Second}
	_, err := s.Read(strings.NewReader(strings.Join(lines, "\n")))
	require.NoError(t, err)
	return s
}

// Guards against a refusal that is explained by the level of another gateway, of another service or of
// a later time.
func TestRefusalNamesLevelInForce(t *testing.T) {
	s := read(
		t,
		`{"time":"2026-12-02T10:00:00Z","process":"g-1","message":"shedding level","service":"chat","open":false,"capacity_per_s":500,"offered_per_s":700,"marginal_priority":2,"marginal_returning":false,"marginal_share":0.5,"alone":false}`,
		`{"time":"2026-12-02T10:00:05Z","process":"g-1","message":"shedding level","service":"chat","open":false,"capacity_per_s":650.5,"offered_per_s":1560,"admitted_per_s":640,"waiting":70,"alone":false,"report_age_ms":140.25,"marginal_priority":1,"marginal_returning":false,"marginal_share":0.39}`,
		`{"time":"2026-12-02T10:00:06Z","process":"g-1","message":"shedding level","service":"code","open":false,"capacity_per_s":10,"offered_per_s":20}`,
		`{"time":"2026-12-02T10:00:06Z","process":"g-2","message":"shedding level","service":"chat","open":false,"capacity_per_s":11,"offered_per_s":20}`,
		`{"time":"2026-12-02T10:00:09Z","process":"g-1","message":"shedding level","service":"chat","open":true,"capacity_per_s":12,"offered_per_s":20}`,
		`{"time":"2026-12-02T10:00:08Z","process":"g-1","message":"request ended","request":"r","outcome":"not run","status":503,"runs":0,"reason":"the fleet has no room for this class","service":"chat","returned":true,"admit_share":0.12,"priority":1,"come_back_ms":3000}`,
	)
	require.Equal(t, &requestlog.Refusal{
		Class: requestlog.Class{Priority: 1, Returning: true}, Share: 0.12,
		Level: requestlog.Level{
			Before: 3 * time.Second, Capacity: 650.5, Offered: 1560, Marginal: requestlog.Class{Priority: 1}, MarginalShare: 0.39,
			ReportAge: 140 * time.Millisecond,
		},
	}, s.Verdict().Refusal)
	require.Len(t, s.Lines(), 2, "the level in force and the last line")
	require.Equal(t, "not run, status 503, by gateway g-1; the fleet admitted 0.12 of such requests (priority 1, returning); "+
		"level in force, logged 3s before: capacity 650.5/s, offered 1560/s, marginal class priority 1, new, of which 0.39 admitted, reports 140ms old",
		s.Verdict().String())
}

// Guards against a level that is made up where the logs have none, and against another reading of logs
// of former builds.
func TestRefusalWithoutLevel(t *testing.T) {
	const ended = `{"time":"2026-12-02T10:00:08Z","process":"g-1","message":"request ended","request":"r","outcome":"not run","status":503,"runs":0,"reason":"the fleet has no room for this class"`
	v := read(t, ended+`,"service":"chat","admit_share":0.5,"priority":0}`).Verdict()
	require.Equal(t, &requestlog.Refusal{Share: 0.5}, v.Refusal)
	require.Contains(t, v.String(), "the logs do not have the level in force")
	require.Equal(t, "not run, status 503, by gateway g-1", read(t, ended+`}`).Verdict().String())
	require.Nil(t, read(t, strings.Replace(ended, "the fleet has no room for this class", "no chain has room", 1)+`,"admit_share":1}`).Verdict().Refusal)
}

// Guards against a late answer without its cause: the caller was refused before and came back.
func TestLateAnswerToReturningCaller(t *testing.T) {
	const ended = `{"time":"2026-12-02T10:00:08Z","process":"g-1","message":"request ended","request":"r","outcome":"served","status":200,"runs":1,"used":["10.0.0.1:80"],"first_ms":200,"waited_ms":50,"under_route_ms":3100`
	v := read(t, ended+`,"returned":true,"admit_share":0.3,"priority":1}`).Verdict()
	require.True(t, v.Returned)
	require.Contains(t, v.String(), "its caller had come back after a refusal, and its time counts from the first attempt; 3.1s with earlier tries")
	require.NotContains(t, read(t, ended+`,"returned":false}`).Verdict().String(), "come back")
}
