// Package fence decides which steps of a request an agent may run. It is the
// last check before work reaches an endpoint, and the only one that the
// promise "every layer once, in order" rests on.
package fence

// Verdict is what to do with a step.
type Verdict int

// The verdicts.
const (
	// Run the step now.
	Run Verdict = iota
	// Restart drops what is kept of lower attempts and runs the step.
	Restart
	// Replay sends the stored output of the step again.
	Replay
	// Duplicate ignores the step: it is running already.
	Duplicate
	// Stale ignores the step: a later attempt has taken its place, or the
	// position lies further back than what is stored.
	Stale
	// Gap refuses the step: an earlier position is missing here.
	Gap
)

var verdictNames = [...]string{"run", "restart", "replay", "duplicate", "stale", "gap"}

// String returns the verdict's name.
func (v Verdict) String() string {
	return verdictNames[v]
}

// Step names a step by attempt and positions.
type Step struct {
	// Attempt is raised by the owner only; the first is 1.
	Attempt uint32
	// Position is the first position of the step.
	Position uint32
	// Count is the number of positions; at least 1.
	Count uint32
}

// Session is what a stage remembers of one request. The zero Session has seen
// nothing. It is an immutable value: the With methods return changed copies.
type Session struct {
	// Attempt is the highest attempt admitted or cancelled; it never falls.
	Attempt uint32
	// Next is the position that the attempt runs next.
	Next uint32
	// Last is the latest step that ran to its end; Count 0 means none.
	Last Step
	// Running is whether a step of the attempt is at the endpoint.
	Running bool
	// Closed is whether Attempt was cancelled; nothing of it runs again.
	Closed bool
}

// Admit returns the verdict on step.
func (s Session) Admit(step Step) Verdict {
	switch {
	case step.Attempt < s.Attempt:
		return Stale
	case step.Attempt > s.Attempt:
		return admitFirst(step)
	case s.Closed:
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

// admitFirst judges the first step seen of an attempt: it starts at 0, for an
// attempt never inherits positions from another.
func admitFirst(step Step) Verdict {
	if step.Position != 0 {
		return Gap
	}
	return Restart
}

// WithStarted returns s with step at the endpoint. The caller has Admit's
// Run or Restart for it.
func (s Session) WithStarted(step Step) Session {
	if step.Attempt > s.Attempt {
		s = Session{Attempt: step.Attempt}
	}
	s.Running = true
	return s
}

// WithDone returns s after step has run. A step of a former attempt, or of one
// cancelled meanwhile, changes nothing, and the second result is false: its
// output must not be used.
func (s Session) WithDone(step Step) (Session, bool) {
	if step.Attempt != s.Attempt || s.Closed || !s.Running {
		return s, false
	}
	s.Running = false
	s.Last = step
	s.Next = step.Position + step.Count
	return s, true
}

// WithCancelled returns s with attempt and all lower ones barred.
func (s Session) WithCancelled(attempt uint32) Session {
	if attempt < s.Attempt {
		return s
	}
	return Session{Attempt: attempt, Closed: true}
}
