//go:build review

package standin_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/standin/site"
)

const (
	// streamEvents and eventInterval make a stream last for 12 s.
	streamEvents  = 300
	eventInterval = 40 * time.Millisecond
	// streamsAtOnce is the number of streams that begin at each gateway at a time, streamPatience how long callers wait.
	streamsAtOnce  = 6
	streamPatience = 20 * time.Second
	// leaveGap is the time between the leaves of two runners, lastGap that until the last one is known everywhere.
	leaveGap = 750 * time.Millisecond
	lastGap  = 1700 * time.Millisecond
	// leaving is the number of runners of the zone that all leave, staying that of each other zone.
	leaving, staying = 8, 4
	// callsAtOnce is the number of plain requests at each gateway that wait for their answers when the runners crash, and
	// callTime how long a runner works on one.
	callsAtOnce = 8
	callTime    = 3 * time.Second
	// callPatience is the timeout of the plain route, and the patience of its callers.
	callPatience = 6 * time.Second
	// callLead is how long before the crashes the plain requests are sent.
	callLead = 300 * time.Millisecond
	// maxLost is the largest number of requests that the rule allows to end without an answer.
	maxLost = 3
	zoneKey = "k1aaaaaaaaaaaaaaaaaa"
)

// playZones lets all runners of one zone leave, one after the other, while streams run, and one runner of each of the
// other zones crash.
func playZones(w *world, trouble bool) (bool, error) {
	w.configure(callPatience, []tenant{{"north", []string{zoneKey}, 1}})
	var runners []*runner
	for i := range 3 {
		r := &runner{ID: fmt.Sprintf("i-%d", i+1), Work: callTime}
		if err := r.start(w); err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	zones := map[string][]*site.Endpoint{}
	for zone, n := range map[string]int{"rosehill": staying, "quatrebornes": staying, "curepipe": leaving} {
		for i := range n {
			e := &site.Endpoint{
				ID: fmt.Sprintf("m-%s-%d", zone, i+1), Started: time.Now().UnixMilli(), Service: model, Hall: zone, Card: card,
				EventInterval: eventInterval,
			}
			if err := w.site.Start(e); err != nil {
				return false, err
			}
			zones[zone] = append(zones[zone], e)
		}
	}
	if err := w.begin(); err != nil {
		return false, err
	}
	if err := w.awaitModel(); err != nil {
		return false, err
	}
	var streams sync.WaitGroup
	var whole, cut atomic.Int64
	begin := func(round int) {
		for g, address := range w.callers {
			for i := range streamsAtOnce {
				streams.Go(func() {
					c, err := open(address)
					if err != nil {
						return
					}
					defer c.close()
					id := fmt.Sprintf("plan-%d-%d-%d", round, g+1, i+1)
					complete, got := c.stream(request{id: id, key: zoneKey, body: "plan", patience: streamPatience}, streamEvents)
					if complete {
						whole.Add(1)
						return
					}
					cut.Add(1)
					w.note("stream %s at front-%d ended after %d of %d events", id, g+1, got, streamEvents)
				})
			}
		}
	}
	begin(0)
	for i, e := range zones["curepipe"] {
		time.Sleep(leaveGap)
		if trouble {
			w.site.Withdraw(e)
			w.note("the entry of %s is removed, it serves on", e.ID)
		}
		if i+1 < len(zones["curepipe"]) {
			begin(i + 1)
		}
	}
	time.Sleep(lastGap)
	lost := w.playCalls(runners, func() {
		if !trouble {
			return
		}
		for _, zone := range []string{"rosehill", "quatrebornes"} {
			e := lastOf(zones[zone])
			e.Silence()
			w.site.Stop(e)
			w.note("%s crashes", e.ID)
		}
	})
	streams.Wait()
	w.note("%d streams came whole, %d were cut; %d plain requests were passed on, and their channel closed without an answer",
		whole.Load(), cut.Load(), lost)
	return lost > maxLost, nil
}

// lastOf returns a runner that holds the last layers.
func lastOf(list []*site.Endpoint) *site.Endpoint {
	for _, e := range list {
		if _, to := e.Layers(); to == layers {
			return e
		}
	}
	return list[0]
}

// awaitModel waits until a stream is served.
func (w *world) awaitModel() error {
	for i := range 40 {
		c, err := open(w.callers[0])
		if err != nil {
			return err
		}
		whole, _ := c.stream(request{id: fmt.Sprintf("first-%d", i), key: zoneKey, body: "plan", patience: streamPatience}, 2)
		c.close()
		if whole {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("the model is not served")
}

// playCalls sends plain requests on kept connections, calls crash while runners work on them, and returns how many were
// passed on and got no answer before their connection was closed.
func (w *world) playCalls(runners []*runner, crash func()) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	closed := make(map[string]bool)
	for g, address := range w.callers {
		for i := range callsAtOnce {
			c, err := open(address)
			if err != nil {
				w.note("front-%d takes no connection: %v", g+1, err)
				continue
			}
			group.Go(func() {
				defer c.close()
				a := c.do(request{id: fmt.Sprintf("renewal-%d-%d", g+1, i+1), key: zoneKey, body: "member 7", patience: callPatience})
				w.note("front-%d: %s", g+1, a)
				mu.Lock()
				defer mu.Unlock()
				closed[a.id] = a.status == 0 && a.took < callPatience
			})
		}
	}
	time.Sleep(callLead)
	crash()
	group.Wait()
	lost := 0
	for _, r := range runners {
		for _, one := range r.ran() {
			if closed[one.id] {
				lost++
			}
		}
	}
	return lost
}
