package catalog

import "time"

// Service is what a set of endpoints offers.
type Service struct {
	Name string
	// Model is set for services whose endpoints hold layers of a model.
	Model *Model
}

// Model is a model whose layers lie on several endpoints, and how long its
// engine takes. The formula of the engine is on the users' pages: a token costs
// Step, PerSequence for each request that writes and PerContext for each 1,000
// tokens of context; reading a prompt costs 1/ReadRate a token. All are for a
// whole model on a card of pace 1, and follow the share of the layers.
type Model struct {
	// Layers is the number of layers.
	Layers int
	// LayerSize is the memory of one layer, in MB.
	LayerSize float64
	// TokenSize is the memory of one token over all layers, in MB.
	TokenSize float64
	// Step, PerSequence and PerContext are the parts of a token's time.
	Step, PerSequence, PerContext time.Duration
	// ReadRate is the number of prompt tokens read in a second.
	ReadRate float64
	// Handed is what an endpoint hands on for one token, and LinkRate what the
	// line between two halls carries in a second, both in MB; 0 for no bound.
	Handed, LinkRate float64
	// Slots is the number of requests that an engine runs together.
	Slots int
	// Load is the time to load all layers onto one card.
	Load time.Duration
	// Prompt and Answer are the usual sizes of a request, in tokens.
	Prompt, Answer int
	// Cards are the kinds of accelerators by name.
	Cards map[string]Card
}

// Card is a kind of accelerator.
type Card struct {
	// Memory is in MB.
	Memory float64
	// Pace multiplies the time of a token, Read that of reading a prompt.
	Pace, Read float64
}

// Room returns the number of tokens that fit beside so many layers on a card,
// over those layers. It is negative when the layers do not fit.
func (m *Model) Room(card Card, layers int) int {
	if layers <= 0 {
		return 0
	}
	free := card.Memory - float64(layers)*m.LayerSize
	return int(free / (m.TokenSize * float64(layers) / float64(m.Layers)))
}
