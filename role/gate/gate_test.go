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

// room is seats that requests take one of.
type room struct {
	mu    sync.Mutex
	free  int
	never bool
}

func (r *room) try() (int, gate.Answer) {
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

func (r *room) leave(g *gate.Gate[int]) {
	r.mu.Lock()
	r.free++
	r.mu.Unlock()
	g.Poke()
}

func (r *room) ticket(team string) gate.Ticket[int] {
	return gate.Ticket[int]{Lane: "m", Team: team, Weight: 1, Cost: 1, Try: r.try}
}

// fill enters until all is taken.
func (r *room) fill(t *testing.T, g *gate.Gate[int]) {
	for range r.free {
		_, report := g.Enter(context.Background(), r.ticket("a"))
		require.Nil(t, report)
	}
}

func TestWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate.Gate[int]{MaxQueue: 10}
		r := &room{free: 1}
		_, report := g.Enter(context.Background(), r.ticket("a"))
		require.Nil(t, report)
		entered := make(chan *outcome.Report)
		go func() {
			_, report := g.Enter(context.Background(), r.ticket("b"))
			entered <- report
		}()
		synctest.Wait()
		require.Equal(t, 1, g.Waiting())
		r.leave(g)
		require.Nil(t, <-entered)
		require.Zero(t, g.Waiting())
	})
}

// A request that is given up gets its final answer at once, with when to come
// back, and not at its deadline.
func TestRefusalsComeAtOnce(t *testing.T) {
	cases := map[string]struct {
		queue int
		never bool
		code  outcome.Code
	}{
		"no room and no queue": {0, false, outcome.Overloaded},
		"waiting is no use":    {10, true, outcome.NoChain},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &gate.Gate[int]{MaxQueue: c.queue}
				ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
				defer cancel()
				start := time.Now()
				_, report := g.Enter(ctx, (&room{never: c.never}).ticket("a"))
				require.NotNil(t, report)
				require.Equal(t, c.code, report.Code)
				require.Equal(t, outcome.NotRun, report.Kind)
				require.Positive(t, report.RetryAfter)
				require.Equal(t, start, time.Now(), "no virtual time has passed")
			})
		})
	}
}

func TestFullQueueRefusesWhoIsFurthestBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate.Gate[int]{MaxQueue: 2}
		r := new(room)
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
		r.leave(g)
		r.leave(g)
		synctest.Wait()
		require.Empty(t, refused)
	})
}

func TestContextEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate.Gate[int]{MaxQueue: 2}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, report := g.Enter(ctx, new(room).ticket("a"))
		require.Equal(t, outcome.DeadlineOver, report.Code)
		require.Equal(t, outcome.NotRun, report.Kind)
		require.Zero(t, g.Waiting())
	})
}

// With a steady stream of leavers, who would wait beyond the deadline is refused
// at once, and a pause in the stream does not make the gate refuse everyone.
func TestRefusesWhatWouldComeTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate.Gate[int]{MaxQueue: 1000}
		r := &room{free: 100}
		r.fill(t, g)
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() { g.Enter(context.Background(), r.ticket("a")) })
		}
		for range 2 {
			time.Sleep(2 * time.Second) // a pause: nobody leaves
			r.leave(g)
			synctest.Wait()
		}
		patient, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		group.Go(func() {
			_, report := g.Enter(patient, r.ticket("a"))
			require.Nil(t, report)
		})
		synctest.Wait()
		hasty, cancelHasty := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancelHasty()
		start := time.Now()
		_, report := g.Enter(hasty, r.ticket("a"))
		require.Equal(t, outcome.Overloaded, report.Code)
		require.Equal(t, start, time.Now())
		for range 60 {
			r.leave(g)
		}
		group.Wait()
	})
}

// Who is more urgent than all that wait would go first, and is not refused for their sake:
// beyond capacity a line of late requests had new ones turned away that would have been
// answered in time.
func TestLessUrgentRequestsDoNotCountAsAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate.Gate[int]{MaxQueue: 1000}
		r := &room{free: 20}
		r.fill(t, g)
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() { g.Enter(context.Background(), r.ticket("a")) })
		}
		time.Sleep(2 * time.Second)
		hasty, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		urgent := r.ticket("a")
		urgent.Priority = 1
		group.Go(func() {
			_, report := g.Enter(hasty, urgent)
			require.Nil(t, report)
		})
		synctest.Wait()
		r.leave(g)
		synctest.Wait()
		for range 60 {
			r.leave(g)
		}
		group.Wait()
	})
}
