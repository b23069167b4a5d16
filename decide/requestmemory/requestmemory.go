// Package requestmemory estimates the number of tokens for which a request of a model needs memory.
package requestmemory

import "github.com/grademill/grademill/decide/catalog"

// heldAnswerShare is the share of its answer for which a request holds memory on average, with
// a margin: it holds the whole answer only at the end.
const heldAnswerShare = 0.6

// Sizes are what a request says of its size, in tokens; 0 means unknown.
type Sizes struct {
	Prompt, ExpectedAnswer int
	// MaxAnswer bounds the answer.
	MaxAnswer int
}

// Tokens returns the estimated number of tokens for which a request needs memory.
func Tokens(m *catalog.Model, s Sizes) int {
	prompt, likely := s.Prompt, s.ExpectedAnswer
	if prompt == 0 {
		prompt = m.Prompt
	}
	if likely == 0 {
		likely = m.Answer
	}
	likely = int(float64(likely) * heldAnswerShare)
	if s.MaxAnswer > 0 {
		likely = min(likely, s.MaxAnswer)
	}
	return prompt + likely
}

// Typical returns the number of tokens for which a typical request holds memory.
func Typical(m *catalog.Model) float64 {
	return float64(m.Prompt) + heldAnswerShare*float64(m.Answer)
}
