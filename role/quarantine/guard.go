package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/trial"
	"github.com/grademill/grademill/state/suspects"
)

// Guard lets one request of a caller be sent as often as the quarantine allows. Set the exported fields before the
// first use. It is safe for concurrent use.
type Guard struct {
	Quarantine *Quarantine
	// Request is the ID of the request, Print the fingerprint that it shares with other copies.
	Request string
	Print   fingerprint.Fingerprint
	// Spare returns the endpoints on which a suspect may be tried, without those that are reserved already.
	Spare func() []suspects.Incarnation

	mu sync.Mutex // guards attempt
	// attempt is the isolated attempt of a suspect, nil if there is none.
	attempt *attempt
}

// Enter waits until the request may be sent, for at most maxWait; begun is set if its caller has part of the answer. It
// returns a RefusedError if the request is quarantined, or if nobody may run it for now. A suspect must begin at
// [Guard.Endpoint].
func (c *Guard) Enter(ctx context.Context, maxWait time.Duration, begun bool) error {
	a, err := c.enter(ctx, maxWait, begun)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt = a
	return err
}

// enter waits until the request may be sent. It returns the attempt of a suspect, nil for a request that is none.
func (c *Guard) enter(ctx context.Context, maxWait time.Duration, begun bool) (*attempt, error) {
	q := c.Quarantine
	q.awaitAnswers(ctx, c.Print)
	since, logged := time.Now(), false
	var notBefore time.Time // of a claim
	for {
		now := time.Now()
		if left := q.Remaining(c.Print, now); left > 0 {
			return nil, &RefusedError{Reason: "endpoints have ended under it", RetryAfter: left}
		}
		if !q.Suspected(c.Print, now) {
			return nil, nil
		}
		q.known.Arrived(c.Print, now)
		spare, reserved := c.Spare(), len(q.Reserved(now))
		s := trial.Situation{
			Trial: q.trials.Get(c.Print), Ends: q.known.Ends(c.Print, now), Rank: q.known.Rank(c.Print, now), Reserved: reserved,
			Endpoints: len(spare) + reserved, StoreAnswers: q.StoreAnswers(), Begun: begun, Waited: now.Sub(since), MaxWait: maxWait,
		}
		action, reason := s.Next(now)
		if !logged || action == trial.Refuse {
			logged = true
			c.logWait(s, reason)
		}
		wait := checkInterval
		switch {
		case ctx.Err() != nil:
			return nil, &RefusedError{Reason: "the caller has left"}
		case action == trial.Refuse:
			return nil, &RefusedError{Reason: reason, RetryAfter: refusedWait}
		case action == trial.Wait:
			notBefore = now.Add(rand.N(claimSpread))
		case now.Before(notBefore):
			wait = notBefore.Sub(now)
		default:
			a, err := q.claim(ctx, c, s, spare)
			if err == nil {
				return a, nil
			}
			if !isLost(err) {
				return nil, &RefusedError{Reason: "the store does not answer", RetryAfter: refusedWait}
			}
			notBefore = time.Now().Add(conflictWait)
		}
		q.awaitChange(ctx, wait)
	}
}

// logWait logs why the request waits for an isolated attempt, or is refused.
func (c *Guard) logWait(s trial.Situation, reason string) {
	c.Quarantine.Log.Info().Str("request", c.Request).Stringer("print", c.Print).Int("ends", s.Ends).Int("rank", s.Rank).
		Int("sends", s.Trial.Sends).Int("reserved", s.Reserved).Int("endpoints", s.Endpoints).Str("by", s.Trial.Holder).
		Dur("waited_ms", s.Waited).Str("reason", reason).Msg("request under which endpoints have ended waits for an isolated attempt")
}

// current returns the isolated attempt, nil if there is none.
func (c *Guard) current() *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempt
}

// Endpoint returns the ID of the endpoint that is reserved for the request, empty if it is no suspect.
func (c *Guard) Endpoint() string {
	if a := c.current(); a != nil {
		return a.incarnation.Endpoint
	}
	return ""
}

// Suspected reports whether the request may be sent only as an isolated attempt, which is not claimed or was claimed too
// long ago: another gateway may try it soon.
func (c *Guard) Suspected() bool {
	if a := c.current(); a != nil {
		return a.timeLeft() <= 0
	}
	return c.Quarantine.Suspected(c.Print, time.Now())
}

// MayUse reports whether the request may use an endpoint, given those that are reserved: no other request uses the endpoint
// of a suspect, so that its end is due to the suspect.
func (c *Guard) MayUse(endpoint string, reserved map[string]fingerprint.Fingerprint) bool {
	f, taken := reserved[endpoint]
	return !taken || f == c.Print && c.Endpoint() == endpoint
}

// OnExpiry calls f if the outcome of an isolated attempt is still not known when it has taken too long. The caller calls
// stop when the attempt is over.
func (c *Guard) OnExpiry(f func()) (stop func()) {
	a := c.current()
	if a == nil {
		return func() {}
	}
	timer := time.AfterFunc(a.timeLeft(), func() {
		if !a.finished.Load() {
			f()
		}
	})
	return func() { timer.Stop() }
}

// Ran records that an endpoint has had the request for ran, and that events have come for answering. It reports whether
// that shows that the request does not crash endpoints; if so, the guard needs no further calls of Ran.
func (c *Guard) Ran(ran, answering time.Duration) bool {
	slowest := time.Duration(0)
	if a := c.current(); a != nil {
		slowest = a.slowest
	}
	harmless := trial.Harmless(ran, answering, slowest)
	if harmless {
		c.Passed()
	}
	return harmless
}

// Passed records that the request has run to its end.
func (c *Guard) Passed() {
	if a := c.take(); a != nil {
		a.passed()
		return
	}
	c.Quarantine.Completed(c.Print, time.Now())
}

// End ends an isolated attempt, if there is one; sent is set if the endpoint may have received the request.
func (c *Guard) End(sent bool) {
	if a := c.take(); a != nil {
		a.finish(sent)
	}
}

// take returns the isolated attempt, nil if there is none, and forgets it.
func (c *Guard) take() *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempt
	c.attempt = nil
	return a
}
