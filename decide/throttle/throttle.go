// Package throttle decides whether a gateway may send an endpoint a request now, by what the
// endpoint has said of the requests that it takes.
package throttle

import (
	"time"

	"github.com/grademill/grademill/decide/rate"
)

const (
	// LeastLimit is the least limit that counts, in requests a second: an endpoint that names
	// less gets one request in ten seconds, whose answer tells when it takes more.
	LeastLimit = 0.1
	// MaxRest bounds the rest that counts: an endpoint that needs more ends, and a
	// mistaken year must not shut it out.
	MaxRest = 5 * time.Minute
	// BurstSpan is the time for which a part of a limit that is not used is saved up. It is
	// short beside the seconds over which endpoints count, and one request can always be saved.
	BurstSpan = time.Second
	// returnSpan is the time within which gateways come back to an endpoint that names no limit
	// any more, each at a time of its own, so that it is not driven into need again.
	returnSpan = 2 * time.Second
	// lateRest is by how much a rest is drawn out at most, in parts of itself, so that
	// gateways do not all come back at once.
	lateRest = 0.2
	// trialWait is how long one request after a rest may stay without an answer before
	// another one is tried.
	trialWait = time.Second
	// demandSpan is the time over which the requests are counted that would begin at the endpoint.
	demandSpan = 2 * time.Second
	// leastDemand is the least number of requests a second that counts as wanting some.
	leastDemand = 0.01
	// toldEnd is how long other gateways are told that a limit has ended: a few digests.
	toldEnd = 3 * time.Second
)

// Hold is why an endpoint gets no request now.
type Hold string

// The reasons.
const (
	// Free holds nothing off.
	Free    Hold = ""
	Leaving Hold = "leaving"
	Resting Hold = "rest"
	Limited Hold = "limit"
)

// Throttle is what an endpoint has said of the requests that it takes, and what this gateway has
// sent it since. The zero Throttle lets all pass. It is an immutable value: the With methods
// return changed copies.
type Throttle struct {
	// leaving is set for good: an endpoint that starts again has a usage of its own.
	leaving bool
	// unclear is set once a header could not be read.
	unclear bool
	// limit is the newest word on a limit; the zero Limit while none was ever named.
	limit Limit
	// share is the part of the limit that is this gateway's, in requests a second, 0 until it has
	// been worked out.
	share float64
	// saved are the requests that may go out at once, as of savedAt: at most what is saved up
	// in BurstSpan, or one.
	saved   float64
	savedAt time.Time
	// freeAt is when this gateway comes back after a limit has ended.
	freeAt time.Time
	// demand counts the requests that would begin at the endpoint while it names a limit.
	demand rate.Meter
	// wantedSince is since when there have been such requests.
	wantedSince time.Time
	// rest is until when it wants nothing, zero when it has not asked for rest, or has answered a
	// request since that went out later. Until provenAt one such request is under way.
	rest, provenAt time.Time
}

// WithWord returns the throttle after an answer; luck, from 0 to 1, draws times apart that would
// otherwise be the same at all gateways.
func (t Throttle) WithWord(w Word, luck float64) Throttle {
	t.leaving = t.leaving || w.Leaving
	t.unclear = t.unclear || w.Unclear != ""
	if w.Limit > 0 {
		t = t.WithLimit(Limit{Rate: w.Limit, At: w.Heard}, w.Heard, luck)
	} else if t.Named() && w.Unclear == "" {
		// Only an answer to what was sent after the limit was heard of is surely newer: answers
		// overtake each other.
		t = t.WithLimit(Limit{At: w.Sent}, w.Heard, luck)
	}
	if w.Rest > 0 {
		until := w.Heard.Add(w.Rest + time.Duration(luck*lateRest*float64(w.Rest)))
		if until.After(t.rest) {
			t.rest = until
		}
		t.provenAt = time.Time{}
	} else if !w.Sent.Before(t.rest) {
		t.rest, t.provenAt = time.Time{}, time.Time{}
	}
	return t
}

// WithLimit returns the throttle after a word on the limit at now, unless a newer one is known.
func (t Throttle) WithLimit(l Limit, now time.Time, luck float64) Throttle {
	if !l.At.After(t.limit.At) || !l.Named() && !t.Named() {
		return t
	}
	if !l.Named() {
		t.freeAt = now.Add(time.Duration(luck * float64(returnSpan)))
	} else if !t.Named() {
		t.share, t.saved, t.savedAt = 0, 0, now
		t.demand = rate.Meter{Span: demandSpan}
	}
	t.limit = l
	return t
}

// WithShare returns the throttle with this gateway's part of the limit as worked out at now, in
// requests a second.
func (t Throttle) WithShare(share float64, now time.Time) Throttle {
	t.saved, t.savedAt = t.savedUp(now), now
	t.share = share
	t.saved = min(t.saved, t.most())
	return t
}

// WithDemand returns the throttle after a request at now that would begin at the endpoint, whether
// it may or not.
func (t Throttle) WithDemand(now time.Time) Throttle {
	if t.demand.PerSecond(now) < leastDemand && now.Sub(t.wantedSince) > demandSpan {
		t.wantedSince = now
	}
	t.demand = t.demand.WithCount(now, 1)
	return t
}

// WithRequest returns the throttle after a request that is sent at now.
func (t Throttle) WithRequest(now time.Time) Throttle {
	if !t.rest.IsZero() {
		t.provenAt = now.Add(trialWait)
	}
	if t.limits(now) {
		t.saved, t.savedAt = t.savedUp(now)-1, now
	}
	return t
}

// Held returns why no request may go out at now, Free when one may.
func (t Throttle) Held(now time.Time) Hold {
	switch {
	case t.leaving:
		return Leaving
	case now.Before(t.rest) || now.Before(t.provenAt):
		return Resting
	case t.limits(now) && t.savedUp(now) < 1:
		return Limited
	}
	return Free
}

// From returns when a request may go out at the earliest, as known at now; false when that is not
// known.
func (t Throttle) From(now time.Time) (time.Time, bool) {
	if t.leaving {
		return time.Time{}, false
	}
	from := now
	for _, until := range []time.Time{t.rest, t.provenAt} {
		if until.After(from) {
			from = until
		}
	}
	if !t.limits(now) {
		return from, true
	}
	if t.share <= 0 {
		return time.Time{}, false
	}
	missing := max(1-t.savedUp(now), 0) / t.share
	if next := now.Add(time.Duration(missing * float64(time.Second))); next.After(from) {
		from = next
	}
	return from, true
}

// Unclear reports whether a header of the endpoint could not be read.
func (t Throttle) Unclear() bool { return t.unclear }

// Named reports whether the endpoint names a limit, as far as is known.
func (t Throttle) Named() bool { return t.limit.Named() }

// Limit returns the newest word on the limit.
func (t Throttle) Limit() Limit { return t.limit }

// Share returns this gateway's part of the limit, in requests a second, 0 until it has been worked out.
func (t Throttle) Share() float64 { return t.share }

// Rest returns until when the endpoint wants nothing, zero when it has not asked for rest.
func (t Throttle) Rest() time.Time { return t.rest }

// Demand returns the requests a second that would begin at the endpoint at now, 0 while it names no
// limit.
func (t Throttle) Demand(now time.Time) float64 {
	if d := t.demand.PerSecond(now); t.Named() && d >= leastDemand {
		return d
	}
	return 0
}

// Claim returns the demand as it counts for this gateway's part at now: only once it has been there
// for so long that the other gateways know of it, and this one knows of theirs. Gateways that begin to
// want something together would else each take itself to be the only one.
func (t Throttle) Claim(now time.Time, known time.Duration) float64 {
	if now.Sub(t.wantedSince) < known {
		return 0
	}
	return t.Demand(now)
}

// Tells reports whether other gateways are to be told at now what is known of the limit.
func (t Throttle) Tells(now time.Time) bool {
	return t.Named() || !t.limit.At.IsZero() && now.Sub(t.limit.At) < toldEnd
}

// limits reports whether a limit is kept to at now.
func (t Throttle) limits(now time.Time) bool {
	return t.Named() || now.Before(t.freeAt)
}

// most returns how many requests may be saved up: none where this gateway has no part.
func (t Throttle) most() float64 {
	if t.share <= 0 {
		return 0
	}
	return max(t.share*BurstSpan.Seconds(), 1)
}

// savedUp returns how many requests may go out at once at now.
func (t Throttle) savedUp(now time.Time) float64 {
	gained := t.share * max(now.Sub(t.savedAt), 0).Seconds()
	return min(t.saved+gained, t.most())
}
