package catalog

import "time"

// Service is offered by a set of endpoints.
type Service struct {
	Name string
	// Model is set for services whose endpoints hold layers of a model, and nil for plain
	// services.
	Model *Model
}

// Model describes a model whose layers are spread over several endpoints, and the speed of its
// engine. One step takes Step, plus PerSequence for each request that generates, plus
// PerContext for each 1,000 tokens of context; reading a prompt takes 1/ReadRate seconds per
// token. All times are for the whole model on a card of pace 1, and scale with the share of the
// layers.
type Model struct {
	// Layers is the number of layers.
	Layers int
	// LayerSize is the memory of one layer, in MB.
	LayerSize float64
	// TokenSize is the memory of one token over all layers, in MB.
	TokenSize float64
	// Step, PerSequence and PerContext are the components of the time per token.
	Step, PerSequence, PerContext time.Duration
	// ReadRate is the number of prompt tokens read per second.
	ReadRate float64
	// TransferPerToken is the data that an endpoint passes on for one token, in MB, and
	// LinkRate the capacity of the link between two halls, in MB per second; 0 means no bound.
	TransferPerToken, LinkRate float64
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// Load is the time to load all layers onto one card.
	Load time.Duration
	// Prompt and Answer are the typical sizes of a request, in tokens.
	Prompt, Answer int
	// Cards are the kinds of accelerator cards by name.
	Cards map[string]Card
}

// Card is a kind of accelerator card.
type Card struct {
	// Memory is in MB.
	Memory float64
	// TokenTimeFactor is a factor on the time per token, PromptTimeFactor one on the time to
	// read a prompt; higher is slower.
	TokenTimeFactor, PromptTimeFactor float64
}

// Room returns the number of tokens for which a card has memory beside the given number of
// layers, where a token takes memory for those layers only. It is negative when the layers do
// not fit.
func (m *Model) Room(card Card, layers int) int {
	if layers <= 0 {
		return 0
	}
	free := card.Memory - float64(layers)*m.LayerSize
	return int(free / (m.TokenSize * float64(layers) / float64(m.Layers)))
}
