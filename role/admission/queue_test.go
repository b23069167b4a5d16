package admission_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/urgency"
	"github.com/grademill/grademill/role/admission"
	"github.com/grademill/grademill/role/gate"
)

// The simulated endpoints and callers: one gateway's share of a deployment.
const (
	slots          = 40
	streamTime     = time.Second
	firstEventTime = 60 * time.Millisecond
	objective      = 500 * time.Millisecond
	routeTimeout   = 20 * time.Second
	loadTime       = 20 * time.Second
	// learnTime is a period of light load before the measured one, in which the queue learns the
	// usual durations.
	learnTime = 2 * time.Second
)

// simulation simulates one load on a virtual clock.
type simulation struct {
	line   admission.Queue[struct{}]
	random *rand.Rand

	mu   sync.Mutex // guards the fields below
	free int
	// inTime, late and lost count the callers by outcome.
	inTime, late, lost int
	// refusals counts all refusals, tooEarly those with a Retry-After delay below the known
	// duration of a stream, after which the slots in use become free.
	refusals, tooEarly int
}

// try takes a slot.
func (p *simulation) try() (struct{}, gate.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free == 0 {
		return struct{}{}, gate.Full
	}
	p.free--
	return struct{}{}, gate.Granted
}

// release releases a slot.
func (p *simulation) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free++
}

// attempt makes one attempt for a caller that arrived at began. It reports whether the attempt was
// served, and otherwise the Retry-After delay.
func (p *simulation) attempt(ctx context.Context, began time.Time) (bool, time.Duration) {
	now := time.Now()
	r := admission.Request{
		Service: "assistant", RouteTimeout: routeTimeout, CallerTimeout: routeTimeout - now.Sub(began), Objective: objective,
		Start: now, Deadline: began.Add(routeTimeout),
	}
	r.Retried, _ = p.line.Arrive(r)
	if _, report := p.line.Enter(ctx, r, p.line.Terms(r, now), p.try); report != nil {
		wait, _ := p.line.RetryAfter(r, time.Now())
		p.mu.Lock()
		defer p.mu.Unlock()
		p.refusals++
		if known := p.line.Times.RequestDuration("assistant"); wait < known {
			p.tooEarly++
		}
		return false, wait
	}
	sent := time.Now()
	time.Sleep(firstEventTime)
	p.line.Times.NoteFirst("assistant", time.Since(sent))
	p.mu.Lock()
	if time.Since(began) <= objective {
		p.inTime++
	} else {
		p.late++
	}
	p.mu.Unlock()
	time.Sleep(streamTime - firstEventTime)
	p.line.Times.NoteDuration("assistant", time.Since(sent))
	p.release()
	return true, 0
}

// caller makes an attempt, and one retry if it is refused.
func (p *simulation) caller(ctx context.Context) {
	began := time.Now()
	served, wait := p.attempt(ctx, began)
	if served {
		return
	}
	time.Sleep(wait)
	if served, _ = p.attempt(ctx, began); !served {
		p.mu.Lock()
		p.lost++
		p.mu.Unlock()
	}
}

// arrivals starts callers at random intervals with the given mean rate, for the given span.
func (p *simulation) arrivals(ctx context.Context, group *sync.WaitGroup, perSecond float64, span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); {
		group.Go(func() { p.caller(ctx) })
		time.Sleep(time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

// simulate simulates a load, given as a multiple of the capacity, with an order of the queue.
func simulate(t *testing.T, load float64, order admission.Order) *simulation {
	p := &simulation{free: slots, random: rand.New(rand.NewPCG(7, uint64(load*100)))}
	p.line.Order = order
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.line.Run(ctx)
		var group sync.WaitGroup
		capacity := slots / streamTime.Seconds()
		p.arrivals(ctx, &group, 0.5*capacity, learnTime)
		group.Wait()
		time.Sleep(streamTime)
		p.inTime, p.late = 0, 0
		p.arrivals(ctx, &group, load*capacity, loadTime)
		group.Wait()
	})
	t.Logf("load %.2f: in time %d, late %d, lost %d", load, p.inTime, p.late, p.lost)
	return p
}

// Fixed orders to compare with the adaptive one: the order that the adaptive one uses while few
// callers retry, and the one that it uses while many do.
var (
	retriedFirst admission.Order = func(_ urgency.Load, begun, returned bool) urgency.Urgency {
		return urgency.Load{}.Of(begun, returned)
	}
	newFirst admission.Order = func(_ urgency.Load, begun, returned bool) urgency.Urgency {
		return urgency.Load{Admitted: 1, Returning: 1}.Of(begun, returned)
	}
)

// Far above capacity, nearly all requests that are served meet the objective. With retried requests
// always first, most would be late.
func TestMostRequestsMeetTheObjectiveFarAboveCapacity(t *testing.T) {
	for _, load := range []float64{1.7, 2.4, 3.2} {
		adaptive, fixed := simulate(t, load, nil), simulate(t, load, retriedFirst)
		capacity := slots / streamTime.Seconds() * loadTime.Seconds()
		require.Greater(t, float64(adaptive.inTime), 0.8*capacity, "served in time at load %v", load)
		require.Greater(t, adaptive.inTime, 2*fixed.inTime, "served in time at load %v, against retried requests first", load)
	}
}

// Slightly above capacity, retried requests are served. With new requests always first, the retried
// ones would be lost.
func TestFewCallersAreLostSlightlyAboveCapacity(t *testing.T) {
	adaptive, fixed := simulate(t, 1.05, nil), simulate(t, 1.05, newFirst)
	require.LessOrEqual(t, adaptive.lost, fixed.lost)
	require.Less(t, float64(adaptive.lost), 0.06*float64(adaptive.inTime+adaptive.late))
}

// The Retry-After delay of a refused caller is at least the time after which the slots in use
// become free.
func TestRetryAfterLastsUntilSlotsAreFree(t *testing.T) {
	p := simulate(t, 2.4, nil)
	require.Positive(t, p.refusals)
	require.Zero(t, p.tooEarly)
}
