// Package pace keeps how slow an endpoint is compared with its kind, according to the latest
// report of the endpoint itself or of another gateway.
package pace

import (
	"sync/atomic"
	"time"
)

// Unit is the pace of an endpoint that is as fast as its kind.
const Unit = 1000

// Pace is the slowness of an endpoint. The zero Pace means as fast as its kind. It is safe for
// concurrent use.
type Pace struct {
	// last is nil until the first report.
	last atomic.Pointer[report]
}

// report is an immutable report of the pace at a time.
type report struct {
	// thousandths is Unit for an endpoint that is as fast as its kind, and more for a slower one.
	thousandths int64
	at          time.Time
}

// Set records the pace at a time, as a multiple of the time that the endpoint's kind takes, unless
// a newer report is known. A multiple that is not positive counts as 1.
func (p *Pace) Set(multiple float64, at time.Time) {
	if multiple <= 0 {
		multiple = 1
	}
	next := &report{thousandths: int64(multiple * Unit), at: at}
	for {
		old := p.last.Load()
		if old != nil && !old.at.Before(at) || p.last.CompareAndSwap(old, next) {
			return
		}
	}
}

// Thousandths returns the pace at now, in thousandths of the time that the endpoint's kind takes.
// A report counts for as long as fresh; without one, the pace is Unit.
func (p *Pace) Thousandths(now time.Time, fresh time.Duration) int64 {
	w := p.last.Load()
	if w == nil || now.Sub(w.at) > fresh {
		return Unit
	}
	return w.thousandths
}
