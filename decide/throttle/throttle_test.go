package throttle_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/grademill/grademill/decide/throttle"
)

var start = time.Date(2026, 11, 2, 10, 0, 0, 0, time.UTC)

// at returns the time the given number of seconds after the start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// answer returns an answer received at a time, to a request sent 100 ms before.
func answer(seconds float64, w throttle.Report) throttle.Report {
	w.Sent, w.Received = at(seconds-0.1), at(seconds)
	return w
}

// countSent returns how many requests are admitted in an interval if one is attempted every 10 ms.
func countSent(t throttle.Throttle, from, to float64) (throttle.Throttle, int) {
	n := 0
	for s := from; s < to; s += 0.01 {
		if t.Held(at(s)) == throttle.NotHeld {
			t = t.WithRequest(at(s))
			n++
		}
	}
	return t, n
}

func TestLimitIsEnforced(t *testing.T) {
	limited := throttle.Throttle{}.WithReport(answer(0, throttle.Report{Limit: 4}), 0)
	assert.Equal(t, throttle.Limited, limited.Held(at(1)), "no request is admitted before the share is computed")
	shared := limited.WithShare(2, at(0))
	_, n := countSent(shared, 0, 10)
	assert.Equal(t, 19, n, "the gateway's share, with no tokens at the start")
	_, n = countSent(shared, 100, 100.1)
	assert.Equal(t, 2, n, "one second's share accumulates, however long no request was sent")
	_, n = countSent(shared.WithShare(0, at(100)), 100, 200)
	assert.Zero(t, n, "a gateway without a share loses its tokens")
	from, known := shared.NextSend(at(0.1))
	assert.True(t, known)
	assert.Equal(t, at(0.5), from)
}

// A request that is given up unsent must not use up the limit, nor give more than was taken.
func TestUnsentRequestIsNotCounted(t *testing.T) {
	limited := throttle.Throttle{}.WithReport(answer(0, throttle.Report{Limit: 4}), 0).WithShare(1, at(0))
	sent := limited.WithRequest(at(2))
	assert.Equal(t, throttle.Limited, sent.Held(at(2.1)))
	assert.Equal(t, throttle.NotHeld, sent.WithoutRequest(at(2), at(2.1)).Held(at(2.1)))
	_, n := countSent(sent.WithoutRequest(at(2), at(4)), 4, 4.1)
	assert.Equal(t, 1, n, "the tokens stay within the bound")
	assert.Equal(t, throttle.Limited, limited.WithoutRequest(at(-1), at(0.1)).Held(at(0.1)), "a request from before the limit was not counted")
}

// The first request after a backoff period, given up unsent, gets no answer that would end the trial.
func TestUnsentTrialIsRepeated(t *testing.T) {
	asked := throttle.Throttle{}.WithReport(answer(0, throttle.Report{RetryAfter: 3 * time.Second}), 0)
	trial := asked.WithRequest(at(3.5))
	assert.Equal(t, throttle.BackingOff, trial.Held(at(3.6)))
	assert.Equal(t, throttle.NotHeld, trial.WithoutRequest(at(3.5), at(3.6)).Held(at(3.6)))
	assert.Equal(t, throttle.BackingOff, trial.WithoutRequest(at(-1), at(3.6)).Held(at(3.6)), "another request is the trial")
}

func TestLimitIsWithdrawn(t *testing.T) {
	limited := throttle.Throttle{}.WithReport(answer(0, throttle.Report{Limit: 4}), 0).WithShare(1, at(0))
	for _, c := range []struct {
		name        string
		answer      throttle.Report
		wantLimited bool
	}{
		{"an answer to a request sent before the limit was known", throttle.Report{Sent: at(-0.1), Received: at(0.2)}, true},
		{"an answer to a later request", throttle.Report{Sent: at(0.1), Received: at(0.2)}, false},
		{"a later answer with an unreadable header", throttle.Report{Sent: at(0.1), Received: at(0.2), Unreadable: "Server-Limit: x"}, true},
		{"another limit", throttle.Report{Limit: 5, Sent: at(0.1), Received: at(0.2)}, true},
	} {
		assert.Equal(t, c.wantLimited, limited.WithReport(c.answer, 0).Named(), c.name)
	}
	withdrawn := limited.WithReport(throttle.Report{Sent: at(3), Received: at(3.1)}, 0.5)
	assert.Equal(t, throttle.Limited, withdrawn.WithRequest(at(3.2)).WithRequest(at(3.2)).Held(at(3.9)), "the limit is enforced until resumesAt")
	assert.Equal(t, throttle.NotHeld, withdrawn.WithRequest(at(4.2)).WithRequest(at(4.2)).Held(at(4.2)))
	late := withdrawn.WithLimit(throttle.Limit{Rate: 4, At: at(2), Relays: 1}, at(5), 0)
	assert.False(t, late.Named(), "a delayed report of a limit from before its withdrawal")
	assert.True(t, withdrawn.ReportsLimit(at(4)), "peers are told of the withdrawal")
	assert.False(t, withdrawn.ReportsLimit(at(10)))
}

func TestBackoffPeriodIsEnforced(t *testing.T) {
	asked := throttle.Throttle{}.WithReport(answer(0, throttle.Report{RetryAfter: 3 * time.Second}), 1)
	assert.Equal(t, throttle.BackingOff, asked.Held(at(3.5)), "jitter extends the backoff period")
	from, known := asked.NextSend(at(1))
	assert.True(t, known)
	assert.Equal(t, at(3.6), from)
	trial, n := countSent(asked, 0, 4.5)
	assert.Equal(t, 1, n, "one trial request is sent")
	_, n = countSent(trial, 4.5, 5)
	assert.Equal(t, 1, n, "another one is sent if the first stays unanswered")
	early := trial.WithReport(throttle.Report{Sent: at(-0.1), Received: at(4)}, 0)
	assert.Equal(t, throttle.BackingOff, early.Held(at(4)), "an answer to a request sent before the backoff period does not end it")
	assert.Equal(t, throttle.NotHeld, trial.WithReport(answer(4, throttle.Report{}), 0).Held(at(4)))
	again := trial.WithReport(answer(4, throttle.Report{RetryAfter: time.Second}), 0)
	assert.Equal(t, throttle.BackingOff, again.Held(at(4.9)))
	assert.Equal(t, throttle.NotHeld, again.Held(at(5)))
}

func TestLeavingIsFinal(t *testing.T) {
	left := throttle.Throttle{}.WithReport(answer(0, throttle.Report{Leaving: true}), 0).WithReport(answer(1, throttle.Report{}), 0)
	assert.Equal(t, throttle.Leaving, left.Held(at(100)))
	_, known := left.NextSend(at(100))
	assert.False(t, known)
}

func TestDemandIsCountedWhileALimitIsStated(t *testing.T) {
	limited := throttle.Throttle{}.WithReport(answer(0, throttle.Report{Limit: 4}), 0)
	for s := 0.0; s < 5; s += 0.1 {
		limited = limited.WithDemand(at(s))
	}
	assert.InDelta(t, 10, limited.Demand(at(5)), 1)
	assert.Zero(t, limited.WithReport(answer(6, throttle.Report{}), 0).Demand(at(6)))
}
