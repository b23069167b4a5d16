// Package pace keeps how slow an endpoint is, as it or other gateways last said.
package pace

import (
	"sync/atomic"
	"time"
)

// Unit is the pace of an endpoint that is as fast as its kind.
const Unit = 1000

// Pace is how slow an endpoint is. The zero Pace is that of its kind. It is safe for concurrent use.
type Pace struct {
	// last is nil while nothing has been said.
	last atomic.Pointer[word]
}

// word is what was said at a time. It is immutable.
type word struct {
	// thousandths is Unit for an endpoint that is as fast as its kind, and more for a slower one.
	thousandths int64
	at          time.Time
}

// Set notes how slow the endpoint said at a time that it was, as a multiple of the time of its
// kind, unless it has said so since. A multiple that is not positive says that it is as fast.
func (p *Pace) Set(multiple float64, at time.Time) {
	if multiple <= 0 {
		multiple = 1
	}
	next := &word{thousandths: int64(multiple * Unit), at: at}
	for {
		old := p.last.Load()
		if old != nil && !old.at.Before(at) || p.last.CompareAndSwap(old, next) {
			return
		}
	}
}

// Thousandths returns how slow the endpoint is at now, in thousandths of the time of its kind; a
// word counts for as long as fresh.
func (p *Pace) Thousandths(now time.Time, fresh time.Duration) int64 {
	w := p.last.Load()
	if w == nil || now.Sub(w.at) > fresh {
		return Unit
	}
	return w.thousandths
}
