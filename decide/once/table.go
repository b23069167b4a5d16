// Package once lets each call run at most once beside an endpoint, however
// often and by whomever it is sent.
package once

import "time"

// Key is the hash of a team's idempotency key.
type Key [16]byte

// Verdict is what to do with a call.
type Verdict int

// The verdicts.
const (
	// Start the call now; nobody else will.
	Start Verdict = iota
	// Wait for the call that is running, then use its reply.
	Wait
	// Finished calls have a stored reply.
	Finished
	// Barred calls were settled as not run and will never start.
	Barred
	// Lost calls were started and ended without a reply that can be given.
	Lost
	// Full means that no more calls can be remembered: nothing was started.
	Full
	// Forgotten means that the call may have run so long ago that nothing of it
	// is held.
	Forgotten
)

// Ticket names a call: the key that it may run once for, the claim that allows
// it, and the agent's epoch when the claim was made.
type Ticket struct {
	Key   Key
	Claim string
	Epoch uint64
}

// Table remembers calls for as long as they may be asked for again. Time is cut
// into epochs by the agent's own clock: a call starts only within two epochs of
// its claim, so that one which comes late, after its key has been forgotten,
// cannot start. It is not safe for concurrent use. Set the exported fields
// first.
type Table[R any] struct {
	// Start is when epoch 0 began, and Epoch the length of one.
	Start time.Time
	Epoch time.Duration
	// Max is the number of keys held at most. A key that is remembered is never
	// dropped early to make room.
	Max int
	// Keep is how long a key is held after its last call ended; it is longer
	// than a few epochs.
	Keep time.Duration

	keys map[Key]*entry[R]
	ends []ending // in the order of their time
}

// window is the number of epochs after that of its claim in which a call may
// still start.
const window = 2

type entry[R any] struct {
	claim  string // the claim that started the call, empty when none has
	state  Verdict
	reply  R
	barred map[string]bool
	ended  time.Time
}

type ending struct {
	key Key
	at  time.Time
}

// Now returns the epoch at now.
func (t *Table[R]) Now(now time.Time) uint64 {
	return uint64(now.Sub(t.Start) / t.Epoch)
}

// late reports whether a call may not start any more.
func (t *Table[R]) late(now time.Time, epoch uint64) bool {
	return t.Now(now) > epoch+window
}

// forgotten reports whether the key of a call that ran may have been dropped.
func (t *Table[R]) forgotten(now time.Time, epoch uint64) bool {
	return t.Now(now) >= epoch+uint64(t.Keep/t.Epoch)
}

// Begin asks whether the call of a ticket may start. A key whose call has
// started answers the same to every claim.
func (t *Table[R]) Begin(now time.Time, k Ticket) Verdict {
	t.expire(now)
	e := t.keys[k.Key]
	switch {
	case e != nil && e.claim != "":
		return e.state
	case e != nil && e.barred[k.Claim], t.late(now, k.Epoch):
		return Barred
	}
	if e == nil {
		e = t.add(k.Key)
	}
	if e == nil {
		return Full
	}
	e.claim = k.Claim
	e.state = Wait
	return Start
}

// Finish stores the reply of a call that was started.
func (t *Table[R]) Finish(now time.Time, key Key, reply R) {
	t.end(now, key, Finished, reply)
}

// Lose notes that a call was started and its end is not known.
func (t *Table[R]) Lose(now time.Time, key Key, reply R) {
	t.end(now, key, Lost, reply)
}

// Undo notes that a call that was to start has not reached the endpoint. The
// claim is barred; another claim may start the key.
func (t *Table[R]) Undo(now time.Time, k Ticket) {
	if e := t.keys[k.Key]; e != nil && e.claim == k.Claim {
		e.claim = ""
		t.bar(now, e, k.Key, k.Claim)
	}
}

// Settle bars the call of a ticket unless it has started, and returns what
// became of it: Barred, Wait, Finished, Lost, Full or Forgotten.
func (t *Table[R]) Settle(now time.Time, k Ticket) Verdict {
	t.expire(now)
	e := t.keys[k.Key]
	switch {
	case e != nil && e.claim != "":
		return e.state
	case t.forgotten(now, k.Epoch):
		return Forgotten
	case t.late(now, k.Epoch):
		return Barred
	}
	if e == nil {
		e = t.add(k.Key)
	}
	if e == nil {
		return Full
	}
	t.bar(now, e, k.Key, k.Claim)
	return Barred
}

// Reply returns the stored reply of a key.
func (t *Table[R]) Reply(key Key) (R, bool) {
	e := t.keys[key]
	if e == nil || e.ended.IsZero() {
		var zero R
		return zero, false
	}
	return e.reply, true
}

// Len returns the number of keys held.
func (t *Table[R]) Len() int {
	return len(t.keys)
}

func (t *Table[R]) add(key Key) *entry[R] {
	if len(t.keys) >= t.Max {
		return nil
	}
	if t.keys == nil {
		t.keys = make(map[Key]*entry[R])
	}
	e := new(entry[R])
	t.keys[key] = e
	return e
}

func (t *Table[R]) bar(now time.Time, e *entry[R], key Key, claim string) {
	if e.barred == nil {
		e.barred = make(map[string]bool)
	}
	e.barred[claim] = true
	t.ends = append(t.ends, ending{key, now})
	e.ended = now
}

func (t *Table[R]) end(now time.Time, key Key, state Verdict, reply R) {
	e := t.keys[key]
	if e == nil {
		return
	}
	e.state = state
	e.reply = reply
	e.ended = now
	t.ends = append(t.ends, ending{key, now})
}

// expire drops the keys whose time is up.
func (t *Table[R]) expire(now time.Time) {
	n := 0
	for n < len(t.ends) && now.Sub(t.ends[n].at) >= t.Keep {
		key := t.ends[n].key
		if e := t.keys[key]; e != nil && e.ended.Equal(t.ends[n].at) && (e.claim == "" || e.state != Wait) {
			delete(t.keys, key)
		}
		n++
	}
	t.ends = t.ends[n:]
}
