// Package answer assembles one answer out of the tokens that reach its owner.
package answer

// Verdict is what became of a token.
type Verdict int

// The verdicts.
const (
	// Accepted tokens belong to the answer.
	Accepted Verdict = iota
	// Dropped tokens are doubles or come from a former attempt.
	Dropped
	// Missing says that a token before this one has not come: the attempt
	// cannot be trusted any more.
	Missing
)

// Token is one token as the last stage sent it.
type Token struct {
	// Attempt is the attempt that made the token.
	Attempt uint32
	// Position counts prompt and answer from 0.
	Position uint32
	// ID is the token itself.
	ID uint32
	// End marks the last token of the answer.
	End bool
}

// Assembly is the answer so far. Make one with New. It is an immutable value;
// copies share Tokens, which only grows.
type Assembly struct {
	// Attempt is the one attempt whose tokens are accepted; it never falls.
	Attempt uint32
	// Prompt is the number of prompt tokens.
	Prompt uint32
	// Tokens are the accepted tokens, each from exactly one attempt.
	Tokens []uint32
	// Complete is whether the end mark was accepted; nothing follows it.
	Complete bool
}

// New returns an empty assembly for a prompt of n tokens, at attempt 1.
func New(n int) Assembly {
	return Assembly{Attempt: 1, Prompt: uint32(n)}
}

// Next returns the position of the token that is awaited.
func (a Assembly) Next() uint32 {
	return a.Prompt + uint32(len(a.Tokens))
}

// WithToken returns the assembly after t, and what became of t.
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

// WithAttempt returns the assembly waiting for the next attempt. Tokens
// already accepted stay; the new attempt goes on after them.
func (a Assembly) WithAttempt() Assembly {
	a.Attempt++
	return a
}
