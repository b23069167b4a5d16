//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// silenceTimeout is the timeout of the route, silencePatience that of the callers.
	silenceTimeout  = 2 * time.Second
	silencePatience = 4 * time.Second
	// finalAnswer is how long after the route's timeout a final answer may come.
	finalAnswer = 500 * time.Millisecond
	// atOnce is the number of callers at one gateway that send a request at the same time, workTime how long a runner works
	// on one: three runners have worked off all of them within the timeout.
	atOnce   = 48
	workTime = 400 * time.Millisecond
	// darkAfter is how long after the requests were sent a runner loses power.
	darkAfter = 200 * time.Millisecond
	// minLate and lateShare are the bounds of the rule: so many requests, and over such a share of those that last longer
	// than the timeout, must be late.
	minLate   = 8
	lateShare = 0.25
)

// playSilence lets many callers send a request at the same time, and one of three runners lose power while it works.
func playSilence(w *world, trouble bool) (bool, error) {
	w.configure(silenceTimeout, []tenant{{"north", []string{"k1aaaaaaaaaaaaaaaaaa"}, 1}})
	var runners []*runner
	for i := range 3 {
		r := &runner{ID: fmt.Sprintf("i-%d", i+1), Work: workTime}
		if err := r.start(w); err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	if err := w.begin(); err != nil {
		return false, err
	}
	answers := make([]answer, atOnce)
	var group sync.WaitGroup
	for i := range atOnce {
		c, err := open(w.callers[0])
		if err != nil {
			return false, err
		}
		defer c.close()
		group.Go(func() {
			answers[i] = c.do(request{id: fmt.Sprintf("renewal-%d", i+1), key: "k1aaaaaaaaaaaaaaaaaa", body: "member 7", patience: silencePatience})
		})
	}
	time.Sleep(darkAfter)
	if trouble {
		if err := runners[0].losePower(); err != nil {
			return false, err
		}
	}
	group.Wait()
	ran := 0
	for _, r := range runners {
		ran += len(r.ran())
	}
	unanswered, late, never := 0, 0, 0
	for _, a := range answers {
		w.note("%s", a)
		if a.took > silenceTimeout {
			unanswered++
		}
		if a.took > silenceTimeout+finalAnswer {
			late++
		}
		if a.status == 0 {
			never++
		}
	}
	w.note("%d requests, %d run; %d unanswered at the route's timeout of %v, %d of these without a final answer %v later, "+
		"%d without any while their callers waited", atOnce, ran, unanswered, silenceTimeout, late, finalAnswer, never)
	if ran == 0 {
		return false, fmt.Errorf("no request was run")
	}
	return late >= minLate && float64(late) > lateShare*float64(unanswered) && 2*late > unanswered, nil
}
