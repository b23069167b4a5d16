// Package toy is a deterministic model that is cheap to run and exposes any
// mistake in running it: each layer keeps a hash of all its input, so a layer that
// runs twice, out of order or not at all changes every later token. Tests compare
// the tokens of a chain of engines with Model.Answer.
package toy

// Sizes of the data that stages pass on, in bytes.
const (
	// TokenBytes is the size of one token, the input of the first layer.
	TokenBytes = 4
	// ActivationBytes is the size of one activation, the input of all other layers.
	ActivationBytes = 8
)

// vocabulary is the number of distinct output tokens: the lower-case letters.
const vocabulary = 26

// Model is a toy model of Layers layers. The length of Name seeds it.
type Model struct {
	Name   string
	Layers int
}

// Cache is the state of one layer for one request.
type Cache uint64

// Embed returns the activation of a token.
func Embed(token uint32) uint64 {
	return mix(uint64(token) + 0x9e3779b97f4a7c15)
}

// Layer runs layer l on activation x, updates its cache and returns the next
// activation.
func (m Model) Layer(l int, cache *Cache, x uint64) uint64 {
	h := mix(uint64(*cache) ^ x ^ uint64(l)<<48 ^ uint64(len(m.Name)))
	*cache = Cache(h)
	return mix(x + h)
}

// Token returns the token of the last layer's activation, as a lower-case letter.
func Token(x uint64) uint32 {
	return 'a' + uint32(x%vocabulary)
}

// Answer returns the first n tokens that the model generates for prompt.
func (m Model) Answer(prompt []uint32, n int) []uint32 {
	caches := make([]Cache, m.Layers)
	var next uint32
	for _, token := range prompt {
		next = m.step(caches, token)
	}
	answer := make([]uint32, 0, n)
	for range n {
		answer = append(answer, next)
		next = m.step(caches, next)
	}
	return answer
}

func (m Model) step(caches []Cache, token uint32) uint32 {
	x := Embed(token)
	for l := range caches {
		x = m.Layer(l, &caches[l], x)
	}
	return Token(x)
}

// Tokens returns the tokens of text, one per byte.
func Tokens(text string) []uint32 {
	tokens := make([]uint32, len(text))
	for i := range len(text) {
		tokens[i] = uint32(text[i])
	}
	return tokens
}

// mix scrambles the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
