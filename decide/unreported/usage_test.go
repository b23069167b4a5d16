package unreported_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/unreported"
)

// The simulated slots and the gateways that share them.
const (
	slots           = 192
	gateways        = 8
	reportInterval  = 150 * time.Millisecond
	requestDuration = 3 * time.Second
	checkInterval   = 15 * time.Millisecond
	span            = 60 * time.Second
	// load is the arrival rate as a multiple of the capacity. Requests wait for queueTimeout.
	load         = 1.3
	queueTimeout = 300 * time.Millisecond
)

// gateway is a simulated gateway. A queued request takes a free slot at the next check.
type gateway struct {
	ends []time.Duration
	// waiting holds the arrival times of the queued requests.
	waiting []time.Duration
	// reported holds the latest report of each peer.
	reported [gateways]int
}

// simulate runs the gateways, each of which adds a margin to the reports of its peers. It returns
// the average number of requests in excess of the slots, and the fraction of the slots in use.
func simulate(margin float64) (over, used float64) {
	random := rand.New(rand.NewPCG(3, 4))
	var all [gateways]gateway
	checks := 0
	for now := time.Duration(0); now < span; now += checkInterval {
		for i := range all {
			gw := &all[i]
			gw.ends = slices.DeleteFunc(gw.ends, func(end time.Duration) bool { return end <= now })
			others := 0
			for _, n := range gw.reported {
				others += n
			}
			if random.Float64() < load*slots/gateways*float64(checkInterval)/float64(requestDuration) {
				gw.waiting = append(gw.waiting, now)
			}
			gw.waiting = slices.DeleteFunc(gw.waiting, func(arrival time.Duration) bool { return now-arrival > queueTimeout })
			for len(gw.waiting) > 0 && float64(len(gw.ends))+(1+margin)*float64(others) < slots {
				gw.waiting = gw.waiting[1:]
				gw.ends = append(gw.ends, now+time.Duration(random.ExpFloat64()*float64(requestDuration)))
			}
		}
		for i := range all {
			if (now+time.Duration(i)*reportInterval/gateways)%reportInterval < checkInterval { // sends its report
				for j := range all {
					if j != i {
						all[j].reported[i] = len(all[i].ends)
					}
				}
			}
		}
		if now < span/2 {
			continue
		}
		checks++
		taken := 0
		for i := range all {
			taken += len(all[i].ends)
		}
		over += float64(max(taken-slots, 0))
		used += float64(min(taken, slots)) / slots
	}
	return over / float64(checks), used / float64(checks)
}

// Gateways that add the estimate of unreported requests must overfill the slots less, and still use
// nearly all of them.
func TestSlotsAreNotOverfilled(t *testing.T) {
	margin := unreported.Usage{ReportInterval: reportInterval, RequestDuration: requestDuration}.UnreportedShare()
	before, _ := simulate(0)
	after, used := simulate(margin)
	t.Logf("slots overfilled by %.1f with the estimate, %.1f without; used %.3f", after, before, used)
	require.Less(t, after, before/3)
	require.Greater(t, used, 0.93)
}

func TestUnknownAndShortDurations(t *testing.T) {
	require.Zero(t, unreported.Usage{ReportInterval: reportInterval}.UnreportedShare())
	require.InDelta(t, 1, unreported.Usage{ReportInterval: time.Minute, RequestDuration: time.Second}.UnreportedShare(), 1e-9)
}
