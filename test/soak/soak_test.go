// Package soak_test runs the gateway as processes of their own on one machine,
// breaks what is around them from outside, and checks the promises by what callers
// were told and what endpoints ran.
//
//	go test ./test/soak -soak.seeds 50 -soak.from 1000 -soak.seconds 20 -timeout 1h
//
// Failed seeds stay in testdata/seeds.txt, with their cause, and are played each
// time.
package soak_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

var (
	seeds   = flag.Int("soak.seeds", 2, "number of seeds")
	from    = flag.Uint64("soak.from", 1, "first seed")
	seconds = flag.Int("soak.seconds", 8, "seconds of faults for each seed")
	keep    = flag.String("soak.keep", "", "folder for the logs of failed seeds")
)

// The size of a soak.
const (
	gateways    = 3
	callerCount = 12
	// flatFleet and its gateways make the fleet of every other seed like a large one: two
	// of a hall ask the store for a third, and halls tell each other the sums.
	flatFleet      = 2
	gatewaysByHall = 4
	otherHall      = "south"
)

// startWait is how long the gateways and the layers may take to be ready.
const startWait = time.Minute

func TestSoak(t *testing.T) {
	for i := range uint64(*seeds) {
		t.Run(fmt.Sprint("seed ", *from+i), func(t *testing.T) { soak(t, *from+i, load{words: true}) })
	}
}

// Seeds that once failed.
func TestFormerFailures(t *testing.T) {
	file, err := os.Open("testdata/seeds.txt")
	require.NoError(t, err)
	defer file.Close() //nolint:errcheck // only read
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		t.Run("seed "+text, func(t *testing.T) { soak(t, seed, load{}) })
	}
}

// world is one soak.
type world struct {
	t     *testing.T
	backs *backs
	nodes []*node
	r     *rand.Rand
	// unplanned is set once a fault other than planned work has been injected.
	unplanned []time.Time
	// speeches are what endpoints said of the requests that they take.
	speeches []speech

	mu sync.Mutex // guards what follows
	// harms are when gateways, or their ways to the store, were harmed.
	harms map[*node][]span
	// linkFaults are the times at which links of endpoints, or what they answer, were harmed.
	linkFaults map[*site.Endpoint][]time.Time
}

// span is the time of a fault.
type span struct{ from, until time.Time }

// harmed returns a fault that keeps a gateway from hearing of changes while it lasts.
func (w *world) harmed(n *node, fault func()) func() {
	return func() {
		s := span{from: time.Now()}
		fault()
		s.until = time.Now()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.harms[n] = append(w.harms[n], s)
	}
}

// load is what callers ask of the endpoints.
type load struct {
	// slots is the number of requests that an endpoint takes at once, 0 for the usual.
	slots int
	// burst is the number of callers that come beside the others for a while.
	burst int
	// deadly is set when a request comes again and again that ends who begins to run it.
	deadly bool
	// words is set when endpoints say how much they take.
	words bool
}

// pastCapacity is a load that the slots of the endpoints do not let in.
var pastCapacity = load{slots: 3, burst: 60, words: true}

// TestSoakPastCapacity plays a fresh seed with more callers than there is room for: what is
// refused has not run, also then.
func TestSoakPastCapacity(t *testing.T) {
	soak(t, *from, pastCapacity)
}

// TestSoakWithADeadlyRequest plays a fresh seed with a request that ends each endpoint that
// begins to run it, and comes again and again.
func TestSoakWithADeadlyRequest(t *testing.T) {
	for i := range uint64(*seeds) {
		t.Run(fmt.Sprint("seed ", *from+i), func(t *testing.T) { soak(t, *from+i, load{deadly: true}) })
	}
}

// soak plays one seed.
func soak(t *testing.T, seed uint64, l load) {
	dir := t.TempDir()
	t.Cleanup(func() {
		if t.Failed() && *keep != "" {
			assert.NoError(t, os.CopyFS(fmt.Sprintf("%s/seed-%d", *keep, seed), os.DirFS(dir)))
		}
	})
	w := &world{
		t: t, backs: newBacks(t, l.slots), r: rand.New(rand.NewPCG(seed, 1)), linkFaults: make(map[*site.Endpoint][]time.Time),
		harms: make(map[*node][]span),
	}
	n, flat := gateways, 0
	if seed%2 == 1 {
		n, flat = gatewaysByHall, flatFleet
	}
	for i := range n {
		hall := "north"
		if i == gateways {
			hall = otherHall
		}
		w.nodes = append(w.nodes, newNode(t, dir, fmt.Sprint("gateway-", i), hall, w.backs.site.StoreAddress, flat))
	}
	c := &callers{backs: w.backs, nodes: w.nodes, ready: make(map[*node]bool)}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, n := range w.nodes {
		group.Go(func() { c.poll(ctx, n) })
	}
	require.Eventually(t, w.serves, startWait, 100*time.Millisecond)
	for i := range callerCount {
		group.Go(func() { c.run(ctx, seed*1000+uint64(i)) })
	}
	if l.deadly {
		w.backs.doom(deadly)
		group.Go(func() { c.repeat(ctx, seed) })
	}
	faults := time.Duration(*seconds) * time.Second
	burst, over := context.WithTimeout(ctx, faults/2)
	defer over()
	for i := range l.burst {
		group.Go(func() { c.run(burst, seed*1000+uint64(callerCount+i)) })
	}
	var speakers sync.WaitGroup
	if l.words {
		speakers.Go(func() { w.speak(seed, faults) })
	}
	w.inject(faults)
	speakers.Wait()
	time.Sleep(4 * time.Second) // all is mended: requests are served again
	mended := time.Now()
	time.Sleep(2 * time.Second)
	cancel()
	group.Wait()
	w.check(c, mended)
}

// serves reports whether all gateways are ready and the layers are held.
func (w *world) serves() bool {
	for _, n := range w.nodes {
		if !n.isReady() {
			return false
		}
	}
	held := 0
	for _, e := range w.backs.all {
		from, to := e.Layers()
		held += to - from
	}
	return held >= 2*layers
}

// inject breaks things for a time, several at once, and waits until all is mended.
func (w *world) inject(d time.Duration) {
	var group sync.WaitGroup
	busy := make(map[*node]chan struct{})
	for _, n := range w.nodes {
		busy[n] = make(chan struct{}, 1)
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		n := w.nodes[w.r.IntN(len(w.nodes))]
		lasts := time.Duration(300+w.r.IntN(1500)) * time.Millisecond
		fault := w.fault(n, lasts)
		group.Go(func() {
			busy[n] <- struct{}{} // one fault of a gateway at a time
			defer func() { <-busy[n] }()
			fault()
		})
		time.Sleep(time.Duration(100+w.r.IntN(900)) * time.Millisecond)
	}
	group.Wait()
}

// fault draws a fault.
func (w *world) fault(n *node, lasts time.Duration) func() {
	during := func(p *proxy, how treatment) func() {
		return func() {
			p.treat(how)
			time.Sleep(lasts)
			p.treat(pass)
		}
	}
	store := func(how treatment) func() { return w.harmed(n, during(n.store, how)) }
	service := []string{records, model}[w.r.IntN(2)]
	e, link := w.backs.pick(w.r, service)
	kind := w.r.IntN(16)
	if kind > 3 {
		w.unplanned = append(w.unplanned, time.Now())
	}
	w.t.Logf("%s: fault %d for %s", time.Now().Format("15:04:05.000"), kind, lasts)
	switch kind {
	case 0, 1:
		return n.stop
	case 2:
		return func() { w.backs.revoke() }
	case 3:
		return func() { n.signal(syscall.SIGHUP) }
	case 4:
		return w.harmed(n, n.kill)
	case 5:
		return w.harmed(n, func() {
			n.signal(syscall.SIGSTOP)
			time.Sleep(lasts)
			n.signal(syscall.SIGCONT)
		})
	case 6:
		return store(mute)
	case 7:
		return store(reset)
	case 8:
		return store(slow)
	case 9:
		return store(deaf)
	case 10:
		return w.backs.site.Store.Compact
	}
	if e == nil {
		return func() {}
	}
	if kind > 12 {
		w.mu.Lock()
		w.linkFaults[e] = append(w.linkFaults[e], time.Now())
		w.mu.Unlock()
	}
	switch kind {
	case 11:
		return func() { w.backs.crash(e) }
	case 12:
		says := w.r.IntN(2) == 0
		late := time.Duration(w.r.IntN(int(lateRecord)))
		return func() { w.backs.release(e, says, late) }
	case 13:
		return during(link, []treatment{slow, mute, reset, deaf}[w.r.IntN(4)])
	}
	mode := []site.Mode{site.Refuse, site.Fail, site.Lose, site.Cut, site.Unsigned, site.Twice, site.FailAsRefusal}[w.r.IntN(7)]
	return func() {
		e.Stay(mode)
		time.Sleep(lasts)
		e.Stay(site.Serve)
	}
}
