package throttle_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/grademill/grademill/decide/throttle"
)

var start = time.Date(2026, 11, 2, 10, 0, 0, 0, time.UTC)

// at returns a time so many seconds after the start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// word is an answer that came at a time, to a request that had gone out as long before as is usual.
func word(seconds float64, w throttle.Word) throttle.Word {
	w.Sent, w.Heard = at(seconds-0.1), at(seconds)
	return w
}

// sends returns how many requests pass from one time to another, of one that is tried each 10 ms.
func sends(t throttle.Throttle, from, to float64) (throttle.Throttle, int) {
	n := 0
	for s := from; s < to; s += 0.01 {
		if t.Held(at(s)) == throttle.Free {
			t = t.WithRequest(at(s))
			n++
		}
	}
	return t, n
}

func TestLimitHolds(t *testing.T) {
	named := throttle.Throttle{}.WithWord(word(0, throttle.Word{Limit: 4}), 0)
	assert.Equal(t, throttle.Limited, named.Held(at(1)), "nothing passes before the part is known")
	shared := named.WithShare(2, at(0))
	_, n := sends(shared, 0, 10)
	assert.Equal(t, 19, n, "its part, from nothing saved up")
	_, n = sends(shared, 100, 100.1)
	assert.Equal(t, 2, n, "what a second allows is saved up, however long nothing was sent")
	_, n = sends(shared.WithShare(0, at(100)), 100, 200)
	assert.Zero(t, n, "who has no part keeps nothing")
	from, known := shared.From(at(0.1))
	assert.True(t, known)
	assert.Equal(t, at(0.5), from)
}

func TestEndOfALimit(t *testing.T) {
	named := throttle.Throttle{}.WithWord(word(0, throttle.Word{Limit: 4}), 0).WithShare(1, at(0))
	for _, c := range []struct {
		name  string
		word  throttle.Word
		names bool
	}{
		{"an answer that overtook the one that named it", throttle.Word{Sent: at(-0.1), Heard: at(0.2)}, true},
		{"an answer to a later request", throttle.Word{Sent: at(0.1), Heard: at(0.2)}, false},
		{"a later word that is not understood", throttle.Word{Sent: at(0.1), Heard: at(0.2), Unclear: "Server-Limit: x"}, true},
		{"another limit", throttle.Word{Limit: 5, Sent: at(0.1), Heard: at(0.2)}, true},
	} {
		assert.Equal(t, c.names, named.WithWord(c.word, 0).Named(), c.name)
	}
	ended := named.WithWord(throttle.Word{Sent: at(3), Heard: at(3.1)}, 0.5)
	assert.Equal(t, throttle.Limited, ended.WithRequest(at(3.2)).WithRequest(at(3.2)).Held(at(3.9)), "it comes back at a time of its own")
	assert.Equal(t, throttle.Free, ended.WithRequest(at(4.2)).WithRequest(at(4.2)).Held(at(4.2)))
	late := ended.WithLimit(throttle.Limit{Rate: 4, At: at(2), Relays: 1}, at(5), 0)
	assert.False(t, late.Named(), "a word from before the end that was long under way")
	assert.True(t, ended.Tells(at(4)), "others are told that it has ended")
	assert.False(t, ended.Tells(at(10)))
}

func TestRestHolds(t *testing.T) {
	asked := throttle.Throttle{}.WithWord(word(0, throttle.Word{Rest: 3 * time.Second}), 1)
	assert.Equal(t, throttle.Resting, asked.Held(at(3.5)), "gateways come back apart")
	from, known := asked.From(at(1))
	assert.True(t, known)
	assert.Equal(t, at(3.6), from)
	trial, n := sends(asked, 0, 4.5)
	assert.Equal(t, 1, n, "one request tries it")
	_, n = sends(trial, 4.5, 5)
	assert.Equal(t, 1, n, "and another one when that stays without an answer")
	early := trial.WithWord(throttle.Word{Sent: at(-0.1), Heard: at(4)}, 0)
	assert.Equal(t, throttle.Resting, early.Held(at(4)), "an answer to what was sent before the rest says nothing")
	assert.Equal(t, throttle.Free, trial.WithWord(word(4, throttle.Word{}), 0).Held(at(4)))
	again := trial.WithWord(word(4, throttle.Word{Rest: time.Second}), 0)
	assert.Equal(t, throttle.Resting, again.Held(at(4.9)))
	assert.Equal(t, throttle.Free, again.Held(at(5)))
}

func TestLeavingHoldsForGood(t *testing.T) {
	left := throttle.Throttle{}.WithWord(word(0, throttle.Word{Leaving: true}), 0).WithWord(word(1, throttle.Word{}), 0)
	assert.Equal(t, throttle.Leaving, left.Held(at(100)))
	_, known := left.From(at(100))
	assert.False(t, known)
}

func TestDemandIsCountedWhileALimitIsNamed(t *testing.T) {
	named := throttle.Throttle{}.WithWord(word(0, throttle.Word{Limit: 4}), 0)
	for s := 0.0; s < 5; s += 0.1 {
		named = named.WithDemand(at(s))
	}
	assert.InDelta(t, 10, named.Demand(at(5)), 1)
	assert.Zero(t, named.WithWord(word(6, throttle.Word{}), 0).Demand(at(6)))
}
