package trial

import "time"

// Bounds of the wait for an isolated attempt.
const (
	// MaxWait is how long a request with a suspect is held while the outcome of an attempt may clear it.
	MaxWait = 1500 * time.Millisecond
	// rankStep is the delay before a suspect is tried for each one that is more likely to crash endpoints: the
	// verdict on that one, a few hundred milliseconds after its claim, clears those that ran beside it. After
	// the second end there is one such delay in any case, in which all gateways hear of the suspects.
	rankStep = 100 * time.Millisecond
	// maxRank is the rank from which on the delay does not grow.
	maxRank = 8
	// claimStep is the time in which the other gateways hear of a claim.
	claimStep = 40 * time.Millisecond
	// reservedDivisor bounds the reserved endpoints: at most one in reservedDivisor, but at least one, and one
	// more for a suspect under which minEnds have ended. The others serve all other requests.
	reservedDivisor = 3
)

// Action is what a gateway does next with a copy of a suspect.
type Action uint8

const (
	// Wait means that the copy waits for the outcome of an attempt, or for an endpoint.
	Wait Action = iota
	// Claim means that the gateway claims an endpoint for the copy.
	Claim
	// Refuse means that nobody may run the copy now.
	Refuse
)

// Situation is what a gateway knows when it holds a request with suspects. It is immutable.
type Situation struct {
	// Trial is that of the suspect that is farthest from an attempt: see [Trial.Blocking].
	Trial Trial
	// Ends is the number of endpoints known to have ended under one of the suspects, Rank the number of other
	// suspects that are more likely to crash endpoints, both of the most likely one.
	Ends int
	Rank int
	// Reserved is the number of endpoints reserved for suspects, and Endpoints that of all on which they may be
	// tried, with those.
	Reserved, Endpoints int
	// StoreAnswers is set while the store answers, without which no attempt can be claimed.
	StoreAnswers bool
	// Begun is set if the caller has part of the answer. Such a copy waits until an endpoint can be spared and the
	// store answers, since its caller loses more than a wait; any other is refused at once.
	Begun bool
	// Waited is how long the copy has waited, MaxWait how long it may.
	Waited, MaxWait time.Duration
}

// Next returns what to do with the copy at now, and the reason for the log.
func (s Situation) Next(now time.Time) (Action, string) {
	switch {
	case s.Waited >= s.MaxWait:
		return Refuse, "it has waited long enough"
	case s.Trial.InProgress(now):
		return Wait, "another copy is tried"
	case s.Trial.Sends >= maxSends:
		return Refuse, "it has been tried often enough"
	case !s.StoreAnswers && !s.Begun:
		return Refuse, "the store does not answer"
	case !s.StoreAnswers:
		return Wait, "the store does not answer"
	case s.Endpoints == 0 && !s.Begun:
		return Refuse, "no endpoint can be spared"
	case s.Endpoints == 0:
		return Wait, "no endpoint can be spared"
	case s.Reserved >= s.maxReserved():
		return Wait, "other suspects are tried"
	case s.Waited < s.delay():
		return Wait, "other suspects come first"
	}
	return Claim, ""
}

// ClaimDelay returns how long a request that has waited lets go by once it may claim, so that of many that wait for an
// endpoint the most likely culprits come first and the others see their claims.
func (s Situation) ClaimDelay() time.Duration {
	return time.Duration(min(s.Rank, maxRank)) * claimStep
}

// maxReserved returns the number of endpoints that may be reserved at a time, with one for this suspect.
func (s Situation) maxReserved() int {
	n := max(s.Endpoints/reservedDivisor, 1)
	if s.Ends >= minEnds {
		n++
	}
	return min(n, s.Endpoints)
}

// delay returns how long the suspect waits for others to be tried first.
func (s Situation) delay() time.Duration {
	steps := min(s.Rank, maxRank)
	if s.Ends < minEnds {
		steps++
	}
	return time.Duration(steps) * rankStep
}
