//go:build review

package standin_test

import (
	"fmt"
	"sync"
	"time"

	"github.com/grademill/grademill/standin/site"
)

// Times of the case "loop".
const (
	// flapEvery is the period in which a runner goes down and up, and flapFor how long it does.
	flapEvery = 1400 * time.Millisecond
	flapFor   = 4 * 6500 * time.Millisecond
	// deskRunners is the number of sound runners beside it.
	deskRunners = 9
	// lapse is when the record of a runner that has ended goes: three pings of 1,200 ms after its last write.
	lapse = 3600 * time.Millisecond
	// loopSettles is from when on requests are sent, since the runner has begun to go down and up.
	loopSettles = 12 * time.Second
)

// loop plays a runner of a plain service that goes down and up while the runners of a model start.
func loop(w *world, trouble bool) (bool, error) {
	begun := time.Now()
	if trouble {
		w.beforeStart = func() { go w.flap() }
	}
	g, err := w.models()
	if err != nil {
		return false, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var streams, plain tally
	for c := range streamers {
		group.Go(func() {
			time.Sleep(time.Until(begun.Add(loopSettles + time.Duration(c)*time.Second/streamers)))
			for n := 0; time.Since(begun) < flapFor; n++ {
				at := time.Now()
				a, b := w.askBoth(g, c, n)
				mu.Lock()
				streams.add(a)
				plain.add(b)
				mu.Unlock()
				time.Sleep(max(time.Second-time.Since(at), 0))
			}
		})
	}
	group.Wait()
	w.rec.note("streams from %.0f s after the first start of the runner: %v", loopSettles.Seconds(), &streams)
	w.rec.note("requests of the plain service: %v", &plain)
	return starved(w, streams, plain), nil
}

// flap has a runner of the plain service go down and up, each start as a new incarnation with an ID of its own.
func (w *world) flap() {
	for begun, n := time.Now(), 1; time.Since(begun) < flapFor; n++ {
		e := &site.Endpoint{ID: fmt.Sprint("flapping-", n), Started: time.Now().UnixMilli(), Service: desk, Hall: zone, Slots: 6}
		written := time.Now()
		if err := w.site.Start(e); err != nil {
			w.rec.note("%s cannot start: %v", e.ID, err)
			return
		}
		w.rec.line("%s starts", e.ID)
		time.Sleep(flapEvery / 2)
		w.site.Stop(e)
		w.rec.line("%s has ended", e.ID)
		time.AfterFunc(time.Until(written.Add(lapse)), func() {
			w.site.Withdraw(e)
			w.rec.line("the record of %s has gone", e.ID)
		})
		time.Sleep(flapEvery / 2)
	}
}
