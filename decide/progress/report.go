// Package progress distinguishes a slow chain from one that has lost a step.
package progress

// Report is a stage's report of the progress of an attempt.
type Report struct {
	// Known is false if the stage has no state of the attempt.
	Known bool
	// Running is set while a step runs on the stage's endpoint or waits for it.
	Running bool
	// Next is the next position that the stage runs.
	Next uint32
}

// Lost compares two rounds of reports, given in the order of the chain. It returns the stage that a
// step did not reach, or the last stage if its token was lost. It returns false while a stage is
// running or anything has changed: a step may have been in transit between two stages during the
// first round.
func Lost(former, latest []Report) (stage int, lost bool) {
	for i, r := range latest {
		if r.Running || r != former[i] {
			return 0, false
		}
	}
	for i, r := range latest {
		if !r.Known || i > 0 && r.Next < latest[i-1].Next {
			return i, true
		}
	}
	return len(latest) - 1, true
}
