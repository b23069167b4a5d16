// Package once ensures that each call runs at most once on an endpoint, regardless of how often and
// by which gateways it is sent.
package once

import "time"

// Key is the hash of a team and its idempotency key.
type Key [16]byte

// Verdict is the decision on a call.
type Verdict int

// Verdicts of a Table.
const (
	// Start means that the caller must start the call. No other caller gets this verdict while the
	// key is held, unless the call is undone.
	Start Verdict = iota
	// Wait means that the call is running; the caller must wait for its reply.
	Wait
	// Finished means that the call has a stored reply.
	Finished
	// Barred means that the call was settled as not run and will never start.
	Barred
	// Lost means that the call started and ended without a usable reply.
	Lost
	// Full means that the table holds no more calls; nothing was started.
	Full
	// Forgotten means that the call may have run so long ago that the table no longer holds it.
	Forgotten
)

// Ticket identifies a call: its key, the claim that allows it, and the agent's epoch when the claim
// was made.
type Ticket struct {
	Key   Key
	Claim string
	Epoch uint64
}

// Table records calls for as long as they may be repeated. The agent's own clock divides time into
// epochs. A call starts only within two epochs of its claim, so that a delayed one cannot start
// after its key has been dropped. Set the exported fields before use. A Table is not safe for
// concurrent use.
type Table[R any] struct {
	// Start is the beginning of epoch 0, Epoch the length of an epoch.
	Start time.Time
	Epoch time.Duration
	// Max is the maximum number of keys. A key is never dropped early to make room.
	Max int
	// Keep is how long a key is held after its last call ended. It must be longer than a few
	// epochs.
	Keep time.Duration

	keys map[Key]*entry[R]
	ends []ending // in ascending order of time
}

// startWindow is the number of epochs after that of its claim in which a call may still start.
const startWindow = 2

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

// Now returns the epoch at the given time.
func (t *Table[R]) Now(now time.Time) uint64 {
	return uint64(now.Sub(t.Start) / t.Epoch)
}

// late reports whether a call with a claim of an epoch may no longer start.
func (t *Table[R]) late(now time.Time, epoch uint64) bool {
	return t.Now(now) > epoch+startWindow
}

// forgotten reports whether the table may have dropped the key of a call that ran.
func (t *Table[R]) forgotten(now time.Time, epoch uint64) bool {
	return t.Now(now) >= epoch+uint64(t.Keep/t.Epoch)
}

// Begin decides whether the call of a ticket may start. Once a call of the key has started, the
// verdict is the same for every claim.
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

// Finish stores the reply of a started call.
func (t *Table[R]) Finish(now time.Time, key Key, reply R) {
	t.end(now, key, Finished, reply)
}

// FinishLost records that a started call ended with an unknown result.
func (t *Table[R]) FinishLost(now time.Time, key Key, reply R) {
	t.end(now, key, Lost, reply)
}

// Undo records that a call that was to start did not reach the endpoint. It bars the claim; another
// claim may start the key.
func (t *Table[R]) Undo(now time.Time, k Ticket) {
	if e := t.keys[k.Key]; e != nil && e.claim == k.Claim {
		e.claim = ""
		t.bar(now, e, k.Key, k.Claim)
	}
}

// Settle bars the call of a ticket unless it has started, and returns its state: Barred, Wait,
// Finished, Lost, Full or Forgotten.
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

// Reply returns the stored reply of a key, and false if there is none.
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

// expire drops the keys that have been held for Keep since their last call ended.
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
