package fence_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fence"
)

func step(attempt, position, count uint32) fence.Step {
	return fence.Step{Attempt: attempt, Position: position, Count: count}
}

func TestAdmit(t *testing.T) {
	first := step(1, 0, 8)
	done := fence.Session{}.WithStarted(first)
	running := done
	done, ok := done.WithDone(first)
	require.True(t, ok)
	cases := []struct {
		name    string
		session fence.Session
		step    fence.Step
		want    fence.Verdict
	}{
		{"first step of a request", fence.Session{}, first, fence.Restart},
		{"first step seen lies in the middle", fence.Session{}, step(1, 8, 1), fence.Gap},
		{"next step", done, step(1, 8, 1), fence.Run},
		{"duplicate of the last step", done, first, fence.Replay},
		{"duplicate of the running step", running, first, fence.Duplicate},
		{"skipped position", done, step(1, 9, 1), fence.Gap},
		{"step before the last one", done, step(1, 0, 4), fence.Stale},
		{"later attempt", done, step(2, 0, 9), fence.Restart},
		{"later attempt in the middle", done, step(2, 9, 1), fence.Gap},
		{"former attempt", done.WithStarted(step(2, 0, 9)), step(1, 8, 1), fence.Stale},
		{"cancelled attempt", done.WithCancelled(1), step(1, 8, 1), fence.Stale},
		{"attempt cancelled before its first step", fence.Session{}.WithCancelled(1), first, fence.Stale},
		{"attempt after a cancelled one", done.WithCancelled(1), step(2, 0, 9), fence.Restart},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, c.session.Admit(c.step), c.want.String())
		})
	}
}

func TestOutputOfFormerAttemptIsNotUsed(t *testing.T) {
	s := fence.Session{}.WithStarted(step(1, 0, 8)).WithStarted(step(2, 0, 9))
	_, ok := s.WithDone(step(1, 0, 8))
	require.False(t, ok)
	s, ok = s.WithDone(step(2, 0, 9))
	require.True(t, ok)
	require.Equal(t, uint32(9), s.Next)
}

func TestCancelNeverLowersTheAttempt(t *testing.T) {
	s := fence.Session{}.WithStarted(step(3, 0, 8))
	require.Equal(t, s, s.WithCancelled(2))
}

func ExampleSession_Admit() {
	var s fence.Session
	prompt := fence.Step{Attempt: 1, Position: 0, Count: 5}
	fmt.Println(s.Admit(prompt))
	s = s.WithStarted(prompt)
	s, _ = s.WithDone(prompt)
	fmt.Println(s.Admit(prompt))
	fmt.Println(s.Admit(fence.Step{Attempt: 1, Position: 5, Count: 1}))
	// Output:
	// restart
	// replay
	// run
}
