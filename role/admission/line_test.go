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

// The fleet and the callers of the replayed loads: a gateway's part of a site.
const (
	slots     = 40
	lasts     = time.Second
	firstTime = 60 * time.Millisecond
	objective = 500 * time.Millisecond
	routeTime = 20 * time.Second
	loadTime  = 20 * time.Second
	// learnTime is how long there is little load before, in which the line learns.
	learnTime = 2 * time.Second
)

// play is one load on a virtual clock.
type play struct {
	line   admission.Line[struct{}]
	random *rand.Rand

	mu   sync.Mutex // guards what follows
	free int
	// inTime, late and lost count the callers by what became of them.
	inTime, late, lost int
	// refusals counts the refusals, sooner those whose callers were told to come back
	// before the room that was taken came free.
	refusals, sooner int
}

// try takes a slot.
func (p *play) try() (struct{}, gate.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free == 0 {
		return struct{}{}, gate.Full
	}
	p.free--
	return struct{}{}, gate.Granted
}

// leave gives a slot back.
func (p *play) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free++
}

// attempt is one attempt of a caller that began at a time: it reports whether it was
// served, and otherwise when the caller is to come back.
func (p *play) attempt(ctx context.Context, began time.Time) (bool, time.Duration) {
	now := time.Now()
	r := admission.Request{
		Service: "assistant", Route: routeTime, Patience: routeTime - now.Sub(began), Objective: objective,
		Start: now, Deadline: began.Add(routeTime),
	}
	r.Returned = p.line.Arrive(r)
	if _, report := p.line.Enter(ctx, r, p.line.Turn(r, now), p.try); report != nil {
		wait, _ := p.line.ComeBack(r, time.Now())
		p.mu.Lock()
		defer p.mu.Unlock()
		p.refusals++
		if known := p.line.Times.Lasts("assistant"); wait < known {
			p.sooner++
		}
		return false, wait
	}
	sent := time.Now()
	time.Sleep(firstTime)
	p.line.Times.NoteFirst("assistant", time.Since(sent))
	p.mu.Lock()
	if time.Since(began) <= objective {
		p.inTime++
	} else {
		p.late++
	}
	p.mu.Unlock()
	time.Sleep(lasts - firstTime)
	p.line.Times.NoteWhole("assistant", time.Since(sent))
	p.leave()
	return true, 0
}

// caller asks, and comes back once when it is refused.
func (p *play) caller(ctx context.Context) {
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

// arrivals lets so many callers come a second for a time, at random.
func (p *play) arrivals(ctx context.Context, group *sync.WaitGroup, perSecond float64, span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); {
		group.Go(func() { p.caller(ctx) })
		time.Sleep(time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

// replay plays a load, in parts of what the fleet serves, with an order of the line.
func replay(t *testing.T, load float64, order admission.Order) *play {
	p := &play{free: slots, random: rand.New(rand.NewPCG(7, uint64(load*100)))}
	p.line.Order = order
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go p.line.Run(ctx)
		var group sync.WaitGroup
		capacity := slots / lasts.Seconds()
		p.arrivals(ctx, &group, 0.5*capacity, learnTime)
		group.Wait()
		time.Sleep(lasts)
		p.inTime, p.late = 0, 0
		p.arrivals(ctx, &group, load*capacity, loadTime)
		group.Wait()
	})
	t.Logf("load %.2f: in time %d, late %d, lost %d", load, p.inTime, p.late, p.lost)
	return p
}

// The orders that are compared with the one in use: the one that it keeps while few callers
// come back, and the one while many do, whatever the load.
var (
	returnedFirst admission.Order = func(_ urgency.Load, begun, returned bool) urgency.Urgency {
		return urgency.Load{}.Of(begun, returned)
	}
	newFirst admission.Order = func(_ urgency.Load, begun, returned bool) urgency.Urgency {
		return urgency.Load{Admitted: 1, Returning: 1}.Of(begun, returned)
	}
)

// Far beyond what the fleet serves, nearly all who are served are served in time: with
// those that came back first, most were late.
func TestMostAreInTimeFarBeyondTheRoom(t *testing.T) {
	for _, load := range []float64{1.7, 2.4, 3.2} {
		inUse, before := replay(t, load, nil), replay(t, load, returnedFirst)
		most := slots / lasts.Seconds() * loadTime.Seconds()
		require.Greater(t, float64(inUse.inTime), 0.8*most, "in time at %v", load)
		require.Greater(t, inUse.inTime, 2*before.inTime, "at %v", load)
	}
}

// A little beyond what the fleet serves, those that come back are served: with new
// requests first, they were lost.
func TestFewAreLostALittleBeyondTheRoom(t *testing.T) {
	inUse, other := replay(t, 1.05, nil), replay(t, 1.05, newFirst)
	require.LessOrEqual(t, inUse.lost, other.lost)
	require.Less(t, float64(inUse.lost), 0.06*float64(inUse.inTime+inUse.late))
}

// Refused callers are told to come back once the room that was taken comes free.
func TestRefusedCallersComeBackToRoom(t *testing.T) {
	p := replay(t, 2.4, nil)
	require.Positive(t, p.refusals)
	require.Zero(t, p.sooner)
}
