package requestmemory_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/requestmemory"
)

// Guards against requests of unknown size that count as empty, and against an estimate beyond the
// bound that the caller has set.
func TestTokens(t *testing.T) {
	m := &catalog.Model{Prompt: 500, Answer: 200}
	cases := []struct {
		name  string
		sizes requestmemory.Sizes
		want  int
	}{
		{"sizes unknown", requestmemory.Sizes{}, 500 + 120},
		{"prompt known", requestmemory.Sizes{Prompt: 40}, 40 + 120},
		{"answer known", requestmemory.Sizes{Prompt: 40, ExpectedAnswer: 1000}, 40 + 600},
		{"answer bounded", requestmemory.Sizes{Prompt: 40, ExpectedAnswer: 1000, MaxAnswer: 50}, 40 + 50},
		{"bound of no effect", requestmemory.Sizes{Prompt: 40, MaxAnswer: 150}, 40 + 120},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, requestmemory.Tokens(m, c.sizes))
		})
	}
	require.InDelta(t, 620, requestmemory.Typical(m), 1e-9)
}
