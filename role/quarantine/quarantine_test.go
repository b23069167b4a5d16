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

// The figures of the schedules.
const (
	// digestEvery is the time between two digests.
	digestEvery = 150 * time.Millisecond
	// playTime is how long a schedule lasts.
	playTime = 25 * time.Second
	// touch is how long after the third end all gateways must know.
	touch = 3 * time.Second
	// maxSends is how often a gateway sends one arrival.
	maxSends = 4
	// deadly is a request that ends each endpoint that begins to run it.
	deadly fingerprint.Fingerprint = 7
)

// errAway is a store that gives no answer.
var errAway = &kv.UnavailableError{Err: fmt.Errorf("away")}

// fleet is a fleet of gateways with what they share.
type fleet struct {
	chance *rand.Rand
	// group has all that runs.
	group sync.WaitGroup
	// loss is the share of datagrams that are lost.
	loss float64

	mu    sync.Mutex // guards what follows
	nodes []*node
	// ended are the lives that have ended.
	ended map[suspects.Life]time.Time
	// held are the keys of the store, which gives no answer while away is set.
	held map[string]kv.Pair
	away bool
}

// node is one life of a gateway.
type node struct {
	*quarantine.Quarantine
	f      *fleet
	cancel context.CancelFunc
	begun  time.Time
}

// draw draws a number below n.
func (f *fleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chance.IntN(n)
}

// lost draws whether a datagram is lost.
func (f *fleet) lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.chance.Float64() < f.loss
}

// start starts the gateway at a place in the fleet; a former life of it ends.
func (f *fleet) start(ctx context.Context, place int) {
	ctx, cancel := context.WithCancel(ctx)
	n := &node{f: f, cancel: cancel, begun: time.Now()}
	n.Quarantine = &quarantine.Quarantine{
		Self: name(place), Keepers: f.keepers(place), Tell: n.tell, News: func() {}, Over: f.over, Store: f,
		Count: func(string) {}, Log: zerolog.Nop(),
	}
	n.Init()
	f.mu.Lock()
	former := f.nodes[place]
	f.nodes[place] = n
	var pairs []kv.Pair
	for _, p := range f.held {
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
			time.Sleep(digestEvery)
			n.Tick(time.Now())
			told := n.Told(time.Now())
			for _, other := range f.others(n) {
				if !f.lost() {
					other.Adopt(told, name(place), time.Now())
				}
			}
		}
	})
}

func name(place int) string { return fmt.Sprint("gateway-", place) }

// keepers returns who keeps count, as the gateway at a place sees the fleet.
func (f *fleet) keepers(place int) func(string) []overlay.Member {
	o := overlay.Overlay{Self: overlay.Member{Name: name(place), Address: fmt.Sprint(place)}}
	for i := range f.nodes {
		if i != place {
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

// tell sends a datagram.
func (n *node) tell(e *wire.Ends, to ...overlay.Member) {
	for _, m := range to {
		if n.f.lost() {
			continue
		}
		n.f.group.Go(func() {
			time.Sleep(time.Duration(1+n.f.draw(20)) * time.Millisecond)
			for _, o := range n.f.others(n) {
				if o.Self == m.Name {
					o.Hear(e, time.Now())
				}
			}
		})
	}
}

// over reports whether a life has ended, some time after it has.
func (f *fleet) over(l suspects.Life) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ended := f.ended[l]
	return ended && time.Since(at) > 100*time.Millisecond
}

// Grant implements quarantine.Store.
func (f *fleet) Grant(context.Context, time.Duration) (string, error) { return "lease", f.answer() }

// Revoke implements quarantine.Store.
func (f *fleet) Revoke(context.Context, string) error { return f.answer() }

// Put implements quarantine.Store.
func (f *fleet) Put(_ context.Context, w kv.Write) (uint64, error) {
	if err := f.answer(); err != nil {
		return 0, err
	}
	p := kv.Pair{Key: w.Key, Value: w.Value, Revision: 1}
	f.mu.Lock()
	_, there := f.held[w.Key]
	f.held[w.Key] = p
	nodes := slices.Clone(f.nodes)
	f.mu.Unlock()
	if there {
		return 0, &kv.ConflictError{Key: w.Key}
	}
	for _, n := range nodes {
		f.group.Go(func() {
			time.Sleep(time.Duration(f.draw(1200)) * time.Millisecond)
			n.Quarantine.Put(p, time.Now())
		})
	}
	return 1, nil
}

func (f *fleet) answer() error {
	time.Sleep(4 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return errAway
	}
	return nil
}

func (f *fleet) setAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

// newFleet starts gateways.
func newFleet(ctx context.Context, size int, seed uint64, loss float64) *fleet {
	f := &fleet{
		chance: rand.New(rand.NewPCG(seed, 1)), loss: loss, nodes: make([]*node, size),
		ended: make(map[suspects.Life]time.Time), held: make(map[string]kv.Pair),
	}
	for i := range size {
		f.start(ctx, i)
	}
	return f
}

// arrive has a request come to a gateway, which sends it on if it may: an endpoint ends then.
// It sends it most times at most, and returns the number of endpoints that have.
func (f *fleet) arrive(place, most int, request fingerprint.Fingerprint) (sends int) {
	n := f.nodes[place]
	for ; sends < most && n.Left(request, time.Now()) == 0; sends++ {
		tried := n.Suspected(request, time.Now())
		f.mu.Lock()
		life := suspects.Life{Endpoint: fmt.Sprint("endpoint-", len(f.ended)%33), Born: int64(len(f.ended) / 33)}
		f.ended[life] = time.Now()
		f.mu.Unlock()
		time.Sleep(time.Duration(20+f.draw(100)) * time.Millisecond)
		n.Report(life, []suspects.Begun{{Print: request, Tried: tried}}, time.Now())
	}
	return sends
}

// play has a request come to gateways for a while, as they end and start again, and
// returns how many endpoints it has reached later than the time that gateways have to hear of
// the third end.
func play(t *testing.T, size int, seed uint64, loss float64, away bool) (late int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, size, seed, loss)
		defer f.group.Wait()
		defer cancel()
		f.setAway(away)
		var third time.Time
		for begun := time.Now(); time.Since(begun) < playTime; {
			time.Sleep(time.Duration(50+f.draw(1500)) * time.Millisecond)
			place := f.draw(size)
			// One that has just started is out of touch, as all are until they have heard.
			counts := !third.IsZero() && time.Since(third) > touch && time.Since(f.nodes[place].begun) > touch
			ended := f.arrive(place, maxSends, deadly)
			if counts {
				late += ended
			}
			if third.IsZero() && len(f.ended) >= 3 {
				third = time.Now()
			}
			f.restart(ctx, !third.IsZero() && time.Since(third) > touch)
		}
		require.False(t, third.IsZero())
	})
	return late
}

// restart starts gateways again, if they may: all at once while the store knows what they do,
// and one of several otherwise.
func (f *fleet) restart(ctx context.Context, may bool) {
	size := len(f.nodes)
	switch {
	case !may:
	case !f.away:
		for i := range size {
			f.start(ctx, i)
		}
	case size > 1:
		f.start(ctx, f.draw(size))
	}
}

// Once three endpoints have ended under a request, it reaches no more than three others later
// than the time that gateways have to hear of it, whatever datagrams are lost, whichever
// gateway it comes to, and while gateways end and start again or the store is away.
func TestRequestReachesNoMoreOnceThreeHaveEnded(t *testing.T) {
	t.Parallel()
	for seed := range uint64(36) {
		size := []int{1, 2, 5, 30}[seed%4]
		late := play(t, size, seed, 0.1, seed%3 == 0)
		require.LessOrEqual(t, late, 3, "seed %d, %d gateways", seed, size)
	}
}

// The check sees gateways that tell each other nothing while the store is away.
func TestRequestGoesOnWhereNothingIsTold(t *testing.T) {
	t.Parallel()
	require.Greater(t, play(t, 5, 1, 1, true), 3)
}

// A request that is popular runs to its end again and again: the crashes that it was there
// for by chance do not add up.
func TestRequestThatRunsToItsEndIsNoSuspect(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 30, 1, 0)
		defer f.group.Wait()
		defer cancel()
		for i := range 40 {
			f.arrive(f.draw(len(f.nodes)), 1, deadly)
			time.Sleep(time.Second)
			n := f.nodes[f.draw(len(f.nodes))]
			require.Zero(t, n.Left(deadly, time.Now()), "after %d", i)
			n.Survived(deadly, time.Now())
			time.Sleep(time.Second)
		}
	})
}

// The word of a gateway that is cut off is no proof: to it all endpoints seem to have ended.
func TestEndsThatNobodyElseSeesDoNotCount(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 5, 1, 0)
		defer f.group.Wait()
		defer cancel()
		for i := range 6 {
			f.nodes[0].tell(&wire.Ends{Gateway: name(0), Endpoint: fmt.Sprint("alive-", i), Prints: []uint64{uint64(deadly)}},
				f.keepers(0)("key")...)
		}
		time.Sleep(10 * time.Second)
		for _, n := range f.nodes[1:] {
			require.Zero(t, n.Left(deadly, time.Now()))
		}
	})
}

// A request is let through again when its time is over.
func TestQuarantineEnds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 5, 1, 0)
		defer f.group.Wait()
		defer cancel()
		for i := range 3 {
			f.arrive(i, 1, deadly)
			time.Sleep(time.Second)
		}
		for i, n := range f.nodes {
			require.Positive(t, n.Left(deadly, time.Now()), name(i))
		}
		time.Sleep(11 * time.Minute)
		for i, n := range f.nodes {
			require.Zero(t, n.Left(deadly, time.Now()), name(i))
		}
	})
}
