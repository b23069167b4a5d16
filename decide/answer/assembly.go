// Package answer assembles an answer from the tokens of one or more attempts.
package answer

// Verdict is the decision on a token.
type Verdict int

// Verdicts of WithToken.
const (
	// Accepted means that the token belongs to the answer.
	Accepted Verdict = iota
	// Dropped means that the token is a duplicate or comes from an earlier attempt.
	Dropped
	// Missing means that an earlier token has not arrived: the attempt can no longer be trusted.
	Missing
)

// Token is a token as sent by the last stage.
type Token struct {
	// Attempt is the attempt that generated the token.
	Attempt uint32
	// Position is the token's index in prompt and answer together, from 0.
	Position uint32
	// ID is the token's number in the vocabulary.
	ID uint32
	// End is set on the last token of the answer.
	End bool
}

// Assembly is the answer so far. Create one with New. It is an immutable value; copies share
// Tokens, which only grows.
type Assembly struct {
	// Attempt is the only attempt whose tokens are accepted; it never decreases.
	Attempt uint32
	// Prompt is the number of tokens of the prompt.
	Prompt uint32
	// Tokens are the accepted tokens. Each comes from exactly one attempt.
	Tokens []uint32
	// Complete is set once the last token was accepted; nothing follows it.
	Complete bool
}

// New returns an empty assembly for a prompt of n tokens, at attempt 1.
func New(n int) Assembly {
	return Assembly{Attempt: 1, Prompt: uint32(n)}
}

// Next returns the position of the next token.
func (a Assembly) Next() uint32 {
	return a.Prompt + uint32(len(a.Tokens))
}

// WithToken returns the assembly after a token, and the verdict on the token.
func (a Assembly) WithToken(t Token) (Assembly, Verdict) {
	if t.Attempt != a.Attempt || a.Complete || t.Position < a.Next() {
		return a, Dropped
	}
	if t.Position > a.Next() {
		return a, Missing
	}
	a.Tokens = append(a.Tokens, t.ID)
	a.Complete = t.End
	return a, Accepted
}

// WithAttempt returns the assembly at the next attempt, which continues after the tokens accepted
// so far.
func (a Assembly) WithAttempt() Assembly {
	a.Attempt++
	return a
}
