// Package intake keeps, for one endpoint, what it has said of the requests that it takes and what
// this gateway may still send it. Reading it takes no lock: every request looks at it.
package intake

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/decide/throttle"
)

// Intake is the throttle of one endpoint. The zero Intake lets all pass. It is safe for concurrent
// use.
type Intake struct {
	// current is nil while the endpoint has said nothing.
	current atomic.Pointer[throttle.Throttle]
	// waiting is the number of requests that wait for it.
	waiting atomic.Int64
}

// Load returns the throttle at the moment.
func (i *Intake) Load() throttle.Throttle {
	if t := i.current.Load(); t != nil {
		return *t
	}
	return throttle.Throttle{}
}

// Hear takes in what an answer says, and returns the throttle before and after.
func (i *Intake) Hear(w throttle.Word) (before, after throttle.Throttle) {
	said := throttle.Word{Sent: w.Sent, Heard: w.Heard}
	if i.current.Load() == nil && w == said {
		return before, after // nearly every answer says nothing
	}
	luck := rand.Float64()
	return i.update(func(t throttle.Throttle) throttle.Throttle { return t.WithWord(w, luck) })
}

// update replaces the throttle by what change makes of it, and returns both.
func (i *Intake) update(change func(throttle.Throttle) throttle.Throttle) (before, after throttle.Throttle) {
	for {
		old := i.current.Load()
		before = throttle.Throttle{}
		if old != nil {
			before = *old
		}
		after = change(before)
		if i.current.CompareAndSwap(old, &after) {
			return before, after
		}
	}
}

// Told takes in a word of another gateway on the limit, and returns the throttle before and after.
func (i *Intake) Told(l throttle.Limit, now time.Time) (before, after throttle.Throttle) {
	if i.current.Load() == nil && !l.Named() {
		return before, after
	}
	luck := rand.Float64()
	return i.update(func(t throttle.Throttle) throttle.Throttle { return t.WithLimit(l, now, luck) })
}

// Divide sets this gateway's part of the limit.
func (i *Intake) Divide(share float64, now time.Time) {
	i.update(func(t throttle.Throttle) throttle.Throttle { return t.WithShare(share, now) })
}

// Want counts a request that would begin at the endpoint, if it names a limit.
func (i *Intake) Want(now time.Time) {
	if i.Load().Named() {
		i.update(func(t throttle.Throttle) throttle.Throttle { return t.WithDemand(now) })
	}
}

// Take lets a request pass at now, and counts it, unless something holds it off.
func (i *Intake) Take(now time.Time) throttle.Hold {
	for {
		old := i.current.Load()
		if old == nil {
			return throttle.Free
		}
		if held := old.Held(now); held != throttle.Free {
			return held
		}
		next := old.WithRequest(now)
		if i.current.CompareAndSwap(old, &next) {
			return throttle.Free
		}
	}
}

// Held returns why no request may go out at now, Free when one may.
func (i *Intake) Held(now time.Time) throttle.Hold {
	if t := i.current.Load(); t != nil {
		return t.Held(now)
	}
	return throttle.Free
}

// Wait counts a request that waits for the endpoint until leave is called, and returns when it may go
// out, as known at now, after those that wait already; false when that is not known.
func (i *Intake) Wait(now time.Time) (from time.Time, known bool, leave func()) {
	ahead := i.waiting.Add(1) - 1
	leave = func() { i.waiting.Add(-1) }
	t := i.Load()
	from, known = t.From(now)
	if share := t.Share(); t.Named() && share > 0 {
		from = from.Add(time.Duration(float64(ahead) / share * float64(time.Second)))
	}
	return from, known, leave
}

// Tells reports whether other gateways are to be told at now what is known of the limit.
func (i *Intake) Tells(now time.Time) bool {
	t := i.current.Load()
	return t != nil && t.Tells(now)
}

// Silent reports whether the endpoint has never said anything.
func (i *Intake) Silent() bool {
	return i.current.Load() == nil
}
