package answer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/answer"
)

func TestWithToken(t *testing.T) {
	token := func(attempt, position uint32) answer.Token {
		return answer.Token{Attempt: attempt, Position: position, ID: position}
	}
	start := answer.New(3)
	one, verdict := start.WithToken(token(1, 3))
	require.Equal(t, answer.Accepted, verdict)
	cases := []struct {
		name  string
		have  answer.Assembly
		token answer.Token
		want  answer.Verdict
	}{
		{"doubled", one, token(1, 3), answer.Dropped},
		{"next", one, token(1, 4), answer.Accepted},
		{"skipped token", one, token(1, 5), answer.Missing},
		{"former attempt", one.WithAttempt(), token(1, 4), answer.Dropped},
		{"next attempt continues", one.WithAttempt(), token(2, 4), answer.Accepted},
		{"attempt that was not started", one, token(2, 4), answer.Dropped},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, verdict := c.have.WithToken(c.token)
			require.Equal(t, c.want, verdict)
		})
	}
}

func TestNothingFollowsTheEnd(t *testing.T) {
	a, _ := answer.New(1).WithToken(answer.Token{Attempt: 1, Position: 1, End: true})
	require.True(t, a.Complete)
	_, verdict := a.WithToken(answer.Token{Attempt: 1, Position: 2})
	require.Equal(t, answer.Dropped, verdict)
}
