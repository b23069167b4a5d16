// Package throttle decides whether a gateway may send a request to an endpoint now, given the
// limits, backoff periods and shutdown notices in the endpoint's answers.
package throttle

import (
	"time"

	"github.com/grademill/grademill/decide/rate"
)

const (
	// MinLimit is the lowest limit in effect, in requests per second: an endpoint that states
	// less gets one request in ten seconds, whose answer tells when its limit rises.
	MinLimit = 0.1
	// MaxBackoff bounds the backoff period in effect. An endpoint that needs longer shuts down, and
	// a Retry-After of a year, sent by mistake, must not exclude it.
	MaxBackoff = 5 * time.Minute
	// BurstSpan is the period over which a gateway accumulates its unused share of a limit, and
	// always at least one request. It is short compared with the seconds over which endpoints
	// count requests.
	BurstSpan = time.Second
	// resumeSpread is the time over which the gateways stop enforcing a withdrawn limit, each at a
	// random time, so that they do not overload the endpoint again.
	resumeSpread = 2 * time.Second
	// maxBackoffJitter is the largest extension of a backoff period, as a fraction of it, so that
	// the gateways do not all resume at once.
	maxBackoffJitter = 0.2
	// trialTimeout is how long the first request after a backoff period may remain unanswered
	// before the gateway sends another one.
	trialTimeout = time.Second
	// demandWindow is the time over which demand for the endpoint is averaged.
	demandWindow = 2 * time.Second
	// minDemand is the lowest rate that counts as demand, in requests per second.
	minDemand = 0.01
	// withdrawalReportSpan is how long a gateway reports a withdrawn limit to its peers: long enough
	// for several digests.
	withdrawalReportSpan = 3 * time.Second
)

// HoldReason is the reason why an endpoint may not be sent a request now.
type HoldReason string

// Reasons to hold a request back.
const (
	// NotHeld means that a request may be sent.
	NotHeld    HoldReason = ""
	Leaving    HoldReason = "leaving"
	BackingOff HoldReason = "rest"
	Limited    HoldReason = "limit"
)

// Throttle holds the limits that an endpoint has stated in its answers and the requests that this
// gateway has sent it since. The zero Throttle admits all requests. It is an immutable value: the
// With methods return changed copies.
type Throttle struct {
	// leaving is never cleared: an endpoint that restarts has a throttle of its own.
	leaving bool
	// unreadable is set once a header of the endpoint could not be parsed.
	unreadable bool
	// limit is the latest limit known, zero if the endpoint has never stated one.
	limit Limit
	// limitedSince is when this gateway began to enforce a limit: requests before do not count
	// against it.
	limitedSince time.Time
	// share is this gateway's share of the limit in requests per second, 0 until it is computed.
	share float64
	// tokens is the number of requests that may be sent at once, as of tokensAt: at most the share
	// accumulated in BurstSpan, or one.
	tokens   float64
	tokensAt time.Time
	// resumesAt is when this gateway stops enforcing a withdrawn limit.
	resumesAt time.Time
	// demand is the rate of requests that would start at the endpoint while it states a limit.
	demand rate.Meter
	// demandSince is the time at which the demand began.
	demandSince time.Time
	// backoffUntil is the end of the backoff period, zero if the endpoint asked for none or has
	// answered a request sent after the period. Until trialUntil one such request is in flight.
	backoffUntil, trialUntil time.Time
}

// WithReport returns the throttle after an answer. The jitter, from 0 to 1, spreads times that would
// otherwise coincide on all gateways.
func (t Throttle) WithReport(w Report, jitter float64) Throttle {
	t.leaving = t.leaving || w.Leaving
	t.unreadable = t.unreadable || w.Unreadable != ""
	if w.Limit > 0 {
		t = t.WithLimit(Limit{Rate: w.Limit, At: w.Received}, w.Received, jitter)
	} else if t.Named() && w.Unreadable == "" {
		// Answers can overtake each other, so only an answer to a request that was sent after the
		// limit became known is certainly newer.
		t = t.WithLimit(Limit{At: w.Sent}, w.Received, jitter)
	}
	if w.RetryAfter > 0 {
		until := w.Received.Add(w.RetryAfter + time.Duration(jitter*maxBackoffJitter*float64(w.RetryAfter)))
		if until.After(t.backoffUntil) {
			t.backoffUntil = until
		}
		t.trialUntil = time.Time{}
	} else if !w.Sent.Before(t.backoffUntil) {
		t.backoffUntil, t.trialUntil = time.Time{}, time.Time{}
	}
	return t
}

// WithLimit returns the throttle after a report of the limit at now, unless it already holds a
// newer one.
func (t Throttle) WithLimit(l Limit, now time.Time, jitter float64) Throttle {
	if !l.At.After(t.limit.At) || !l.Named() && !t.Named() {
		return t
	}
	if !l.Named() {
		t.resumesAt = now.Add(time.Duration(jitter * float64(resumeSpread)))
	} else if !t.Named() {
		t.share, t.tokens, t.tokensAt, t.limitedSince = 0, 0, now, now
		t.demand = rate.Meter{Span: demandWindow}
	}
	t.limit = l
	return t
}

// WithShare returns the throttle with this gateway's share of the limit as computed at now, in
// requests per second.
func (t Throttle) WithShare(share float64, now time.Time) Throttle {
	t.tokens, t.tokensAt = t.tokensAvailable(now), now
	t.share = share
	t.tokens = min(t.tokens, t.maxTokens())
	return t
}

// WithDemand returns the throttle after a request at now that would start at the endpoint, whether
// or not it is admitted.
func (t Throttle) WithDemand(now time.Time) Throttle {
	if t.demand.PerSecond(now) < minDemand && now.Sub(t.demandSince) > demandWindow {
		t.demandSince = now
	}
	t.demand = t.demand.WithCount(now, 1)
	return t
}

// WithRequest returns the throttle after a request was sent at now.
func (t Throttle) WithRequest(now time.Time) Throttle {
	if !t.backoffUntil.IsZero() {
		t.trialUntil = now.Add(trialTimeout)
	}
	if t.limited(now) {
		t.tokens, t.tokensAt = t.tokensAvailable(now)-1, now
	}
	return t
}

// WithoutRequest returns the throttle after a request that was counted at taken is given up at now
// without being sent.
func (t Throttle) WithoutRequest(taken, now time.Time) Throttle {
	if t.trialUntil.Equal(taken.Add(trialTimeout)) {
		t.trialUntil = time.Time{}
	}
	if t.limited(now) && !taken.Before(t.limitedSince) {
		t.tokens, t.tokensAt = min(t.tokensAvailable(now)+1, t.maxTokens()), now
	}
	return t
}

// Held returns why no request may be sent at now, or NotHeld.
func (t Throttle) Held(now time.Time) HoldReason {
	switch {
	case t.leaving:
		return Leaving
	case now.Before(t.backoffUntil) || now.Before(t.trialUntil):
		return BackingOff
	case t.limited(now) && t.tokensAvailable(now) < 1:
		return Limited
	}
	return NotHeld
}

// NextSend returns the earliest time at which a request may be sent, as known at now, or false if
// that time is not known.
func (t Throttle) NextSend(now time.Time) (time.Time, bool) {
	if t.leaving {
		return time.Time{}, false
	}
	from := now
	for _, until := range []time.Time{t.backoffUntil, t.trialUntil} {
		if until.After(from) {
			from = until
		}
	}
	if !t.limited(now) {
		return from, true
	}
	if t.share <= 0 {
		return time.Time{}, false
	}
	missing := max(1-t.tokensAvailable(now), 0) / t.share
	if next := now.Add(time.Duration(missing * float64(time.Second))); next.After(from) {
		from = next
	}
	return from, true
}

// Unreadable reports whether a header of the endpoint could not be parsed.
func (t Throttle) Unreadable() bool { return t.unreadable }

// Named reports whether the endpoint states a limit, as far as this gateway knows.
func (t Throttle) Named() bool { return t.limit.Named() }

// Limit returns the latest limit known.
func (t Throttle) Limit() Limit { return t.limit }

// Share returns this gateway's share of the limit in requests per second, 0 until it is computed.
func (t Throttle) Share() float64 { return t.share }

// RetryAfter returns the time at which the backoff period ends for this gateway, with the jitter
// added; zero if there is none.
func (t Throttle) RetryAfter() time.Time { return t.backoffUntil }

// Demand returns the rate of requests that would start at the endpoint at now, 0 while it states no
// limit.
func (t Throttle) Demand(now time.Time) float64 {
	if d := t.demand.PerSecond(now); t.Named() && d >= minDemand {
		return d
	}
	return 0
}

// Claim returns the demand that counts towards this gateway's share at now. It is 0 until the
// demand has lasted for the time settle, after which the gateways know each other's demand.
// Otherwise each of several gateways whose demand begins together would claim the limit alone.
func (t Throttle) Claim(now time.Time, settle time.Duration) float64 {
	if now.Sub(t.demandSince) < settle {
		return 0
	}
	return t.Demand(now)
}

// ReportsLimit reports whether this gateway should report the limit, or its withdrawal, to its peers
// at now.
func (t Throttle) ReportsLimit(now time.Time) bool {
	return t.Named() || !t.limit.At.IsZero() && now.Sub(t.limit.At) < withdrawalReportSpan
}

// limited reports whether a limit is enforced at now.
func (t Throttle) limited(now time.Time) bool {
	return t.Named() || now.Before(t.resumesAt)
}

// maxTokens returns how many requests may accumulate: none if this gateway has no share.
func (t Throttle) maxTokens() float64 {
	if t.share <= 0 {
		return 0
	}
	return max(t.share*BurstSpan.Seconds(), 1)
}

// tokensAvailable returns how many requests may be sent at once at now.
func (t Throttle) tokensAvailable(now time.Time) float64 {
	gained := t.share * max(now.Sub(t.tokensAt), 0).Seconds()
	return min(t.tokens+gained, t.maxTokens())
}
