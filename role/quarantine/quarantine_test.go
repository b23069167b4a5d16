package quarantine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/decide/cause"
	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/decide/suspicion"
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
	// propagationTime is how long after the second end all gateways must know of it, although datagrams are lost.
	propagationTime = 500 * time.Millisecond
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
	// ended are the incarnations that have ended, runs the runs of the request that ends them.
	ended map[suspicion.Incarnation]time.Time
	runs  []run
	// stored are the pairs of the store at its revision, which does not answer while storeDown is set.
	stored    map[string]kv.Pair
	revision  uint64
	storeDown bool
	// cut holds the names of the gateways that reach neither the others nor the store, sent the number of datagrams
	// that all have sent, and fanOut that of the gateways to which each sends a digest, 0 for all.
	cut    map[string]bool
	sent   int
	fanOut int
	// beforePut, if set, is called before a write of a key.
	beforePut func(key string)
}

// isCut reports whether a gateway reaches neither the others nor the store.
func (f *fleet) isCut(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[name]
}

// storeOf is the store as one gateway reaches it.
type storeOf struct {
	*fleet
	name string
}

// Grant implements quarantine.Store.
func (s storeOf) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	if s.isCut(s.name) {
		return "", errUnavailable
	}
	return s.fleet.Grant(ctx, ttl)
}

// Revoke implements quarantine.Store.
func (s storeOf) Revoke(ctx context.Context, lease string) error {
	if s.isCut(s.name) {
		return errUnavailable
	}
	return s.fleet.Revoke(ctx, lease)
}

// Put implements quarantine.Store.
func (s storeOf) Put(ctx context.Context, w kv.Write) (uint64, error) {
	if s.isCut(s.name) {
		return 0, errUnavailable
	}
	return s.fleet.Put(ctx, w)
}

// run is a run of the request that ends endpoints. It is isolated if it is an attempt of a suspect, and unaware if its
// gateway has just started, so that it has not heard of the request.
type run struct {
	from, until       time.Time
	isolated, unaware bool
}

// endpoints is the number of endpoints, each of which starts again at once when it has ended.
const endpoints = 33

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
		Self: name(index), Keepers: f.overlay(index).Keepers, Others: func() []overlay.Member { return f.overlay(index).Others },
		Send: n.send, SendSoon: func() {}, State: f.state, Store: storeOf{f, name(index)},
		StoreAnswers: func() bool { return !f.isCut(name(index)) && f.callStore() == nil },
		Count:        func(string) {}, Log: zerolog.Nop(),
	}
	n.Init()
	f.mu.Lock()
	for _, p := range f.stored {
		n.Put(p, time.Now()) // it serves once it has read the store
	}
	former := f.nodes[index]
	f.nodes[index] = n
	f.mu.Unlock()
	if former != nil {
		former.cancel()
	}
	f.group.Go(func() { n.Run(ctx) })
	f.group.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(digestInterval)
			n.Tick(time.Now())
			reports := n.Reports(time.Now(), false)
			others := f.others(n)
			for i := range others {
				if j := i + f.intN(len(others)-i); f.fanOut > 0 {
					others[i], others[j] = others[j], others[i]
				}
				if f.fanOut > 0 && i >= f.fanOut {
					break
				}
				if !f.lost() && !f.isCut(name(index)) && !f.isCut(others[i].Self) {
					others[i].HearReports(reports, name(index), time.Now())
				}
			}
		}
	})
}

func name(index int) string { return fmt.Sprint("gateway-", index) }

// overlay returns the fleet as the gateway at an index sees it.
func (f *fleet) overlay(index int) overlay.Overlay {
	o := overlay.Overlay{Self: overlay.Member{Name: name(index), Address: fmt.Sprint(index)}}
	for i := range f.nodes {
		if i != index {
			o.Others = append(o.Others, overlay.Member{Name: name(i), Address: fmt.Sprint(i)})
		}
	}
	return o
}

// node returns the gateway at an index.
func (f *fleet) node(index int) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[index]
}

// others returns the other gateways.
func (f *fleet) others(n *node) []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.nodes), func(o *node) bool { return o == nil || o == n })
}

// send sends a datagram, which may be lost, to gateways.
func (n *node) send(p *wire.Packet, to ...overlay.Member) {
	n.f.mu.Lock()
	n.f.sent += len(to)
	n.f.mu.Unlock()
	for _, m := range to {
		if n.f.lost() || n.f.isCut(n.Self) || n.f.isCut(m.Name) {
			continue
		}
		n.f.group.Go(func() {
			time.Sleep(time.Duration(1+n.f.intN(20)) * time.Millisecond)
			i, _ := strconv.Atoi(m.Address)
			switch o := n.f.node(i); {
			case o == nil:
			case p.GetSuspects() != nil:
				o.HearSuspects(p.GetSuspects(), time.Now())
			default:
				o.HearEnds(p.GetEnds(), time.Now())
			}
		})
	}
}

// state reports whether an incarnation has ended.
func (f *fleet) state(l suspicion.Incarnation) (ended, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ended = f.ended[l]
	return ended, false
}

// spare returns the incarnations of the endpoints that run.
func (f *fleet) spare() []suspicion.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]suspicion.Incarnation, endpoints)
	for i := range list {
		list[i].Endpoint = fmt.Sprint("endpoint-", i)
	}
	for l := range f.ended {
		for i := range list {
			if list[i].Endpoint == l.Endpoint {
				list[i].Born = max(list[i].Born, l.Born+1)
			}
		}
	}
	return list
}

// Grant implements quarantine.Store.
func (f *fleet) Grant(context.Context, time.Duration) (string, error) {
	return fmt.Sprint("lease-", f.intN(1<<30)), f.callStore()
}

// Revoke implements quarantine.Store.
func (f *fleet) Revoke(_ context.Context, lease string) error {
	if err := f.callStore(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, p := range f.stored {
		if strings.Contains(string(p.Value), lease) { // trials name their lease
			f.revision++
			delete(f.stored, key)
			revision := f.revision
			f.later(func(n *node) { n.Removed(key, revision, time.Now()) })
		}
	}
	return nil
}

// Put implements quarantine.Store.
func (f *fleet) Put(_ context.Context, w kv.Write) (uint64, error) {
	if f.beforePut != nil {
		f.beforePut(w.Key)
	}
	if err := f.callStore(); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.stored[w.Key].Revision; known != w.If {
		return 0, &kv.ConflictError{Key: w.Key, Revision: known}
	}
	f.revision++
	p := kv.Pair{Key: w.Key, Value: w.Value, Revision: f.revision}
	f.stored[w.Key] = p
	f.later(func(n *node) { n.Quarantine.Put(p, time.Now()) })
	return p.Revision, nil
}

// later has each gateway learn of a change of the store after a while; f.mu is held.
func (f *fleet) later(tell func(*node)) {
	for _, n := range f.nodes {
		if n == nil || f.cut[n.Self] {
			continue // it reads the store when it is back
		}
		wait := time.Duration(f.rng.IntN(1200)) * time.Millisecond
		f.group.Go(func() {
			time.Sleep(wait)
			tell(n)
		})
	}
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
		ended: make(map[suspicion.Incarnation]time.Time), stored: make(map[string]kv.Pair), cut: make(map[string]bool),
	}
	for i := range size {
		f.start(ctx, i)
	}
	return f
}

// arrive has a request arrive at a gateway, which sends it up to limit times as far as it may. An endpoint ends under
// each of these sends, unless the request is harmless. It returns the number of sends.
func (f *fleet) arrive(ctx context.Context, index, limit int, request fingerprint.Fingerprint, harmless bool) (sends int) {
	n := f.node(index)
	g := n.guard(request)
	for ; sends < limit; sends++ {
		if g.Enter(ctx, 2*time.Second, false) != nil {
			return sends
		}
		all, own := f.spare(), g.Endpoint()
		at := all[f.intN(endpoints)]
		if own != "" {
			at = all[slices.IndexFunc(all, func(l suspicion.Incarnation) bool { return l.Endpoint == own })]
		}
		from := time.Now()
		time.Sleep(time.Duration(20+f.intN(100)) * time.Millisecond)
		if harmless {
			g.PassedSince(from)
			return sends + 1
		}
		f.mu.Lock()
		f.ended[at] = time.Now()
		f.runs = append(f.runs, run{from, time.Now(), own != "", from.Sub(n.begun) < propagationTime})
		alive := f.nodes[index] == n
		f.mu.Unlock()
		if !alive {
			return sends + 1 // its gateway has ended, and tells nobody
		}
		n.Report(at, []suspects.Begun{{Print: request, Age: time.Since(from)}}, time.Now())
		g.End(true)
	}
	return sends
}

// guard returns the guard of a copy of a request.
func (n *node) guard(request fingerprint.Fingerprint) *quarantine.Guard {
	return &quarantine.Guard{Quarantine: n.Quarantine, Causes: []cause.Cause{{Print: request}}, Spare: func() []suspicion.Incarnation {
		reserved := n.Reserved(time.Now())
		return slices.DeleteFunc(n.f.spare(), func(l suspicion.Incarnation) bool { return reserved[l.Endpoint] != 0 })
	}}
}

// runSchedule has a request arrive at gateways for a while, also at several at once, as gateways end and start again. It
// returns the runs of the request.
func runSchedule(t *testing.T, size int, seed uint64, loss float64, storeDown bool) (runs []run) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, size, seed, loss)
		defer f.group.Wait()
		defer cancel()
		f.setStoreDown(storeDown)
		var restarted time.Time
		for begun := time.Now(); time.Since(begun) < scheduleTime; {
			time.Sleep(time.Duration(50+f.intN(1500)) * time.Millisecond)
			for range 1 + f.intN(4) {
				index := f.intN(size)
				f.group.Go(func() { f.arrive(ctx, index, maxSends, poison, false) })
			}
			if f.knownFor() > propagationTime && time.Since(restarted) > 2*propagationTime {
				restarted = time.Now()
				f.restart(ctx)
			}
		}
		time.Sleep(2 * time.Second)
		f.mu.Lock()
		runs = slices.Clone(f.runs)
		f.mu.Unlock()
	})
	slices.SortFunc(runs, func(a, b run) int { return a.from.Compare(b.from) })
	return runs
}

// knownFor returns how long ago the second endpoint ended, 0 if none did.
func (f *fleet) knownFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.runs) < 2 {
		return 0
	}
	return time.Since(f.runs[1].until)
}

// late returns how many runs begin after the third end, and how many begin while another is running, both not counting
// what gateways do that have not had the time to hear of the second end.
func late(runs []run) (afterThird, atOnce int) {
	ends := make([]time.Time, 0, len(runs))
	for _, r := range runs {
		ends = append(ends, r.until)
	}
	slices.SortFunc(ends, time.Time.Compare)
	for i, r := range runs {
		if len(ends) < 3 || r.unaware || r.from.Sub(ends[1]) < propagationTime {
			continue
		}
		if r.from.After(ends[2]) {
			afterThird++
		}
		if slices.ContainsFunc(runs[:i], func(o run) bool { return o.until.After(r.from) && !o.unaware }) {
			atOnce++
		}
	}
	return afterThird, atOnce
}

// restart starts gateways again: all at once while the store answers, since it holds the request, and otherwise
// one of several.
func (f *fleet) restart(ctx context.Context) {
	size := len(f.nodes)
	f.mu.Lock()
	storeDown := f.storeDown
	f.mu.Unlock()
	switch {
	case !storeDown:
		for i := range size {
			f.start(ctx, i)
		}
	case size > 1:
		f.start(ctx, f.intN(size))
	}
}

// Once two endpoints have ended under a request and the gateways have had time to hear of it, one copy at a time runs in
// the whole fleet, and three at most once three have ended, whatever datagrams are lost, whichever gateways copies
// arrive at, and while gateways end and start again or the store does not answer.
func TestOneCopyAtATime(t *testing.T) {
	t.Parallel()
	isolated := 0
	for seed := range uint64(48) {
		size := []int{1, 2, 5, 30}[seed%4]
		runs := runSchedule(t, size, seed, 0.1, seed%3 == 0)
		afterThird, atOnce := late(runs)
		require.LessOrEqual(t, afterThird, 3, "seed %d, %d gateways: %v", seed, size, runs)
		require.Zero(t, atOnce, "seed %d, %d gateways: %v", seed, size, runs)
		for _, r := range runs {
			if r.isolated {
				isolated++
			}
		}
	}
	require.Greater(t, isolated, 20)
}

// Without any reports and without the store, copies run at once. This shows that the schedules of TestOneCopyAtATime
// detect a missing quarantine.
func TestCopiesRunAtOnceWithoutReports(t *testing.T) {
	t.Parallel()
	afterThird, atOnce := late(runSchedule(t, 5, 1, 1, true))
	require.Greater(t, afterThird, 3)
	require.Positive(t, atOnce)
}

// inFleet runs a test with a fleet that loses no datagrams.
func inFleet(t *testing.T, size int, test func(context.Context, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, size, 1, 0)
		defer f.group.Wait()
		defer cancel()
		test(ctx, f)
	})
}

// A popular request completes again and again, so unrelated crashes that it took part in do not add up.
func TestCompletedRequestIsNotSuspected(t *testing.T) {
	t.Parallel()
	inFleet(t, 30, func(ctx context.Context, f *fleet) {
		for i := range 40 {
			f.arrive(ctx, f.intN(len(f.nodes)), 1, poison, false)
			time.Sleep(time.Second)
			n := f.nodes[f.intN(len(f.nodes))]
			require.Zero(t, n.Remaining(poison, time.Now()), "after %d", i)
			n.Completed(poison, time.Now(), time.Now())
			time.Sleep(time.Second)
		}
	})
}

// Reports of a gateway that is cut off are no proof: to it all endpoints seem to have ended. The request is tried, and
// cleared for all.
func TestEndsReportedByPartitionedGatewayDoNotCount(t *testing.T) {
	t.Parallel()
	inFleet(t, 5, func(ctx context.Context, f *fleet) {
		for i := range 6 {
			f.nodes[0].send(&wire.Packet{Ends: &wire.Ends{Gateway: name(0), Endpoint: fmt.Sprint("alive-", i), Prints: []uint64{uint64(poison)}}},
				f.overlay(0).Others...)
		}
		time.Sleep(time.Second)
		require.True(t, f.nodes[1].Suspected(poison, time.Now()))
		require.Equal(t, 1, f.arrive(ctx, 1, 1, poison, true))
		time.Sleep(10 * time.Second)
		for _, n := range f.nodes {
			require.False(t, n.Suspected(poison, time.Now()))
			require.Zero(t, n.Remaining(poison, time.Now()))
		}
	})
}

// A request that nobody may run is refused at once, not held until its caller leaves.
func TestRequestThatNobodyMayRunIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	for name, forbid := range map[string]func(*fleet, *quarantine.Guard){
		"no endpoint can be spared": func(_ *fleet, g *quarantine.Guard) {
			g.Spare = func() []suspicion.Incarnation { return nil }
		},
		"the store does not answer": func(f *fleet, _ *quarantine.Guard) { f.setStoreDown(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inFleet(t, 5, func(ctx context.Context, f *fleet) {
				f.arrive(ctx, 0, 2, poison, false)
				time.Sleep(time.Second)
				g := f.nodes[1].guard(poison)
				forbid(f, g)
				begun := time.Now()
				var refused *quarantine.RefusedError
				require.ErrorAs(t, g.Enter(ctx, time.Minute, false), &refused)
				require.Equal(t, name, refused.Reason)
				require.Positive(t, refused.RetryAfter)
				require.Less(t, time.Since(begun), 100*time.Millisecond) // by the clock of the test
			})
		})
	}
}

// A claim that the store carries out without an answer does not block the request: its gateway gives it up when it reads
// the record.
func TestClaimWithoutAnAnswerIsGivenUp(t *testing.T) {
	t.Parallel()

	inFleet(t, 5, func(ctx context.Context, f *fleet) {
		f.arrive(ctx, 0, 2, poison, false)
		time.Sleep(time.Second)
		record := &wire.Trial{Holder: name(1), Endpoint: "endpoint-1", Sends: 1, Lease: "lease"}
		text, err := proto.Marshal(record)
		require.NoError(t, err)
		_, err = f.Put(ctx, kv.Write{Key: "grademill/trial/7", Value: text, Lease: "lease"})
		require.NoError(t, err)
		time.Sleep(4 * time.Second)
		require.NoError(t, f.nodes[2].guard(poison).Enter(ctx, time.Second, false))
	})
}

// An endpoint that also ended under another suspect that had just begun there is no proof against the isolated one.
func TestSharedEndIsNoProof(t *testing.T) {
	t.Parallel()
	for _, shared := range []bool{false, true} {
		inFleet(t, 5, func(ctx context.Context, f *fleet) {
			f.arrive(ctx, 0, 2, poison, false)
			time.Sleep(time.Second)
			g := f.nodes[1].guard(poison)
			require.NoError(t, g.Enter(ctx, time.Second, false))
			at := suspicion.Incarnation{Endpoint: g.Endpoint()}
			f.mu.Lock()
			f.ended[at] = time.Now()
			f.mu.Unlock()
			f.nodes[1].Report(at, []suspects.Begun{{Print: poison}}, time.Now())
			if shared {
				f.nodes[2].Report(at, []suspects.Begun{{Print: poison + 1}}, time.Now())
				f.nodes[2].Report(suspicion.Incarnation{Endpoint: "another"}, []suspects.Begun{{Print: poison + 1}}, time.Now())
			}
			g.End(true)
			time.Sleep(time.Second)
			require.Equal(t, !shared, f.nodes[3].Remaining(poison, time.Now()) > 0)
		})
	}
}

// A request may run again when its quarantine has ended.
func TestQuarantineEnds(t *testing.T) {
	t.Parallel()
	inFleet(t, 5, func(ctx context.Context, f *fleet) {
		for i := range 3 {
			f.arrive(ctx, i, 1, poison, false)
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
