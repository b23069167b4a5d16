// Package pace records how long an endpoint takes compared with others of its kind, according to
// the latest report by the endpoint itself or by another gateway.
package pace

import (
	"sync/atomic"
	"time"
)

// Unit is the pace, in thousandths, of an endpoint that is as fast as its kind.
const Unit = 1000

// Pace is the time that an endpoint takes relative to its kind; a higher pace is slower. The zero
// Pace means as fast as its kind. It is safe for concurrent use.
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
// It is Unit if there is no report, or only one older than fresh.
func (p *Pace) Thousandths(now time.Time, fresh time.Duration) int64 {
	latest := p.last.Load()
	if latest == nil || now.Sub(latest.at) > fresh {
		return Unit
	}
	return latest.thousandths
}
