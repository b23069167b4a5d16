// Package overdue decides when an event of a stream is overdue, when a stream is checked again, and
// when its chain is given up; and when a request waits for its answer no longer than for another
// endpoint.
package overdue

import (
	"time"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/timeout"
)

// defaultAnswerWait is the result of AnswerWait for a route without an objective.
const defaultAnswerWait = 400 * time.Millisecond

// DefaultObjective is the objective of a route that sets none.
const DefaultObjective = time.Second

const (
	// defaultMaxPause is the allowed pause of a route that sets none.
	defaultMaxPause = 500 * time.Millisecond
	// firstWaitFactor is how long the first event may take before another chain is tried, as a
	// multiple of the route's objective.
	firstWaitFactor = 3
	// pauseWaitFactor is how long a pause may last before a chain is given up, as a multiple of the
	// pause that the route allows: a caller gives up after two seconds or eight such pauses.
	pauseWaitFactor = 6
	// firstOverdueShare is when the first event is overdue, as a share of the objective; usual
	// times are a tenth of the objective.
	firstOverdueShare = 0.2
	// minOverdueShare and maxOverdueShare bound when a later event is overdue, as a share of the
	// allowed pause; the value between them is learned from the stream. The rest of the pause
	// remains for repairing the chain.
	minOverdueShare = 0.35
	maxOverdueShare = 0.5
	// recheckShare is the delay until the next check, as a share of the objective or of the allowed
	// pause.
	recheckShare = 0.5
)

// Bounds are the times that a route allows for the events of a stream.
type Bounds struct {
	// Objective is how soon the first event is wanted.
	Objective time.Duration
	// Pause is the longest pause between two events.
	Pause time.Duration
}

// Of returns the bounds of a route.
func Of(r *catalog.Route) Bounds {
	b := Bounds{Objective: r.TargetLatency, Pause: r.MaxPause}
	if b.Objective <= 0 {
		b.Objective = DefaultObjective
	}
	if b.Pause <= 0 {
		b.Pause = defaultMaxPause
	}
	return b
}

// FirstCheck returns how long after its start a stream without an event is checked.
func (b Bounds) FirstCheck() time.Duration { return fraction(firstOverdueShare, b.Objective) }

// Gaps returns the estimator of the time until the next event of a stream that has had none.
func (b Bounds) Gaps() timeout.Estimator {
	return timeout.Estimator{Min: fraction(minOverdueShare, b.Pause), Max: fraction(maxOverdueShare, b.Pause)}
}

// Recheck returns the delay between the end of a check and the next one, while no event arrives.
func (b Bounds) Recheck(first bool) time.Duration { return fraction(recheckShare, b.target(first)) }

// Postponed returns the delay of a check that is due while another one runs.
func (b Bounds) Postponed(first bool) time.Duration {
	return fraction(minOverdueShare, b.target(first))
}

// MaxWait returns how long an event may take before another chain is tried.
func (b Bounds) MaxWait(first bool) time.Duration {
	if first {
		return firstWaitFactor * b.Objective
	}
	return pauseWaitFactor * b.Pause
}

// AnswerWait returns how long a repeatable request waits for the answer of one endpoint before it may
// be sent to another.
func AnswerWait(r *catalog.Route) time.Duration {
	if r.TargetLatency > 0 {
		return r.TargetLatency
	}
	return defaultAnswerWait
}

// Elsewhere reports whether a request that has waited for an endpoint for some time can be expected to
// be answered sooner by another one: by one that has answered meanwhile, or one that has no requests
// and may be sound. An endpoint that answers nothing either may be as silent.
func Elsewhere(waited, sinceAnswer time.Duration, requests int64) bool {
	return requests <= 0 || sinceAnswer < waited
}

// target returns how long the next event may take; first is set if it is the first one.
func (b Bounds) target(first bool) time.Duration {
	if first {
		return b.Objective
	}
	return b.Pause
}

// fraction returns the given share of a duration.
func fraction(share float64, d time.Duration) time.Duration {
	return time.Duration(share * float64(d))
}
