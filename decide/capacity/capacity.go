// Package capacity estimates how many requests a second the endpoints of a service can serve.
package capacity

import (
	"slices"
	"time"

	"github.com/grademill/grademill/decide/demand"
)

const (
	// DefaultSpan is the span of an estimate without one.
	DefaultSpan = 3 * time.Second
	// The admissions are kept in parts of the span of at least 1/parts each. Two more than parts are kept,
	// so that the complete ones always cover the span.
	parts   = 7
	periods = parts + 2
	// The estimate is reduced by the excess of the wait divided by horizon, at most by maxCorrection.
	// Reports are up to 0.4 s old and their rates average over 1 s. With 1 s and 0.3, the estimate was 0.71
	// of the capacity a second after a jump to twice the capacity, and only 0.91 of the new requests were
	// in time in a second from 2 s after a burst.
	horizon       = 4 * time.Second
	maxCorrection = 0.1
	// growth is the growth per second while no request waits. Below the last known capacity it
	// increases by the same amount for each growthStep without a queue, up to maxGrowth, so that room
	// that comes back is in use again within about 2 s.
	growth     = 0.1
	growthStep = 250 * time.Millisecond
	maxGrowth  = 0.8
	// maxExcess bounds the estimate as a multiple of what is known to be served. Without it the
	// estimate grew for as long as returning callers filled the gap after a burst, up to 1.4 of the capacity; 2
	// to 3 s later a fifth of the new requests found no slot.
	maxExcess = 1.1
	// knownSpan is the time constant with which a higher known capacity is given up.
	knownSpan = 4 * time.Second
	// minOfferedShare is the part of the demand below which the estimate does not fall: some
	// requests must be admitted to see that endpoints work again.
	minOfferedShare = 0.05
	// unlimitedAfter is the time without a queue after which an estimate above the demand becomes
	// unknown, so that a sudden rise finds no limit learned from a smaller load.
	unlimitedAfter = 2 * time.Second
	// reportLag is the mean age of the admissions in a report: an average over 1 s that is 0.3 s old.
	reportLag = 1300 * time.Millisecond
	// agreement is the part of the way toward the mean estimate of all gateways that each step goes.
	agreement = 0.2
	// forgetAfter is the time without demand after which nothing is known.
	forgetAfter = 10 * time.Second
)

// Target returns the wait that the queue may have, given the shortest objective among the routes of a
// service: a fifth of it, so that the queue stays shorter than any objective. While some gateways of the
// fleet report no load it is half of it. Those do not limit their queues, and a gateway with a
// short queue then gets few of the slots that become free: beside gateways of the former build at 2.4
// times the capacity, one served 0.67 to 0.71 of what they did with a fifth, 0.81 to 0.91 with half.
func Target(shortest time.Duration, unreported bool) time.Duration {
	if unreported {
		return shortest / 2
	}
	return shortest / 5
}

// Estimate is an estimate of the capacity of the endpoints. The zero Estimate knows none. It is an
// immutable value.
type Estimate struct {
	// Span is the time over which admissions are averaged while requests wait, 0 for DefaultSpan. It
	// should be the typical duration of a request: the slots of requests that were admitted together
	// become free together, and the rate of a shorter period follows these surges.
	Span time.Duration

	// at is the time of the latest step, demandAt the latest one with demand.
	at, demandAt time.Time
	// base is the estimate without the correction for the queue, value with it; 0 if unknown.
	base, value float64
	// known is the highest base of the last seconds in which requests waited.
	known float64
	// idle is how long the wait has been within the target.
	idle time.Duration
	// admitted holds the latest admissions, the oldest first. They cover Span.
	admitted [periods]period
	// rate is the latest reported rate of admissions.
	rate float64
}

// period is a part of the span.
type period struct {
	seconds, requests float64
}

// Value returns the estimate in requests per second; 0 means unknown, which is no limit.
func (e Estimate) Value() float64 { return e.value }

// Next returns the estimate after a report of the demand of the fleet, this gateway included. The
// target is that of [Target].
func (e Estimate) Next(fleet demand.Demand, target time.Duration, now time.Time) Estimate {
	offered := fleet.Offered()
	first := e.at.IsZero()
	if offered > 0 || fleet.Waiting > 0 {
		e.demandAt = now
	}
	if now.Sub(e.demandAt) >= forgetAfter {
		return Estimate{Span: e.Span}
	}
	if first {
		e.base = fleet.Capacity()
		e.known = e.base
	}
	step := min(max(now.Sub(e.at), 0), time.Second)
	if first {
		step = 0
	}
	e.at = now
	e = e.withAdmitted(fleet.Admitted, step)
	mean := e.mean()
	if mean <= 0 {
		e.value = e.base
		return e
	}
	if e.base > 0 && fleet.Estimates > 0 {
		e.base += agreement * (fleet.Capacity() - e.base)
	}
	wait := time.Duration(fleet.Waiting / max(mean, e.base) * float64(time.Second))
	if wait > target {
		e.idle = 0
		if e.base == 0 {
			e = e.withMean(e.current())
			e.base = e.mean()
		} else {
			e.base = min(e.base, mean)
		}
		e.base = max(e.base, minOfferedShare*offered)
		e.known += (e.base - e.known) * min(step.Seconds()/knownSpan.Seconds(), 1)
		if e.known < e.base || !e.covered() {
			e.known = e.base
		}
		e.value = e.base * (1 - min(float64(wait-target)/float64(horizon), maxCorrection))
		return e
	}
	e.idle += step
	if e.base > 0 {
		rise := growth
		if e.base < e.known {
			rise = min(growth*(1+float64(e.idle)/float64(growthStep)), maxGrowth)
		}
		room := 1 - float64(wait)/float64(max(target, 1))
		grown := e.base * (1 + rise*room*step.Seconds())
		e.base = max(min(grown, maxExcess*max(e.known, mean)), mean)
	}
	if e.idle >= unlimitedAfter && e.base > offered {
		e.base = 0
	}
	e.value = e.base
	return e
}

// WithPart returns the estimate for a part of the fleet. A gateway that hears no other one goes on
// with its part of the demand and its own reports.
func (e Estimate) WithPart(part float64) Estimate {
	e.base *= part
	e.value *= part
	e.known *= part
	e.rate *= part
	for i := range e.admitted {
		e.admitted[i].requests *= part
	}
	return e
}

// withMean returns the estimate with the rate as that of the whole span.
func (e Estimate) withMean(rate float64) Estimate {
	for i := range e.admitted {
		e.admitted[i].requests = rate * e.admitted[i].seconds
	}
	return e
}

// withAdmitted returns the estimate after a step with the given rate of admissions.
func (e Estimate) withAdmitted(rate float64, step time.Duration) Estimate {
	if e.admitted[periods-1].seconds >= e.span().Seconds()/parts {
		copy(e.admitted[:], e.admitted[1:])
		e.admitted[periods-1] = period{}
	}
	last := &e.admitted[periods-1]
	last.seconds += step.Seconds()
	last.requests += rate * step.Seconds()
	e.rate = rate
	return e
}

// mean returns the mean rate of admissions over the span, 0 if nothing is known. It covers exactly the
// span: surges of admissions that recur with the duration of a request then have no effect.
func (e Estimate) mean() float64 {
	left := e.span().Seconds()
	var sum period
	for _, p := range slices.Backward(e.admitted[:]) {
		if p.seconds == 0 || left <= 0 {
			break
		}
		used := min(p.seconds, left)
		left -= used
		sum.seconds += used
		sum.requests += p.requests * used / p.seconds
	}
	if sum.seconds == 0 {
		return 0
	}
	return sum.requests / sum.seconds
}

// current returns the mean without the lag of reports behind the admissions, for which the change of
// the rate over the span makes up. At a jump from half to twice the capacity the mean is 0.7 of the
// capacity when the first requests wait. Used at each step, the term makes the estimate swing by a quarter.
func (e Estimate) current() float64 {
	for _, oldest := range e.admitted {
		if oldest.seconds > 0 {
			change := e.rate - oldest.requests/oldest.seconds
			return max(e.mean()+change*reportLag.Seconds()/e.span().Seconds(), 0)
		}
	}
	return 0
}

// covered reports whether admissions are known for the whole span. Before that, the mean may be that of
// requests that took free slots, at more than the capacity.
func (e Estimate) covered() bool { return e.admitted[1].seconds > 0 }

func (e Estimate) span() time.Duration {
	if e.Span <= 0 {
		return DefaultSpan
	}
	return e.Span
}
