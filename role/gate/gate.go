// Package gate queues requests until there is room for them, and admits them in the order of
// priority and of the fair shares of teams. It refuses at once a request whose expected wait is
// longer than its deadline allows.
//
// Each request calls Enter on a shared [Gate]; whoever frees room calls AdmitWaiting.
package gate

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/grademill/grademill/decide/fair"
	"github.com/grademill/grademill/decide/outcome"
	"github.com/grademill/grademill/decide/rate"
)

// Answer is the result of an attempt to take room.
type Answer int

// The possible answers.
const (
	// Granted means that room was taken.
	Granted Answer = iota
	// Full means that there is no room now, so the request stays queued.
	Full
	// Never means that waiting cannot help, so the request is refused.
	Never
)

// Ticket describes a request to the gate. G is the type of its grant, such as a chain.
type Ticket[G any] struct {
	// Lane names the queue, such as the service: requests in one lane wait for the same room.
	Lane string
	// Team, Weight, Priority and Cost determine the order within the lane.
	Team     string
	Weight   float64
	Priority int
	Cost     float64
	// Try takes room if there is any. It is called with the gate's lock held.
	Try func() (G, Answer)
}

// Gate admits requests. Set the exported fields before the first use. It is safe for concurrent
// use.
type Gate[G any] struct {
	// MaxQueue is the maximum number of requests that wait in one lane.
	MaxQueue int

	mu    sync.Mutex
	lanes map[string]*lane[G]
}

type lane[G any] struct {
	queue fair.Queue[*waiter[G]]
	// admitted is the rate of admitted cost.
	admitted rate.Meter
}

type waiter[G any] struct {
	ticket Ticket[G]
	result chan result[G]
}

type result[G any] struct {
	grant  G
	report *outcome.Report
}

// Bounds of the Retry-After delay of a refused request.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Enter waits until Try grants room. It returns a NotRun report if the lane is full, if the
// expected wait is longer than ctx allows, if ctx ends, or if Try answers Never.
func (g *Gate[G]) Enter(ctx context.Context, t Ticket[G]) (G, *outcome.Report) {
	var zero G
	w := &waiter[G]{ticket: t, result: make(chan result[G], 1)}
	item := &fair.Item[*waiter[G]]{Team: t.Team, Weight: t.Weight, Cost: t.Cost, Priority: t.Priority, Value: w}
	g.mu.Lock()
	l := g.lane(t.Lane)
	if report := l.tooLate(ctx, t.Priority); report != nil {
		g.mu.Unlock()
		return zero, report
	}
	if displaced, _ := l.queue.Push(item); displaced != nil {
		l.refuse(displaced)
	}
	l.grant()
	g.mu.Unlock()
	select {
	case r := <-w.result:
		return r.grant, r.report
	case <-ctx.Done():
		return g.abandon(l, item)
	}
}

// AdmitWaiting admits the queued requests for which there is room, in all lanes.
func (g *Gate[G]) AdmitWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.lanes {
		l.grant()
	}
}

// Waiting returns the number of queued requests in all lanes.
func (g *Gate[G]) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, l := range g.lanes {
		n += l.queue.Len()
	}
	return n
}

// WaitingIn returns the number of queued requests of a lane.
func (g *Gate[G]) WaitingIn(lane string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lane(lane).queue.Len()
}

// Admitted returns the cost that is admitted to a lane per second, 0 while it is unknown.
func (g *Gate[G]) Admitted(lane string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lane(lane).admitted.PerSecond(time.Now())
}

func (g *Gate[G]) lane(name string) *lane[G] {
	l := g.lanes[name]
	if l == nil {
		if g.lanes == nil {
			g.lanes = make(map[string]*lane[G])
		}
		l = &lane[G]{queue: fair.Queue[*waiter[G]]{Max: g.MaxQueue}}
		g.lanes[name] = l
	}
	return l
}

// abandon removes a request whose context has ended. A grant that was made at the same moment is
// returned: the caller checks the context itself.
func (g *Gate[G]) abandon(l *lane[G], item *fair.Item[*waiter[G]]) (G, *outcome.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.queue.Remove(item) {
		var zero G
		return zero, outcome.Refuse(outcome.DeadlineOver, "gone or out of time while waiting for room", l.retryAfter())
	}
	r := <-item.Value.result
	return r.grant, r.report
}

// grant admits requests from the front of the queue while there is room.
func (l *lane[G]) grant() {
	for item := l.queue.Peek(); item != nil; item = l.queue.Peek() {
		grant, answer := item.Value.ticket.Try()
		if answer == Full {
			return
		}
		l.queue.Pop()
		if answer == Never {
			report := outcome.Refuse(outcome.NoChain, "no endpoints hold all that is needed", minRetryAfter)
			item.Value.result <- result[G]{report: report}
			continue
		}
		l.admitted = l.admitted.WithCount(time.Now(), item.Cost)
		item.Value.result <- result[G]{grant: grant}
	}
}

// wait estimates how long a new request of a priority would wait behind those of the same or a
// higher priority. It returns false while the rate is unknown.
func (l *lane[G]) wait(priority int) (time.Duration, bool) {
	perSecond := l.admitted.PerSecond(time.Now())
	if perSecond <= 0 {
		return 0, false
	}
	return time.Duration(l.queue.Cost(priority) / perSecond * float64(time.Second)), true
}

// retryAfter returns the Retry-After delay of a refused request: the estimated time until all
// queued requests are admitted.
func (l *lane[G]) retryAfter() time.Duration {
	wait, _ := l.wait(math.MinInt)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// tooLate returns a refusal if the estimated wait of a request of a priority is longer than ctx
// allows, otherwise nil.
func (l *lane[G]) tooLate(ctx context.Context, priority int) *outcome.Report {
	deadline, bounded := ctx.Deadline()
	wait, known := l.wait(priority)
	if !bounded || !known || wait <= 0 || wait <= time.Until(deadline) {
		return nil
	}
	return outcome.Refuse(outcome.Overloaded, "the wait would outlast the deadline", l.retryAfter())
}

// refuse refuses a request that was displaced from the queue.
func (l *lane[G]) refuse(item *fair.Item[*waiter[G]]) {
	item.Value.result <- result[G]{report: outcome.Refuse(outcome.Overloaded, "the queue is full", l.retryAfter())}
}
