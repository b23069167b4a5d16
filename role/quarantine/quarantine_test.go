package quarantine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/role/quarantine"
	"github.com/grademill/grademill/state/suspects"
	wire "github.com/grademill/grademill/wire/gossip"
)

// Parameters of the schedules.
const (
	// digestInterval is the time between two digests.
	digestInterval = 150 * time.Millisecond
	// scheduleTime is how long a schedule lasts.
	scheduleTime = 25 * time.Second
	// propagationTime is how long after the third end all gateways must know of it.
	propagationTime = 3 * time.Second
	// maxSends is the maximum number of times that a gateway sends one arriving request.
	maxSends = 4
	// poison is a request that ends each endpoint that begins to run it.
	poison fingerprint.Fingerprint = 7
)

// errUnavailable is the error of a store that does not answer.
var errUnavailable = &kv.UnavailableError{Err: fmt.Errorf("away")}

// fleet is a fleet of gateways with the endpoints and the store that they share.
type fleet struct {
	rng *rand.Rand
	// group holds all goroutines.
	group sync.WaitGroup
	// loss is the fraction of datagrams that are lost.
	loss float64

	mu    sync.Mutex // guards the fields below
	nodes []*node
	// ended are the incarnations that have ended.
	ended map[suspects.Incarnation]time.Time
	// stored are the pairs of the store, which does not answer while storeDown is set.
	stored    map[string]kv.Pair
	storeDown bool
}

// node is one incarnation of a gateway.
type node struct {
	*quarantine.Quarantine
	f      *fleet
	cancel context.CancelFunc
	begun  time.Time
}

// intN returns a random number below n.
func (f *fleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// lost decides at random whether a datagram is lost.
func (f *fleet) lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < f.loss
}

// start starts the gateway at an index of the fleet, and ends its previous incarnation.
func (f *fleet) start(ctx context.Context, index int) {
	ctx, cancel := context.WithCancel(ctx)
	n := &node{f: f, cancel: cancel, begun: time.Now()}
	n.Quarantine = &quarantine.Quarantine{
		Self: name(index), Keepers: f.keepers(index), SendEnds: n.sendEnds, SendSoon: func() {}, HasEnded: f.over, Store: f,
		Count: func(string) {}, Log: zerolog.Nop(),
	}
	n.Init()
	f.mu.Lock()
	former := f.nodes[index]
	f.nodes[index] = n
	var pairs []kv.Pair
	for _, p := range f.stored {
		pairs = append(pairs, p)
	}
	f.mu.Unlock()
	if former != nil {
		former.cancel()
	}
	for _, p := range pairs {
		n.Put(p, time.Now())
	}
	f.group.Go(func() { n.Run(ctx) })
	f.group.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(digestInterval)
			n.Tick(time.Now())
			reports := n.Reports(time.Now())
			for _, other := range f.others(n) {
				if !f.lost() {
					other.HearReports(reports, name(index), time.Now())
				}
			}
		}
	})
}

func name(index int) string { return fmt.Sprint("gateway-", index) }

// keepers returns the keepers of a key as the gateway at an index sees the fleet.
func (f *fleet) keepers(index int) func(string) []overlay.Member {
	o := overlay.Overlay{Self: overlay.Member{Name: name(index), Address: fmt.Sprint(index)}}
	for i := range f.nodes {
		if i != index {
			o.Others = append(o.Others, overlay.Member{Name: name(i), Address: fmt.Sprint(i)})
		}
	}
	return o.Keepers
}

// others returns the other gateways.
func (f *fleet) others(n *node) []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.nodes), func(o *node) bool { return o == nil || o == n })
}

// sendEnds sends a datagram, which may be lost, to gateways.
func (n *node) sendEnds(e *wire.Ends, to ...overlay.Member) {
	for _, m := range to {
		if n.f.lost() {
			continue
		}
		n.f.group.Go(func() {
			time.Sleep(time.Duration(1+n.f.intN(20)) * time.Millisecond)
			for _, o := range n.f.others(n) {
				if o.Self == m.Name {
					o.HearEnds(e, time.Now())
				}
			}
		})
	}
}

// over reports whether an incarnation has ended, with a delay.
func (f *fleet) over(l suspects.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ended := f.ended[l]
	return ended && time.Since(at) > 100*time.Millisecond
}

// Grant implements quarantine.Store.
func (f *fleet) Grant(context.Context, time.Duration) (string, error) { return "lease", f.callStore() }

// Revoke implements quarantine.Store.
func (f *fleet) Revoke(context.Context, string) error { return f.callStore() }

// Put implements quarantine.Store.
func (f *fleet) Put(_ context.Context, w kv.Write) (uint64, error) {
	if err := f.callStore(); err != nil {
		return 0, err
	}
	p := kv.Pair{Key: w.Key, Value: w.Value, Revision: 1}
	f.mu.Lock()
	_, there := f.stored[w.Key]
	f.stored[w.Key] = p
	nodes := slices.Clone(f.nodes)
	f.mu.Unlock()
	if there {
		return 0, &kv.ConflictError{Key: w.Key}
	}
	for _, n := range nodes {
		f.group.Go(func() {
			time.Sleep(time.Duration(f.intN(1200)) * time.Millisecond)
			n.Quarantine.Put(p, time.Now())
		})
	}
	return 1, nil
}

func (f *fleet) callStore() error {
	time.Sleep(4 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown {
		return errUnavailable
	}
	return nil
}

func (f *fleet) setStoreDown(storeDown bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown = storeDown
}

// newFleet starts a fleet of gateways.
func newFleet(ctx context.Context, size int, seed uint64, loss float64) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), loss: loss, nodes: make([]*node, size),
		ended: make(map[suspects.Incarnation]time.Time), stored: make(map[string]kv.Pair),
	}
	for i := range size {
		f.start(ctx, i)
	}
	return f
}

// send has a request arrive at a gateway, which sends it up to limit times unless it is quarantined. An
// endpoint ends under each of these sends. It returns the number of endpoints that have ended.
func (f *fleet) send(index, limit int, request fingerprint.Fingerprint) (sends int) {
	n := f.nodes[index]
	for ; sends < limit && n.Remaining(request, time.Now()) == 0; sends++ {
		isolated := n.MustIsolate(request, time.Now())
		f.mu.Lock()
		incarnation := suspects.Incarnation{Endpoint: fmt.Sprint("endpoint-", len(f.ended)%33), Born: int64(len(f.ended) / 33)}
		f.ended[incarnation] = time.Now()
		f.mu.Unlock()
		time.Sleep(time.Duration(20+f.intN(100)) * time.Millisecond)
		n.Report(incarnation, []suspects.Begun{{Print: request, Tried: isolated}}, time.Now())
	}
	return sends
}

// runSchedule has a request arrive at gateways for a while, as gateways end and start again. It returns how
// many endpoints the request has reached later than propagationTime after the third end.
func runSchedule(t *testing.T, size int, seed uint64, loss float64, storeDown bool) (late int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, size, seed, loss)
		defer f.group.Wait()
		defer cancel()
		f.setStoreDown(storeDown)
		var third time.Time
		for begun := time.Now(); time.Since(begun) < scheduleTime; {
			time.Sleep(time.Duration(50+f.intN(1500)) * time.Millisecond)
			index := f.intN(size)
			// A gateway that has just started does not know of the request until it has heard of it.
			counts := !third.IsZero() && time.Since(third) > propagationTime && time.Since(f.nodes[index].begun) > propagationTime
			ended := f.send(index, maxSends, poison)
			if counts {
				late += ended
			}
			if third.IsZero() && len(f.ended) >= 3 {
				third = time.Now()
			}
			f.restart(ctx, !third.IsZero() && time.Since(third) > propagationTime)
		}
		require.False(t, third.IsZero())
	})
	return late
}

// restart starts gateways again if allowed is set: all at once while the store answers, since it holds the
// request, and otherwise one of several.
func (f *fleet) restart(ctx context.Context, allowed bool) {
	size := len(f.nodes)
	switch {
	case !allowed:
	case !f.storeDown:
		for i := range size {
			f.start(ctx, i)
		}
	case size > 1:
		f.start(ctx, f.intN(size))
	}
}

// Once three endpoints have ended under a request and the gateways have had time to hear of it, it reaches no
// more than three others, whatever datagrams are lost, whichever gateway it arrives at, and while gateways end
// and start again or the store does not answer.
func TestRequestIsBlockedAfterThreeEnds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(36) {
		size := []int{1, 2, 5, 30}[seed%4]
		late := runSchedule(t, size, seed, 0.1, seed%3 == 0)
		require.LessOrEqual(t, late, 3, "seed %d, %d gateways", seed, size)
	}
}

// Without any reports and without the store, a request ends more endpoints. This shows that the schedules of
// TestRequestIsBlockedAfterThreeEnds detect a missing quarantine.
func TestRequestSpreadsWithoutReports(t *testing.T) {
	t.Parallel()
	require.Greater(t, runSchedule(t, 5, 1, 1, true), 3)
}

// A popular request completes again and again, so unrelated crashes that it took part in do not add up.
func TestCompletedRequestIsNotSuspected(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 30, 1, 0)
		defer f.group.Wait()
		defer cancel()
		for i := range 40 {
			f.send(f.intN(len(f.nodes)), 1, poison)
			time.Sleep(time.Second)
			n := f.nodes[f.intN(len(f.nodes))]
			require.Zero(t, n.Remaining(poison, time.Now()), "after %d", i)
			n.Completed(poison, time.Now())
			time.Sleep(time.Second)
		}
	})
}

// Reports of a gateway that is cut off are no proof: to it all endpoints seem to have ended.
func TestEndsReportedByPartitionedGatewayDoNotCount(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 5, 1, 0)
		defer f.group.Wait()
		defer cancel()
		for i := range 6 {
			f.nodes[0].sendEnds(&wire.Ends{Gateway: name(0), Endpoint: fmt.Sprint("alive-", i), Prints: []uint64{uint64(poison)}},
				f.keepers(0)("key")...)
		}
		time.Sleep(10 * time.Second)
		for _, n := range f.nodes[1:] {
			require.Zero(t, n.Remaining(poison, time.Now()))
		}
	})
}

// A request may run again when its quarantine has ended.
func TestQuarantineEnds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 5, 1, 0)
		defer f.group.Wait()
		defer cancel()
		for i := range 3 {
			f.send(i, 1, poison)
			time.Sleep(time.Second)
		}
		for i, n := range f.nodes {
			require.Positive(t, n.Remaining(poison, time.Now()), name(i))
		}
		time.Sleep(11 * time.Minute)
		for i, n := range f.nodes {
			require.Zero(t, n.Remaining(poison, time.Now()), name(i))
		}
	})
}
