// Package trial decides when a request that may crash endpoints is sent, and what the outcome shows.
//
// What is suspected is a cause: a request, of which several copies may arrive, or a part of the prompts of several
// requests. Requests with a suspect are sent to one endpoint at a time in the whole fleet, which is reserved for them
// meanwhile. The gateways agree on the attempts of a suspect through one record of the store, its Trial, which each
// changes only from the revision that it has read. A request with several suspects needs the records of all.
package trial

import "time"

// Limits and times of trials.
const (
	// minEnds is the number of ends, with that of an isolated attempt, that show that a suspect causes them.
	minEnds = 3
	// maxSends bounds the attempts of a suspect that have ended an endpoint, or whose outcome nobody knows.
	maxSends = 3
	// Timeout is how long an attempt counts as in progress while its outcome is not reported: its gateway may
	// have ended. A gateway that runs reports it earlier.
	Timeout = 10 * time.Second
	// StartWindow is how long a request counts as just started after its first event: if an endpoint that it began at
	// ends meanwhile, the request may be the cause.
	StartWindow = time.Second
	// provenFactor is how many times as long as any endpoint that has ended under a suspect another one must have
	// run it to show that it is harmless, and minProven is the shortest such time.
	provenFactor = 2
	minProven    = 250 * time.Millisecond
)

// Trial is the state of the isolated attempts of a suspect. The zero Trial has had none.
type Trial struct {
	// Holder is the gateway whose attempt is in progress, empty if none is.
	Holder string
	// Endpoint is the ID of the endpoint that is reserved for the attempt, Born when that incarnation started.
	Endpoint string
	Born     int64
	// Sends is the number of attempts, with that in progress, that count towards their limit.
	Sends int
	// Revision is that of the record, 0 while there is none, and Since is when it was learned, on the clock of
	// the gateway that holds this value. Two gateways need not agree on the time.
	Revision uint64
	Since    time.Time
	// Lease is the lease of the store under which the record is kept.
	Lease string
}

// InProgress reports whether an attempt is in progress at now.
func (t Trial) InProgress(now time.Time) bool {
	return t.Holder != "" && now.Sub(t.Since) < Timeout
}

// Claimable reports whether an attempt may be claimed at now: none is in progress, and they are not used up.
func (t Trial) Claimable(now time.Time) bool {
	return !t.InProgress(now) && t.Sends < maxSends
}

// Blocking returns the one of two trials that keeps a request with both suspects back for longer at now: one in progress,
// or that with more attempts.
func (t Trial) Blocking(o Trial, now time.Time) Trial {
	if o.InProgress(now) && !t.InProgress(now) || o.InProgress(now) == t.InProgress(now) && o.Sends > t.Sends {
		return o
	}
	return t
}

// WithAttempt returns t with an attempt of a gateway in progress at an endpoint. The attempt counts until its outcome
// is known, also if its gateway ends.
func (t Trial) WithAttempt(holder, endpoint string, born int64) Trial {
	t.Holder, t.Endpoint, t.Born = holder, endpoint, born
	t.Sends++
	return t
}

// Outcome is how an isolated attempt has ended.
type Outcome uint8

const (
	// Unknown means that the attempt may have run, and that its endpoint has not ended by it.
	Unknown Outcome = iota
	// NotRun means that the request did not reach the endpoint.
	NotRun
	// Passed means that the request ran without crashing the endpoint.
	Passed
	// Ended means that the endpoint has ended.
	Ended
)

// String returns the outcome as written in the logs.
func (o Outcome) String() string {
	return [...]string{"unknown", "not run", "passed", "ended"}[o]
}

// WithOutcome returns t after its attempt; ends is the number of endpoints that have ended under the request. An attempt
// that ended no endpoint does not count while these are so few that any number of attempts is allowed.
func (t Trial) WithOutcome(o Outcome, ends int) Trial {
	if o == NotRun || o == Unknown && ends < minEnds {
		t.Sends--
	}
	t.Holder, t.Endpoint, t.Born = "", "", 0
	return t
}

// Harmless reports whether a request would have crashed its endpoint by now if it did so at all: the endpoint has had it for
// ran, and events have come for answering. slowest is the longest time for which an endpoint that has ended had
// it, 0 if that is not known.
func Harmless(ran, answering, slowest time.Duration) bool {
	return answering >= StartWindow || slowest > 0 && ran >= provenFactor*slowest && answering >= minProven
}

// Evidence is what is known of a suspect after an isolated attempt of a request with it.
type Evidence struct {
	Outcome Outcome
	// Ends is the number of endpoints that have ended under the suspect, with that of the attempt.
	Ends int
	// Shared is set if the end of the endpoint of the attempt may be due to something else: it also ended under a suspect
	// that the request does not have, or others that did not have the suspect ended at the same moment.
	Shared bool
	// Proven is set if the suspect is a part of prompts with which requests ran well before: then it is in the ends of
	// others more often than it causes them.
	Proven bool
}

// Guilty reports whether the suspect causes the ends, if no other one of its request does.
func (t Trial) Guilty(e Evidence) bool {
	return e.Outcome == Ended && e.Ends >= minEnds && (!e.Shared && !e.Proven || t.Sends >= maxSends)
}
