package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/grademill/grademill/decide/cause"
	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/suspicion"
	"github.com/grademill/grademill/decide/trial"
	"github.com/grademill/grademill/state/suspects"
)

// Guard lets one request of a caller be sent as often as the quarantine allows. Set the exported fields before the
// first use. It is safe for concurrent use.
type Guard struct {
	Quarantine *Quarantine
	// Request is the ID of the request.
	Request string
	// Causes are the request itself, which other copies have in common with it, and the parts of its prompt, from
	// the narrowest cause to the broadest. There is at least the request.
	Causes []cause.Cause
	// Spare returns the endpoints on which a suspect may be tried, without those that are reserved already.
	Spare func() []suspicion.Incarnation

	mu sync.Mutex // guards the fields below
	// attempt is the isolated attempt of a suspect, nil if there is none.
	attempt *attempt
	// began is when the answer began of which events have come last, zero if none have.
	began time.Time
}

// Enter waits until the request may be sent, for at most maxWait; begun is set if its caller has part of the answer. It
// returns a RefusedError if one of its causes is quarantined, or if nobody may run it for now. A request with suspects
// must begin at [Guard.Endpoint].
func (c *Guard) Enter(ctx context.Context, maxWait time.Duration, begun bool) error {
	a, err := c.enter(ctx, maxWait, begun)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt, c.began = a, time.Time{}
	return err
}

// Quarantined returns the cause of the request that is quarantined for longest at now, and for how long: 0 if none is.
func (c *Guard) Quarantined(now time.Time) (quarantined cause.Cause, left time.Duration) {
	for _, one := range c.Causes {
		if l := c.Quarantine.Remaining(one.Print, now); l > left {
			quarantined, left = one, l
		}
	}
	return quarantined, left
}

// suspected returns the causes of the request that are suspects at now.
func (c *Guard) suspected(now time.Time) []cause.Cause {
	var list []cause.Cause
	for _, one := range c.Causes {
		if c.Quarantine.Suspected(one.Print, now) {
			list = append(list, one)
		}
	}
	return list
}

// enter waits until the request may be sent. It returns the attempt of one with suspects, nil for one with none.
func (c *Guard) enter(ctx context.Context, maxWait time.Duration, begun bool) (*attempt, error) {
	q := c.Quarantine
	q.awaitAnswers(ctx, c.Causes)
	since, logged := time.Now(), false
	var notBefore time.Time // of a claim
	for {
		now := time.Now()
		if by, left := c.Quarantined(now); left > 0 {
			return nil, &RefusedError{Reason: "endpoints have ended under it", Cause: by, RetryAfter: left}
		}
		list := c.suspected(now)
		if len(list) == 0 {
			return nil, nil
		}
		spare := c.Spare()
		s := q.situation(list, len(spare), now)
		s.Begun, s.Waited, s.MaxWait = begun, now.Sub(since), maxWait
		action, reason := s.Next(now)
		if !logged || action == trial.Refuse {
			logged = true
			c.logWait(list, s, reason)
		}
		wait := checkInterval
		switch {
		case ctx.Err() != nil:
			return nil, &RefusedError{Reason: "the caller has left"}
		case action == trial.Refuse:
			return nil, &RefusedError{Reason: reason, Cause: list[0], RetryAfter: refusedWait}
		case action == trial.Wait:
			notBefore = now.Add(s.ClaimDelay() + rand.N(claimSpread))
		case now.Before(notBefore):
			wait = notBefore.Sub(now)
		default:
			a, err := q.claim(ctx, c, s, list, spare)
			if err == nil {
				return a, nil
			}
			if !isLost(err) && !begun {
				return nil, &RefusedError{Reason: "the store does not answer", Cause: list[0], RetryAfter: refusedWait}
			}
			notBefore = time.Now().Add(conflictWait)
		}
		q.awaitChange(ctx, wait)
	}
}

// situation returns what is known at now of a request with suspects that may be tried on some endpoints beside those that
// are reserved.
func (q *Quarantine) situation(list []cause.Cause, spare int, now time.Time) trial.Situation {
	reserved := len(q.Reserved(now))
	s := trial.Situation{Reserved: reserved, Endpoints: spare + reserved, StoreAnswers: q.StoreAnswers()}
	for i, one := range list {
		q.known.Arrived(one.Print, now)
		t, ends, rank := q.trials.Get(one.Print), q.known.Ends(one.Print, now), q.known.Rank(one.Print, now)
		if q.holds(one.Print) { // its record may not be written yet
			t.Holder, t.Since = q.Self, now
		}
		if i == 0 {
			s.Trial, s.Rank = t, rank
		}
		s.Trial, s.Ends, s.Rank = s.Trial.Blocking(t, now), max(s.Ends, ends), min(s.Rank, rank)
	}
	return s
}

// logWait logs why the request waits for an isolated attempt, or is refused.
func (c *Guard) logWait(list []cause.Cause, s trial.Situation, reason string) {
	c.Quarantine.Log.Info().Str("request", c.Request).Stringer("print", list[0].Print).Str("part", list[0].Part).
		Int("suspects", len(list)).Int("ends", s.Ends).Int("rank", s.Rank).
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
	return c.MayCrash()
}

// MayCrash reports whether a cause of the request is a suspect or quarantined, whether or not it is tried.
func (c *Guard) MayCrash() bool {
	now := time.Now()
	return slices.ContainsFunc(c.Causes, func(one cause.Cause) bool { return c.Quarantine.Suspected(one.Print, now) })
}

// Begun returns the causes of the request as those of the end of an endpoint that had it for age.
func (c *Guard) Begun(age time.Duration) []suspects.Begun {
	list := make([]suspects.Begun, 0, len(c.Causes))
	for _, one := range c.Causes {
		list = append(list, suspects.Begun{Print: one.Print, Age: age, Part: one.Part != ""})
	}
	return list
}

// MayUse reports whether the request may use an endpoint, given those that are reserved: no other request uses the endpoint
// of a suspect, so that its end is due to the suspect.
func (c *Guard) MayUse(endpoint string, reserved map[string]fingerprint.Fingerprint) bool {
	f, taken := reserved[endpoint]
	if !taken {
		return true
	}
	a := c.current()
	return a != nil && a.incarnation.Endpoint == endpoint && a.claims(f)
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
	c.mu.Lock()
	c.began = time.Now().Add(-answering)
	a := c.attempt
	c.mu.Unlock()
	slowest := time.Duration(0)
	if a != nil {
		slowest = a.slowest
	} else {
		for _, one := range c.Causes {
			slowest = max(slowest, c.Quarantine.known.Slowest(one.Print))
		}
	}
	harmless := trial.Harmless(ran, answering, slowest)
	if harmless {
		c.Passed()
	}
	return harmless
}

// Passed records that the request has run to its end, or for so long that it does not crash its endpoint. It shows
// nothing if no event has come.
func (c *Guard) Passed() {
	c.mu.Lock()
	began := c.began
	c.mu.Unlock()
	if !began.IsZero() {
		c.PassedSince(began)
	}
}

// PassedSince records that the request has run to its end at an endpoint that received it at a time.
func (c *Guard) PassedSince(began time.Time) {
	for _, one := range c.Causes {
		if one.Part != "" {
			c.Quarantine.known.NoteRun(one.Print, began)
		}
	}
	a, now := c.take(), time.Now()
	if a != nil {
		a.passed(began)
	}
	for _, one := range c.Causes {
		if a == nil || !a.claims(one.Print) {
			c.Quarantine.Completed(one.Print, began, now)
		}
	}
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
