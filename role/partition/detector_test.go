package partition_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/freshness"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/role/partition"
	"github.com/grademill/grademill/state/peers"
	"github.com/grademill/grademill/wire/gossip"
)

// self is the gateway under test. lateAge is an age at which its freshness proof is
// late while calls to the store fail.
var (
	self    = overlay.Member{Name: "self", Hall: "north"}
	lateAge = 2 * time.Second
)

// Another gateway has the store if it answers this gateway's outage. The summary of another hall names no
// outages, so it counts only with a proof from well after the outage was reported.
func TestAlone(t *testing.T) {
	for name, c := range map[string]struct {
		hall    string
		members int
		answers bool
		proven  time.Duration // after the outage was reported
		alone   bool
	}{
		"same hall, proof before the outage":         {hall: "north", proven: -time.Second},
		"same hall, proof after, no answer":          {hall: "north", proven: time.Second},
		"same hall, answers the outage":              {hall: "north", answers: true, proven: -time.Second, alone: true},
		"other hall, proof before the outage":        {hall: "south", members: 3, proven: -time.Second},
		"other hall, proof within the summary delay": {hall: "south", members: 3, proven: 200 * time.Millisecond},
		"other hall, proof after the summary delay":  {hall: "south", members: 3, proven: 400 * time.Millisecond, alone: true},
	} {
		t.Run(name, func(t *testing.T) {
			begun := time.Now()
			var loaded, failing atomic.Bool
			loaded.Store(true)
			failing.Store(true)
			table := &peers.Table{Counter: func(string) peers.Counter { return nil }}
			d := &partition.Detector{
				Hall: self.Hall, Policy: freshness.Policy{Revocation: 5 * time.Second}, Peers: table,
				Age: func() time.Duration { return lateAge }, Proven: func() time.Time { return begun.Add(-lateAge) },
				Loaded: &loaded, Failing: &failing, Refresh: func() {}, Clock: time.Now, Log: zerolog.Nop(),
			}
			d.Init()
			d.Tick(begun)
			require.False(t, d.Alone())
			own := new(gossip.Digest)
			d.AddToDigest(own)
			require.NotZero(t, own.GetOutage())
			r := peers.Report{
				From: overlay.Member{Name: "other", Hall: c.hall}, Incarnation: 1, Number: 1, Members: c.members,
				Proven: begun.Add(c.proven),
			}
			if c.answers {
				r.Partial = []uint64{own.GetOutage()}
			}
			now := begun.Add(500 * time.Millisecond)
			require.True(t, table.AddReport(r, self, now))
			d.Tick(now)
			require.Equal(t, c.alone, d.Alone())
			failing.Store(false)
			d.Age = func() time.Duration { return lateAge / 2 }
			d.Tick(now)
			require.False(t, d.Alone(), "the store answers again")
		})
	}
}

// A proof that is late while no call fails leads to an additional query before an outage is reported.
func TestLateProofIsRefreshedBeforeOutage(t *testing.T) {
	begun := time.Now()
	var loaded, failing atomic.Bool
	loaded.Store(true)
	queries := 0
	d := &partition.Detector{
		Policy: freshness.Policy{Revocation: 5 * time.Second}, Peers: &peers.Table{},
		Age: func() time.Duration { return 2 * lateAge }, Loaded: &loaded, Failing: &failing,
		Refresh: func() { queries++ }, Clock: time.Now, Log: zerolog.Nop(),
	}
	d.Init()
	reportedOutage := func(at time.Duration) uint64 {
		d.Tick(begun.Add(at))
		own := new(gossip.Digest)
		d.AddToDigest(own)
		return own.GetOutage()
	}
	require.Zero(t, reportedOutage(0))
	require.Equal(t, 1, queries)
	require.Zero(t, reportedOutage(200*time.Millisecond))
	require.NotZero(t, reportedOutage(300*time.Millisecond))
	require.Equal(t, 1, queries)
}
