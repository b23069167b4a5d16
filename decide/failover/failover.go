// Package failover decides how a stream continues after the loss of one of its endpoints: by moving
// to others that hold the same layers, which read the prompt again, or by restarting along another
// chain.
package failover

import "time"

// minSpeedup is how many times sooner another chain must be expected to yield the next event for a
// stream to restart there instead of moving: an attempt uses up retry budget and reads the whole
// prompt again.
const minSpeedup = 2

// Reader is an endpoint that has to read the prompt.
type Reader struct {
	// OwnPrompts is the number of this gateway's prompts that it reads, including the stream's.
	// OtherPrompts is that of the other gateways, as far as reported.
	OwnPrompts, OtherPrompts float64
	// Share is its share of the model's layers. TimeFactor is the time its hardware takes to read a
	// prompt, relative to the fastest.
	Share, TimeFactor float64
}

// ReadTime returns how long the parts are expected to take to read a prompt that one endpoint of the
// fastest kind with all layers would read in the time alone. The parts read in parallel, so the
// slowest determines the result. The parameter fleetFactor is the number of prompts of all gateways
// for each of this gateway's: after the loss of an endpoint all gateways move their streams before
// their reports reach each other.
func ReadTime(parts []Reader, alone time.Duration, fleetFactor float64) time.Duration {
	longest := 0.0
	for _, p := range parts {
		// The stream's own prompt stands for fleetFactor prompts, on average half of them ahead of it.
		ahead := max((p.OwnPrompts-0.5)*fleetFactor+p.OtherPrompts, 0.5)
		longest = max(longest, (0.5+ahead)*p.Share*p.TimeFactor)
	}
	return time.Duration(longest * float64(alone))
}

// ShouldRestart reports whether a stream should restart along another chain: its next event would be
// late after the time move, and would come much sooner after the time other. The parameter spare is
// the time left for the event.
func ShouldRestart(move, other, spare time.Duration) bool {
	return move >= spare && minSpeedup*other <= move
}

// maxFleetFactor bounds the result of FleetFactor, which may be high because this gateway has only
// one of the requests at the endpoint.
const maxFleetFactor = 64

// FleetFactor returns the ratio of the requests of all gateways at an endpoint to those of this
// gateway, from the number of its own and that of the others.
func FleetFactor(own, others int64) float64 {
	if own <= 0 || others <= 0 {
		return 1
	}
	return min(1+float64(others)/float64(own), maxFleetFactor)
}
