// Package connection decides how long a server waits for bytes on a caller's HTTP/1.1 connection, and what it
// does when the wait is over.
package connection

import "time"

const (
	// maxHeadWait bounds the time to read a head, the rest of a body, or the wait for the first request on a new
	// connection, whatever the limits are.
	maxHeadWait = 30 * time.Second
	// stopWait bounds them while the server stops: bytes that a caller has just sent are on their way.
	stopWait = time.Second
)

// Expiry is what the server does when a wait is over and no byte has arrived.
type Expiry int

// Values of Expiry.
const (
	// ReadOn means that the wait has no end.
	ReadOn Expiry = iota
	// CloseIdle means that the connection is closed; no part of a request has arrived on it.
	CloseIdle
	// CloseSlowHead means that the connection is closed; its caller has sent only a part of a head.
	CloseSlowHead
	// EndBody means that the rest of a request's body, which the handler has not read, is given up: the response is
	// written, and then the connection is closed.
	EndBody
)

// Limits bound the waits for callers. A zero field means no limit.
type Limits struct {
	// Idle bounds the time between requests.
	Idle time.Duration
	// Head bounds the time to read a head, or the rest of a body.
	Head time.Duration
	// Retire is set if callers should open new connections: Idle holds also for a wait that has begun before.
	Retire bool
}

// stage is what a connection waits for.
type stage int

const (
	// idle: no byte of the next request has been read.
	idle stage = iota
	// head: a part of a head has been read.
	head
	// body: a whole head has been read, and its body may not have been.
	body
	// answering: a whole request has been read, and its response may not have been written.
	answering
)

// State is what the goroutine that reads a connection knows of it. The zero value is of no use, see Accepted.
type State struct {
	stage stage
	// since is when the stage began, or when the handler returned.
	since time.Time
	// limits are those that were in force then. Callers may rely on the idle limit with which their last response
	// began, even if a configuration has shortened it since.
	limits Limits
	// kept is set once a request has been answered, handled once the handler of the present one has returned, and
	// stopping once the connection is to be closed as soon as it is idle.
	kept, handled, stopping bool
}

// Accepted returns the state of a new connection.
func Accepted(now time.Time, l Limits) State {
	return State{since: now, limits: l}
}

// WithBytes returns the state after bytes have been read.
func (s State) WithBytes(now time.Time, l Limits) State {
	if s.stage == idle {
		s.stage, s.since, s.limits = head, now, l
	}
	return s
}

// WithBuffered returns the state when the next head is about to be read. On a connection that has been answered
// before, some of its bytes are in the HTTP server's buffer then.
func (s State) WithBuffered(now time.Time, l Limits) State {
	if !s.kept {
		return s
	}
	return s.WithBytes(now, l)
}

// WithPart returns the state after the head, or then the body, has been read whole.
func (s State) WithPart() State {
	if s.stage == head || s.stage == body {
		s.stage++
	}
	return s
}

// WithResponse returns the state when the response to a request begins: its head has been read.
func (s State) WithResponse(l Limits) State {
	if s.limits = l; s.stage == head {
		s.stage = body
	}
	return s
}

// WithHandled returns the state after the handler has returned.
func (s State) WithHandled(now time.Time, l Limits) State {
	s.handled, s.since, s.limits.Head = true, now, l.Head
	return s
}

// WithIdle returns the state after the response has been written.
func (s State) WithIdle(now time.Time, l Limits) State {
	l.Idle = longer(s.limits.Idle, l.Idle)
	return State{since: now, limits: l, kept: true, stopping: s.stopping}
}

// WithStop returns the state of a connection that is to be closed as soon as it is idle.
func (s State) WithStop() State {
	s.stopping = true
	return s
}

// Idle reports whether no byte of a request without a whole response has been read.
func (s State) Idle() bool {
	return s.stage == idle
}

// ReadsHead reports whether the bytes being read belong to a head.
func (s State) ReadsHead() bool {
	return s.stage == head
}

// GiveWay returns what happens to a connection whose caller has to give way to others while the server waits for it:
// ReadOn if it does not.
func (s State) GiveWay() Expiry {
	switch s.stage {
	case idle:
		return CloseIdle
	case head:
		return CloseSlowHead
	case body:
		return EndBody
	}
	return ReadOn
}

// Wait returns when the wait for bytes is over under limits l, and what happens then. The time is zero if the wait
// has no end. A limit that has become shorter during the wait does not shorten it, unless
// l.Retire is set.
func (s State) Wait(l Limits) (until time.Time, then Expiry) {
	var own, most time.Duration
	switch {
	case s.stage == idle && s.stopping && s.kept:
		return s.since, CloseIdle
	case s.stage == idle:
		then, own = CloseIdle, longer(s.limits.Idle, l.Idle)
		if l.Retire {
			own = l.Idle
		}
		if !s.kept {
			most = maxHeadWait
		}
	case s.stage == head:
		then, own, most = CloseSlowHead, longer(s.limits.Head, l.Head), maxHeadWait
	case s.stage == body && s.handled:
		then, own, most = EndBody, longer(s.limits.Head, l.Head), maxHeadWait
	default:
		return time.Time{}, ReadOn
	}
	if s.stopping {
		most = stopWait
	}
	switch {
	case own == 0 && most == 0:
		return time.Time{}, ReadOn
	case own == 0 || most != 0 && most < own:
		own = most
	}
	return s.since.Add(own), then
}

// longer returns the limit on a wait, given those in force when it began and now. No limit now means none.
func longer(began, now time.Duration) time.Duration {
	if now == 0 {
		return 0
	}
	return max(began, now)
}
