// Package fence decides which steps of a request an agent may run. It is the last check before work
// reaches an endpoint, and the only one that guarantees that each step runs on every layer once and
// in order.
package fence

// Verdict is the decision on a step.
type Verdict int

// Verdicts of Admit.
const (
	// Run means that the step runs now.
	Run Verdict = iota
	// Restart means that the state of lower attempts is dropped and the step runs.
	Restart
	// Replay means that the stored output of the step is sent again.
	Replay
	// Duplicate means that the step is ignored because it is running already.
	Duplicate
	// Stale means that the step is ignored: a later attempt has replaced it, or its position lies
	// before the stored output.
	Stale
	// Gap means that the step is refused because an earlier position is missing.
	Gap
)

var verdictNames = [...]string{"run", "restart", "replay", "duplicate", "stale", "gap"}

// String returns the verdict's name.
func (v Verdict) String() string {
	return verdictNames[v]
}

// Step identifies a step by its attempt and positions.
type Step struct {
	// Attempt is the number of the attempt, from 1. Only the owner of the request increments it.
	Attempt uint32
	// Position is the first position of the step.
	Position uint32
	// Count is the number of positions; at least 1.
	Count uint32
}

// Session is a stage's state of one request. The zero Session has seen no step. It is an immutable
// value: the With methods return changed copies.
type Session struct {
	// Attempt is the highest attempt admitted or cancelled; it never decreases.
	Attempt uint32
	// Next is the next position to run.
	Next uint32
	// Last is the latest step that completed; its Count is 0 if there is none.
	Last Step
	// Running is set while a step of the attempt runs on the endpoint.
	Running bool
	// Cancelled is set once Attempt was cancelled; no step of it runs again.
	Cancelled bool
}

// Admit returns the verdict on a step.
func (s Session) Admit(step Step) Verdict {
	switch {
	case step.Attempt < s.Attempt:
		return Stale
	case step.Attempt > s.Attempt:
		return admitFirst(step)
	case s.Cancelled:
		return Stale
	case step == s.Last:
		return Replay
	case step.Position > s.Next:
		return Gap
	case s.Running:
		return Duplicate
	case step.Position < s.Next:
		return Stale
	}
	return Run
}

// admitFirst returns the verdict on the first step seen of an attempt. It must start at position 0,
// because an attempt never inherits positions from another.
func admitFirst(step Step) Verdict {
	if step.Position != 0 {
		return Gap
	}
	return Restart
}

// WithStarted returns the session after a step started on the endpoint. Admit must have returned
// Run or Restart for the step.
func (s Session) WithStarted(step Step) Session {
	if step.Attempt > s.Attempt {
		s = Session{Attempt: step.Attempt}
	}
	s.Running = true
	return s
}

// WithDone returns the session after a step has run. It returns the session unchanged and false for
// a step of an earlier or cancelled attempt, whose output must not be used.
func (s Session) WithDone(step Step) (Session, bool) {
	if step.Attempt != s.Attempt || s.Cancelled || !s.Running {
		return s, false
	}
	s.Running = false
	s.Last = step
	s.Next = step.Position + step.Count
	return s, true
}

// WithCancelled returns the session with the given attempt and all lower ones barred.
func (s Session) WithCancelled(attempt uint32) Session {
	if attempt < s.Attempt {
		return s
	}
	return Session{Attempt: attempt, Cancelled: true}
}
