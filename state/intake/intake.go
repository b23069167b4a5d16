// Package intake keeps the throttle of one endpoint: the limits that the endpoint announced for
// the requests that it takes, and this gateway's share of them. Reads take no lock, because every
// request checks the throttle.
package intake

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/decide/throttle"
)

// Intake is the throttle of one endpoint. The zero Intake lets all requests pass. It is safe for
// concurrent use.
type Intake struct {
	// current is nil until the endpoint announces something.
	current atomic.Pointer[throttle.Throttle]
	// waiting is the number of requests that wait for the endpoint.
	waiting atomic.Int64
}

// Load returns the current throttle.
func (i *Intake) Load() throttle.Throttle {
	if t := i.current.Load(); t != nil {
		return *t
	}
	return throttle.Throttle{}
}

// ApplyAnnouncement applies the announcement in an answer of the endpoint, and returns the
// throttle before and after.
func (i *Intake) ApplyAnnouncement(w throttle.Report) (before, after throttle.Throttle) {
	empty := throttle.Report{Sent: w.Sent, Received: w.Received}
	if i.current.Load() == nil && w == empty {
		return before, after // nearly every answer announces nothing
	}
	jitter := rand.Float64()
	return i.update(func(t throttle.Throttle) throttle.Throttle { return t.WithReport(w, jitter) })
}

// update replaces the throttle by the result of change, and returns both. It may call change
// several times.
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

// ApplyReport applies a limit reported by another gateway, and returns the throttle before and
// after.
func (i *Intake) ApplyReport(l throttle.Limit, now time.Time) (before, after throttle.Throttle) {
	if i.current.Load() == nil && !l.Named() {
		return before, after
	}
	jitter := rand.Float64()
	return i.update(func(t throttle.Throttle) throttle.Throttle { return t.WithLimit(l, now, jitter) })
}

// SetShare sets this gateway's share of the limit.
func (i *Intake) SetShare(share float64, now time.Time) {
	i.update(func(t throttle.Throttle) throttle.Throttle { return t.WithShare(share, now) })
}

// CountDemand counts a request that would begin at the endpoint, if the endpoint announces a
// limit.
func (i *Intake) CountDemand(now time.Time) {
	if i.Load().Named() {
		i.update(func(t throttle.Throttle) throttle.Throttle { return t.WithDemand(now) })
	}
}

// Take lets a request pass at now and counts it, or returns why it may not pass.
func (i *Intake) Take(now time.Time) throttle.HoldReason {
	for {
		old := i.current.Load()
		if old == nil {
			return throttle.NotHeld
		}
		if held := old.Held(now); held != throttle.NotHeld {
			return held
		}
		next := old.WithRequest(now)
		if i.current.CompareAndSwap(old, &next) {
			return throttle.NotHeld
		}
	}
}

// GiveBack undoes a Take at taken whose request is given up at now without being sent.
func (i *Intake) GiveBack(taken, now time.Time) {
	if i.current.Load() != nil {
		i.update(func(t throttle.Throttle) throttle.Throttle { return t.WithoutRequest(taken, now) })
	}
}

// Held returns why no request may pass at now, NotHeld if one may.
func (i *Intake) Held(now time.Time) throttle.HoldReason {
	if t := i.current.Load(); t != nil {
		return t.Held(now)
	}
	return throttle.NotHeld
}

// Wait counts a request as waiting for the endpoint until leave is called. It returns the time
// from which the request may pass, after those that wait already; known is false if the throttle
// does not determine that time.
func (i *Intake) Wait(now time.Time) (from time.Time, known bool, leave func()) {
	ahead := i.waiting.Add(1) - 1
	leave = func() { i.waiting.Add(-1) }
	t := i.Load()
	from, known = t.NextSend(now)
	if share := t.Share(); t.Named() && share > 0 {
		from = from.Add(time.Duration(float64(ahead) / share * float64(time.Second)))
	}
	return from, known, leave
}

// ReportsLimit reports whether the known limit is to be reported to other gateways at now.
func (i *Intake) ReportsLimit(now time.Time) bool {
	t := i.current.Load()
	return t != nil && t.ReportsLimit(now)
}

// NeverAnnounced reports whether the endpoint has never announced anything.
func (i *Intake) NeverAnnounced() bool {
	return i.current.Load() == nil
}
