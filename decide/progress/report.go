// Package progress tells a chain that is slow from one that has lost a step.
package progress

// Report is how far a stage says that an attempt has come.
type Report struct {
	// Known is false when the stage holds nothing of the attempt.
	Known bool
	// Running is whether a step is at the stage's endpoint, or waits for it.
	Running bool
	// Next is the position that the stage runs next.
	Next uint32
}

// Lost compares two rounds of reports, in the order of the chain. It returns the
// stage that a step did not reach, or the last stage when its token was lost. It
// returns false while a stage is at work or anything has moved: a step may have
// been between two stages when the first round was asked.
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
