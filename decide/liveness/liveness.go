// Package liveness decides from the age of the signs of life of an endpoint whether it counts as alive
// and when it is checked.
package liveness

import (
	"time"

	"github.com/grademill/grademill/decide/backoff"
)

const (
	// RecheckInterval is the time between two checks of a down endpoint.
	RecheckInterval = 400 * time.Millisecond
	// ContradictionTime is how long an answer of an endpoint overrides reports that it is down.
	ContradictionTime = 3 * time.Second
	// ReportFresh is how long a report by another gateway counts, and how long after a check
	// without an answer a gateway reports an endpoint as down: several digest intervals.
	ReportFresh = time.Second
	// CheckReportTime is how long a passed check is reported to others: for as long as it may count for
	// the last of the gateways that would check the endpoint.
	CheckReportTime = 3 * time.Second
	// EnoughWitnesses is the number of other gateways whose reports alone make an endpoint presumed
	// dead: a single one may be cut off itself.
	EnoughWitnesses = 2
)

const (
	// passedFresh is how recent an event that came through an endpoint must be to show that it is
	// alive: the usual time between two events of a stream.
	passedFresh = 50 * time.Millisecond
	// workingEventAge is how recently an event must have come through an endpoint for the endpoint to
	// count as working. A late event of another stream there is due to load, to which another attempt
	// would add.
	workingEventAge = 400 * time.Millisecond
	// checkedFresh is how long a passed check counts when a late event is the only sign that the
	// endpoint has failed. It limits the number of checks, each of which costs as much as a
	// hundredth of a request.
	checkedFresh = 800 * time.Millisecond
	// checkStagger is by how much longer than checkedFresh a check by another gateway counts, for
	// each gateway that ranks before this one as checker of the endpoint. It is the interval
	// between two digests.
	checkStagger = 150 * time.Millisecond
	// checkersEach is the number of gateways that check an endpoint for the others: one may be cut
	// off.
	checkersEach = 2
	// maxRecheckInterval bounds the time between two checks of a down endpoint by a gateway that is
	// not one of its checkers.
	maxRecheckInterval = 3 * time.Second
	// endedAfter is how long an endpoint must have been silent to count as ended: a process that
	// was paused, or a connection that lost packets, is back sooner.
	endedAfter = 700 * time.Millisecond
	// unverifiedReportTime is how long an endpoint must have been presumed dead, because other
	// gateways report it down, before this gateway checks it. It is less than the four seconds or
	// so in which the record of an endpoint that has ended lapses.
	unverifiedReportTime = 1200 * time.Millisecond
)

var (
	// recheckWait is the time between two checks of an endpoint that is down for one gateway alone.
	recheckWait = backoff.Backoff{Base: RecheckInterval, Max: maxRecheckInterval}
	// starvedWait is the time between two checks of an endpoint while this process is starved. It
	// grows, since checks themselves take processor time.
	starvedWait = backoff.Backoff{Base: 250 * time.Millisecond, Max: time.Second}
	// stallWait is how long an endpoint that stalled requests is avoided: most have ended, and return
	// under another ID. The time doubles with each further stall.
	stallWait = backoff.Backoff{Base: 3 * time.Second, Max: 12 * time.Second}
)

// Alive reports whether the latest event that came through an endpoint shows that it is alive.
func Alive(eventAge time.Duration) bool { return eventAge < passedFresh }

// Working reports whether the latest event that came through an endpoint shows that it works, so
// that a late event there is due to load.
func Working(eventAge time.Duration) bool { return eventAge < workingEventAge }

// Idle reports whether no event has recently come through an endpoint that others report down.
func Idle(eventAge time.Duration) bool { return eventAge > workingEventAge }

// Checked reports whether a passed check still counts.
func Checked(age time.Duration) bool { return age < checkedFresh }

// CheckedByOthers reports whether a check that an endpoint passed for another gateway still counts
// for the gateway of the given rank as checker, 0 for the first.
func CheckedByOthers(age time.Duration, rank int) bool {
	stagger := time.Duration(rank) * checkStagger
	return age < min(checkedFresh+stagger, CheckReportTime)
}

// IsChecker reports whether the gateway of the given rank checks an endpoint for the others.
func IsChecker(rank int) bool { return rank < checkersEach }

// RecheckDue reports whether a gateway that is not one of the checkers of a down endpoint checks it
// again, after the given number of checks without an answer, the last of them the given time ago.
// reported is set while other gateways report the endpoint down.
func RecheckDue(silentFor time.Duration, rechecks int, reported bool) bool {
	if reported {
		return silentFor >= maxRecheckInterval
	}
	return silentFor >= recheckWait.Delay(rechecks, 0)
}

// Ended reports whether an endpoint that has been down for this long counts as ended.
func Ended(downFor time.Duration) bool { return downFor >= endedAfter }

// VerifyReports reports whether an endpoint that has been presumed dead for this long, because
// others report it down, is checked.
func VerifyReports(reportedFor time.Duration) bool { return reportedFor > unverifiedReportTime }

// StarvedWait returns the time before the next check of an endpoint while this process is starved of
// processor time, after the given number of checks.
func StarvedWait(checks int) time.Duration { return starvedWait.Delay(checks, 0) }

// StallWait returns how long an endpoint is avoided after the given number of stalls.
func StallWait(stalls int) time.Duration { return stallWait.Delay(stalls, 0) }
