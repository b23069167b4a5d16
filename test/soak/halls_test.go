package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/grademill/grademill/standin/site"
)

// emptiedHall is the data hall that loses all its endpoints again and again, and hallSize the number of its engines.
const (
	emptiedHall = "west"
	hallSize    = 4
)

// Callers whose streams outlast the time in which a hall is emptied and engines of the other halls crash.
const (
	streamCallers = 12
	longStream    = 250
)

// TestSoakWithEmptiedHall runs seeds in which a data hall loses its last endpoint and gets others, while streams of the
// other halls are moved away from engines that crash.
func TestSoakWithEmptiedHall(t *testing.T) {
	for i := range uint64(*seeds) {
		t.Run(fmt.Sprint("seed ", *from+i), func(t *testing.T) { soak(t, *from+i, load{emptiedHall: true}) })
	}
}

// emptyHall empties a hall again and again, and crashes an engine of each other hall each time, for a duration.
func (w *world) emptyHall(seed uint64, d time.Duration) {
	r := rand.New(rand.NewPCG(seed, 13))
	var crashes sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		for range hallSize {
			w.backends.add(model, emptiedHall)
		}
		time.Sleep(time.Duration(1000+r.IntN(500)) * time.Millisecond) // the engines load layers, and streams start
		victims := make(map[string]*site.Endpoint)
		var emptied []*site.Endpoint
		for _, e := range w.backends.engines() {
			if e.Hall == emptiedHall {
				emptied = append(emptied, e)
			} else if first, _ := e.Layers(); first > 0 { // streams are moved away from it, not sent again
				victims[e.Hall] = e
			}
		}
		w.backends.withdraw(emptied...)
		w.t.Logf("%s: hall %s is emptied", time.Now().Format("15:04:05.000"), emptiedHall)
		time.Sleep(time.Duration(700+r.IntN(300)) * time.Millisecond)
		for _, e := range victims {
			crashes.Go(func() { w.backends.crash(e) })
		}
	}
	crashes.Wait()
}

// withdraw removes the records of endpoints, which go on serving.
func (b *backends) withdraw(list ...*site.Endpoint) {
	for _, e := range list {
		b.mu.Lock()
		delete(b.live, e)
		b.left[e] = time.Now()
		b.mu.Unlock()
		b.site.Withdraw(e)
	}
}

// runStreams sends long streams one after another until ctx ends.
func (c *callers) runStreams(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 14))
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 12 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("s%d-%d", seed, i)
		ex := c.send(&client, exchange{
			id: id, path: "/plan/" + id, key: c.backends.key(r), events: longStream, node: c.nodes[r.IntN(len(c.nodes))], parts: parts(id, "all"),
		}, id)
		c.add(ex)
		time.Sleep(time.Duration(r.IntN(100)) * time.Millisecond)
	}
}
