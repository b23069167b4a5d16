// Package admission queues the requests of model services until an endpoint has room for them. It
// decides in which order they are admitted, how long each may wait, which are refused at once, and
// after what delay a refused caller is to retry.
//
// Each gateway has one [Queue]: call Run once, then Arrive and Enter for each request, and
// RetryAfter for each that Enter refused.
package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/callertimeout"
	"github.com/grademill/grademill/decide/outcome"
	"github.com/grademill/grademill/decide/rate"
	"github.com/grademill/grademill/decide/retryafter"
	"github.com/grademill/grademill/decide/urgency"
	"github.com/grademill/grademill/role/gate"
	"github.com/grademill/grademill/state/byname"
	"github.com/grademill/grademill/state/streams"
)

// Limits of the queue.
const (
	// maxQueue is the number of requests of a service that may wait: with more, the last would wait
	// longer than callers do.
	maxQueue = 1024
	// pollInterval is the time between two checks for room while requests wait. A few streams of a
	// hall end in that time.
	pollInterval = 15 * time.Millisecond
	// maxRetryAfterShare bounds the Retry-After delay as a share of the time left until the
	// deadline: callers heed no delay above a third of that time.
	maxRetryAfterShare = 0.3
	// noRefusalPeriod is how long no request may have been refused before arriving requests count
	// as first attempts, from which the usual timeouts of callers are learned. Most refused callers
	// have retried by then.
	noRefusalPeriod = 8 * time.Second
	// lateWaitObjectives is the time to the first event, in multiples of the objective, that bounds
	// the wait of a request that is late already: its caller hangs up after four times the objective.
	lateWaitObjectives = 3
)

// Order returns the urgency of a request under a load. The default is [urgency.Load.Of].
type Order func(l urgency.Load, begun, returned bool) urgency.Urgency

// Queue is a queue of requests that wait for a grant of type G, such as a chain. The zero Queue is
// ready to use. It checks for room only while Run runs. It is safe for concurrent use.
type Queue[G any] struct {
	// Order ranks requests of equal priority; nil means [urgency.Load.Of].
	Order Order
	// FleetLoad completes the load from which Retry-After delays are computed by what is known of the
	// whole fleet; nil means that nothing is known.
	FleetLoad func(service string, l retryafter.Load) retryafter.Load
	// Times holds the learned durations of streams.
	Times streams.Times

	// once guards the initialization of gate and wake.
	once sync.Once
	gate gate.Gate[G]
	wake chan struct{}
	// firstShares holds, per service, the timeouts that callers usually set on a first attempt, as
	// shares of the route's timeout.
	firstShares byname.Map[callertimeout.Estimate]
	// refusedAt is when a request was last refused, in nanoseconds of Unix time.
	refusedAt atomic.Int64
	// retryRates holds the rate of retried requests per service.
	retryRates byname.Map[rate.Meter]

	// ReturnShare is the share of the fleet's capacity that is reserved for retries, see
	// retryafter.Schedule.
	ReturnShare float64

	mu sync.Mutex
	// retries schedules the retries of refused callers by service; guarded by mu.
	retries map[string]*retryafter.Schedule
}

// ready initializes the gate on the first call and returns it.
func (l *Queue[G]) ready() *gate.Gate[G] {
	l.once.Do(func() {
		l.gate.MaxQueue = maxQueue
		l.wake = make(chan struct{}, 1)
	})
	return &l.gate
}

// Arrive records a new request and reports whether it is probably a retry of a refused one: its
// caller's timeout is a smaller share of the route's than is usual on a first attempt. early is set
// if it comes sooner than any Retry-After delay that is given; without FleetLoad such callers count
// as new ones, since nothing keeps their part of the room small.
func (l *Queue[G]) Arrive(r Request) (returned, early bool) {
	share, usual := r.share(), l.firstShares.Get(r.Service)
	early = l.FleetLoad != nil && usual.IsEarly(share, r.RouteTimeout, retryafter.MinDelay)
	returned = early || usual.IsReturning(share)
	if returned {
		l.retryRates.Update(r.Service, func(m rate.Meter) rate.Meter { return m.WithCount(r.Start, 1) })
	}
	if r.Start.UnixNano()-l.refusedAt.Load() >= int64(noRefusalPeriod) {
		l.firstShares.Update(r.Service, func(p callertimeout.Estimate) callertimeout.Estimate { return p.WithShare(share) })
	}
	return returned, early
}

func (l *Queue[G]) urgency(r Request, now time.Time) urgency.Urgency {
	if r.Retried && !r.Begun && l.FleetLoad != nil {
		// The fleet admits no more retries than it has room for. Their answers are late anyway, so they
		// wait while new requests, which may still be in time, go first.
		return urgency.Late
	}
	load := urgency.Load{
		Admitted: l.ready().Admitted(r.Service), Returning: l.retryRates.Get(r.Service).PerSecond(now),
	}
	if l.Order != nil {
		return l.Order(load, r.Begun, r.Retried)
	}
	return load.Of(r.Begun, r.Retried)
}

// Terms is the urgency and the time limit with which a request waits.
type Terms struct {
	// Urgency is the urgency of the request on entering the queue.
	Urgency urgency.Urgency
	// Until is when the wait ends.
	Until time.Time
}

// Terms returns the urgency and the time limit of a request that enters the queue at now. A new
// request waits only while its first event can still meet the objective, since its caller can
// retry. Any other request may wait until its first event would come lateWaitObjectives times the
// objective from now.
func (l *Queue[G]) Terms(r Request, now time.Time) Terms {
	firstEvent := l.Times.ExpectedFirst(r.Service)
	if urgent := l.urgency(r, now); urgent != urgency.New {
		return Terms{Urgency: urgent, Until: now.Add(lateWaitObjectives*r.Objective - firstEvent)}
	}
	return Terms{Urgency: urgency.New, Until: r.Start.Add(r.Objective - firstEvent)}
}

// Enter waits until try returns a grant, and returns it with a nil report. Otherwise the report
// says why there is none: the queue is full, the expected wait exceeds the time limit of terms, that
// limit or ctx has ended, or try has answered [gate.Never].
func (l *Queue[G]) Enter(ctx context.Context, r Request, terms Terms, try func() (G, gate.Answer)) (G, *outcome.Report) {
	ctx, cancel := context.WithDeadline(ctx, terms.Until)
	defer cancel()
	return l.ready().Enter(ctx, gate.Ticket[G]{
		Lane: r.Service, Team: r.Team, Cost: 1,
		Priority: r.Priority*int(urgency.Levels) + int(terms.Urgency),
		Try: func() (G, gate.Answer) {
			grant, answer := try()
			if answer == gate.Full {
				l.wakeRun()
			}
			return grant, answer
		},
	})
}

// wakeRun makes Run check for room soon.
func (l *Queue[G]) wakeRun() {
	select {
	case l.wake <- struct{}{}:
	default: // Run is woken already
	}
}

// Waiting returns the number of queued requests.
func (l *Queue[G]) Waiting() int {
	return l.ready().Waiting()
}

// WaitingFor returns the number of queued requests of a service.
func (l *Queue[G]) WaitingFor(service string) int {
	return l.ready().WaitingIn(service)
}

// Run admits queued requests as room becomes free, until ctx ends.
func (l *Queue[G]) Run(ctx context.Context) {
	g := l.ready()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		for ctx.Err() == nil && g.Waiting() > 0 {
			pause.For(ctx, pollInterval)
			g.AdmitWaiting()
		}
	}
}

// RetryAfter returns the Retry-After delay for a request that is refused at now, and the rate of
// admissions in requests per second from which the delay was computed.
func (l *Queue[G]) RetryAfter(r Request, now time.Time) (time.Duration, float64) {
	l.refusedAt.Store(now.UnixNano())
	load := retryafter.Load{Admitted: l.ready().Admitted(r.Service), RequestDuration: l.Times.RequestDuration(r.Service)}
	if l.FleetLoad != nil {
		load = l.FleetLoad(r.Service, load)
	}
	load.Returned = r.Retried
	maxDelay := time.Duration(maxRetryAfterShare * float64(r.Deadline.Sub(now)))
	l.mu.Lock()
	defer l.mu.Unlock()
	schedule := l.retries[r.Service]
	if schedule == nil {
		if l.retries == nil {
			l.retries = make(map[string]*retryafter.Schedule)
		}
		schedule = &retryafter.Schedule{Random: rand.Float64, ReturnShare: l.ReturnShare}
		l.retries[r.Service] = schedule
	}
	return schedule.Delay(now, load, maxDelay), load.Admitted
}
