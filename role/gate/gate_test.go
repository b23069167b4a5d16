package gate_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/outcome"
	"github.com/grademill/grademill/role/gate"
)

// slots is a number of slots, of which each request takes one.
type slots struct {
	mu    sync.Mutex
	free  int
	never bool
}

func (r *slots) try() (int, gate.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.never:
		return 0, gate.Never
	case r.free == 0:
		return 0, gate.Full
	}
	r.free--
	return 1, gate.Granted
}

func (r *slots) release(g *gate.Gate[int]) {
	r.mu.Lock()
	r.free++
	r.mu.Unlock()
	g.AdmitWaiting()
}

func (r *slots) ticket(team string) gate.Ticket[int] {
	return gate.Ticket[int]{Lane: "m", Team: team, Weight: 1, Cost: 1, Try: r.try}
}

// takeAll takes all free slots.
func (r *slots) takeAll(t *testing.T, g *gate.Gate[int]) {
	for range r.free {
		_, report := g.Enter(context.Background(), r.ticket("a"))
		require.Nil(t, report)
	}
}

func TestWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate.Gate[int]{MaxQueue: 10}
		r := &slots{free: 1}
		_, report := g.Enter(context.Background(), r.ticket("a"))
		require.Nil(t, report)
		entered := make(chan *outcome.Report)
		go func() {
			_, report := g.Enter(context.Background(), r.ticket("b"))
			entered <- report
		}()
		synctest.Wait()
		require.Equal(t, 1, g.Waiting())
		r.release(g)
		require.Nil(t, <-entered)
		require.Zero(t, g.Waiting())
	})
}

// A refused request gets its final answer at once, with a Retry-After delay, and not at its
// deadline.
func TestRefusalsAreImmediate(t *testing.T) {
	cases := map[string]struct {
		queue int
		never bool
		code  outcome.Code
	}{
		"no room and no queue": {0, false, outcome.Overloaded},
		"waiting cannot help":  {10, true, outcome.NoChain},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &gate.Gate[int]{MaxQueue: c.queue}
				ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
				defer cancel()
				start := time.Now()
				_, report := g.Enter(ctx, (&slots{never: c.never}).ticket("a"))
				require.NotNil(t, report)
				require.Equal(t, c.code, report.Code)
				require.Equal(t, outcome.NotRun, report.Kind)
				require.Positive(t, report.RetryAfter)
				require.Equal(t, start, time.Now(), "virtual time has passed before the refusal")
			})
		})
	}
}

func TestFullQueueRefusesTheTeamFurthestBeyondItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate.Gate[int]{MaxQueue: 2}
		r := new(slots)
		refused := make(chan string, 8)
		enter := func(team string) {
			if _, report := g.Enter(context.Background(), r.ticket(team)); report != nil {
				refused <- team
			}
		}
		for _, team := range []string{"flood", "flood", "quiet"} {
			go enter(team)
			synctest.Wait()
		}
		require.Equal(t, "flood", <-refused)
		r.release(g)
		r.release(g)
		synctest.Wait()
		require.Empty(t, refused)
	})
}

func TestContextEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate.Gate[int]{MaxQueue: 2}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, report := g.Enter(ctx, new(slots).ticket("a"))
		require.Equal(t, outcome.DeadlineOver, report.Code)
		require.Equal(t, outcome.NotRun, report.Kind)
		require.Zero(t, g.Waiting())
	})
}

// While requests are admitted steadily, a request whose estimated wait is longer than its deadline
// allows is refused at once. A pause in admissions does not make the gate refuse all requests.
func TestRefusesRequestsThatWouldMissTheirDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate.Gate[int]{MaxQueue: 1000}
		r := &slots{free: 100}
		r.takeAll(t, g)
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() { g.Enter(context.Background(), r.ticket("a")) })
		}
		for range 2 {
			time.Sleep(2 * time.Second) // a pause: no slot is released
			r.release(g)
			synctest.Wait()
		}
		longCtx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		group.Go(func() {
			_, report := g.Enter(longCtx, r.ticket("a"))
			require.Nil(t, report)
		})
		synctest.Wait()
		shortCtx, cancelShort := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancelShort()
		start := time.Now()
		_, report := g.Enter(shortCtx, r.ticket("a"))
		require.Equal(t, outcome.Overloaded, report.Code)
		require.Equal(t, start, time.Now())
		for range 60 {
			r.release(g)
		}
		group.Wait()
	})
}

// Queued requests of a lower priority do not count in the estimated wait, since a more urgent
// request is admitted before them. Otherwise, above capacity, a queue of late requests would make
// the gate refuse new ones that it could have answered in time.
func TestLessUrgentRequestsDoNotCountInTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate.Gate[int]{MaxQueue: 1000}
		r := &slots{free: 20}
		r.takeAll(t, g)
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() { g.Enter(context.Background(), r.ticket("a")) })
		}
		time.Sleep(2 * time.Second)
		shortCtx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		urgent := r.ticket("a")
		urgent.Priority = 1
		group.Go(func() {
			_, report := g.Enter(shortCtx, urgent)
			require.Nil(t, report)
		})
		synctest.Wait()
		r.release(g)
		synctest.Wait()
		for range 60 {
			r.release(g)
		}
		group.Wait()
	})
}
