//go:build review

package standin_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times and numbers of the case "drip".
const (
	// dripConns is the number of connections of the client that drips.
	dripConns = 1300
	// dripEvery is the pause between two bytes on a connection.
	dripEvery = 150 * time.Millisecond
	// dripBytes is the length of each body.
	dripBytes = 3000
	// dripFor is how long the client drips.
	dripFor = 20 * time.Second
	// contact is contact_ms of the installation.
	contact = 4 * time.Second
	// consumers is the number of consumers, each of which opens a new channel every consumerEvery.
	consumers     = 10
	consumerEvery = 300 * time.Millisecond
)

// drip plays a client that nobody controls: it opens many connections, begins a request on each whose body has a length
// far inside the limits, and sends that body a byte at a time.
func drip(w *world, trouble bool) (bool, error) {
	g, err := w.small()
	if err != nil {
		return false, err
	}
	return watchDrip(w, g, trouble)
}

// dripBody is the body that a request of the client that drips announces.
var dripBody = strings.Repeat("x", dripBytes)

// taken keeps when channels of consumers were tried and taken.
type taken struct {
	mu     sync.Mutex
	tries  []try
	served int
	failed int
}

// try is one try of a consumer to have a new channel taken.
type try struct {
	at       time.Time
	consumer int
	taken    bool
}

func watchDrip(w *world, g *gateway, trouble bool) (bool, error) {
	stop := make(chan struct{})
	var crowd, ordinary sync.WaitGroup
	var open, bytes atomic.Int64
	if trouble {
		for i := range dripConns {
			crowd.Go(func() { dripBodies(g.caller, fmt.Sprint("/news/", i), stop, &open, &bytes) })
		}
		time.Sleep(2 * time.Second)
	}
	w.rec.note("the client that drips has %d connections", open.Load())
	var seen taken
	until := time.Now().Add(dripFor)
	for c := range consumers {
		ordinary.Go(func() {
			time.Sleep(time.Duration(c) * consumerEvery / consumers)
			for n := 0; time.Now().Before(until); n++ {
				r := request{
					method: "GET", path: fmt.Sprintf("/freeze/%d-%d", c, n), id: fmt.Sprintf("ordinary-%d-%d", c, n), key: ownKey, deadline: 600 * time.Millisecond,
				}
				at := time.Now()
				got := ask(g.caller, r)
				w.rec.line("consumer %d: request %s on a new channel: %v", c, r.id, got)
				seen.add(try{at: at, consumer: c, taken: got.err == nil}, got)
				time.Sleep(max(consumerEvery-time.Since(at), 0))
			}
		})
	}
	unready := 0
	for time.Now().Before(until) {
		ready := g.isReady()
		if !ready {
			unready++
		}
		now, peak := g.memoryMB()
		w.rec.line("ready %v, %d connections drip, %d bytes so far, %d MB, peak %d MB", ready, open.Load(), bytes.Load(), now, peak)
		time.Sleep(500 * time.Millisecond)
	}
	ordinary.Wait()
	close(stop)
	crowd.Wait()
	longest, trying := seen.longestGap()
	w.rec.note("%d requests of consumers on new channels: %d got an answer, %d got none", len(seen.tries), seen.served, seen.failed)
	w.rec.note("longest time without a channel that was taken: %.1f s, in which %d consumers tried; not ready %d times", longest.Seconds(), trying, unready)
	return unready == 0 && longest >= contact && trying >= 7, nil
}

func (s *taken) add(t try, got answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tries = append(s.tries, t)
	if got.err == nil {
		s.served++
	} else {
		s.failed++
	}
}

// longestGap returns the longest time between two tries that were taken, and how many consumers tried in it.
func (s *taken) longestGap() (time.Duration, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest, trying := time.Duration(0), 0
	var from time.Time
	who := make(map[int]bool)
	for _, t := range s.tries {
		if from.IsZero() || t.taken {
			from, who = t.at, make(map[int]bool)
		}
		who[t.consumer] = true
		if d := t.at.Sub(from); d > longest {
			longest, trying = d, len(who)
		}
	}
	return longest, trying
}
