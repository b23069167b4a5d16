// Package reread decides what is best for a stream one of whose endpoints has been lost:
// to be moved to others that hold the same layers, or to begin anew along another chain.
package reread

import "time"

// leaveGain is how many times sooner another chain must be expected to give the next event
// for a stream to leave one along which it could be moved: a try costs a part of the retry
// budget, and the whole prompt is read again.
const leaveGain = 2

// Part is an endpoint that has to read the prompt.
type Part struct {
	// Own is the number of prompts of this gateway that it reads, the stream's included,
	// and Others that of the other gateways, as far as they have said so.
	Own, Others float64
	// Share is its share of the layers of the model, and Slow how many times as long as
	// the fastest kind its kind reads.
	Share, Slow float64
}

// Time returns how long the parts are expected to read a prompt that takes a time alone
// along all layers. They read at the same time, so that the slowest one decides. Together is
// how many prompts of all gateways there are for each of this one's: when an endpoint is
// lost all gateways move their streams before they hear of each other.
func Time(parts []Part, alone time.Duration, together float64) time.Duration {
	most := 0.0
	for _, p := range parts {
		// The stream is in the middle of those that it stands for.
		before := max((p.Own-0.5)*together+p.Others, 0.5)
		most = max(most, (0.5+before)*p.Share*p.Slow)
	}
	return time.Duration(most * float64(alone))
}

// Leave reports whether a stream should begin anew along another chain: where its next
// event would be late if it were moved, which takes a time, and comes much sooner there.
// Spare is how long the event may still take.
func Leave(move, other, spare time.Duration) bool {
	return move >= spare && leaveGain*other <= move
}
