// Package chaincost computes the costs by which the cheapest chain of endpoints is found, in seconds
// per token, and the random factors that keep gateways from choosing the same chains.
package chaincost

import (
	"github.com/grademill/grademill/decide/catalog"
)

// Costs of a chain in addition to the engines' own times, in seconds per token.
const (
	// HopInHall is the cost of passing a token on within a hall, HopAcrossHalls to another hall; the
	// latter is high because all halls share one link.
	HopInHall      = 0.0003
	HopAcrossHalls = 0.006
	// RemoteEntry is the cost of entering a chain in a hall other than the one to which the
	// request is directed. It keeps gateways of different halls from choosing the same chains. Under
	// high load, 0.74 of the possible value of all requests is reached, a late answer counting less,
	// and 0.72 with a cost of 0.002.
	RemoteEntry = 0.004
)

// KeptLayer is the cost factor of a layer that has already processed the request: it need not
// read the prompt again.
const KeptLayer = 0.05

// maxMemoryFactor bounds the cost factor of a nearly full endpoint.
const maxMemoryFactor = 12

// maxHallNoise and maxEndpointNoise bound the random extra cost of a hall and of an endpoint, drawn
// anew for each request. What gateways know of each other's requests is 0.2 to 0.4 s old, and
// without noise they would all take the same cheapest chain meanwhile. Under high load, 0.67 of the
// possible value of all requests is reached, a late answer counting less, and 0.58 without noise.
const (
	maxHallNoise     = 0.7
	maxEndpointNoise = 0.2
)

// readSpreadTokens is the number of tokens over which the cost of reading a prompt is spread. An
// answer has about 200 tokens, but an answer whose first event is late counts only half: with the
// cost spread over the whole answer, 60 prompts waiting at an endpoint would weigh less than the
// use of another hall. Under high load, 0.67 of the possible value of all requests is reached, and
// 0.66 with 10 tokens.
const readSpreadTokens = 32

// Load is the use of an endpoint at the time of a search.
type Load struct {
	// Active is the number of requests that the endpoint runs for all gateways. OwnReading is the
	// number of this gateway's whose prompt it reads, OthersReading that of the other gateways.
	Active, OwnReading, OthersReading int64
	// FleetFactor is how many requests of the whole fleet are moved or sent again for the same
	// reason, for each one of this gateway.
	FleetFactor float64
}

// LayerTime returns the seconds that one layer of an endpoint adds to a token of a request with a
// prompt of the given number of tokens, including a share of the time to read the prompt after
// those that are being read there.
func LayerTime(m *catalog.Model, card catalog.Card, prompt int, l Load) float64 {
	reading := float64(l.OwnReading)*l.FleetFactor + float64(l.OthersReading)
	step := m.Step.Seconds() + float64(l.Active)*m.PerSequence.Seconds()
	read := (1 + reading) * float64(prompt) / m.ReadRate / readSpreadTokens
	return (step*card.TokenTimeFactor + read*card.PromptTimeFactor) / float64(m.Layers)
}

// MemoryFactor returns the cost factor of an endpoint for its memory in use.
func MemoryFactor(free, room float64) float64 {
	if free <= 0 || room <= 0 {
		return maxMemoryFactor
	}
	return min(room/free, maxMemoryFactor)
}

// EndpointNoise returns the cost factor of an endpoint for one request, from a random number in
// [0, 1).
func EndpointNoise(random float64) float64 { return 1 + maxEndpointNoise*random }
