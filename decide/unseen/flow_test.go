package unseen_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/unseen"
)

// The room of the model, and those that share it.
const (
	slots  = 192
	takers = 8
	told   = 150 * time.Millisecond
	lasts  = 3 * time.Second
	look   = 15 * time.Millisecond
	span   = 60 * time.Second
	// load is what comes, in parts of what the room serves, and waits for so long.
	load     = 1.3
	patience = 300 * time.Millisecond
)

// taker is a gateway whose requests take a slot at the first look that finds one.
type taker struct {
	ends []time.Duration
	// waiting are the times at which its requests came.
	waiting []time.Duration
	// known is what it last heard of each other one.
	known [takers]int
}

// fill lets the takers share the room, each reckoning with a part unseen, and returns by
// how much they overfill it on average, and what part of it they use.
func fill(part float64) (over, used float64) {
	random := rand.New(rand.NewPCG(3, 4))
	var all [takers]taker
	looks := 0
	for now := time.Duration(0); now < span; now += look {
		for i := range all {
			t := &all[i]
			t.ends = slices.DeleteFunc(t.ends, func(end time.Duration) bool { return end <= now })
			others := 0
			for _, n := range t.known {
				others += n
			}
			if random.Float64() < load*slots/takers*float64(look)/float64(lasts) {
				t.waiting = append(t.waiting, now)
			}
			t.waiting = slices.DeleteFunc(t.waiting, func(came time.Duration) bool { return now-came > patience })
			for len(t.waiting) > 0 && float64(len(t.ends))+(1+part)*float64(others) < slots {
				t.waiting = t.waiting[1:]
				t.ends = append(t.ends, now+time.Duration(random.ExpFloat64()*float64(lasts)))
			}
		}
		for i := range all {
			if (now+time.Duration(i)*told/takers)%told < look { // its word goes out
				for j := range all {
					if j != i {
						all[j].known[i] = len(all[i].ends)
					}
				}
			}
		}
		if now < span/2 {
			continue
		}
		looks++
		taken := 0
		for i := range all {
			taken += len(all[i].ends)
		}
		over += float64(max(taken-slots, 0))
		used += float64(min(taken, slots)) / slots
	}
	return over / float64(looks), used / float64(looks)
}

// Those that reckon with what they have not been told of overfill the room by less, and
// still use nearly all of it.
func TestRoomIsNotOverfilled(t *testing.T) {
	part := unseen.Flow{Told: told, Lasts: lasts}.Part()
	before, _ := fill(0)
	after, used := fill(part)
	t.Logf("over by %.1f, before %.1f; used %.3f", after, before, used)
	require.Less(t, after, before/3)
	require.Greater(t, used, 0.93)
}

func TestNothingIsKnown(t *testing.T) {
	require.Zero(t, unseen.Flow{Told: told}.Part())
	require.InDelta(t, 1, unseen.Flow{Told: time.Minute, Lasts: time.Second}.Part(), 1e-9)
}
