package proof_test

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/claim"
	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/once"
	"github.com/grademill/grademill/decide/outcome"
	"github.com/grademill/grademill/standin/platform"
	"github.com/grademill/grademill/state/claimlog"
	"github.com/grademill/grademill/state/runonce"
	"github.com/grademill/grademill/wire"
)

const (
	onceSeeds   = 60
	onceKeys    = 12
	onceEntries = 3
	onceTries   = 3
	onceAgents  = 2
	onceEpoch   = 100 * time.Millisecond
	onceKeep    = 2 * time.Second
)

// host is an agent that is killed and replaced now and then; what ran beside it
// is recorded outside.
type host struct {
	mu          sync.Mutex
	name        string
	incarnation uint64
	calls       *once.Table[*wire.CallReply]
	done        map[once.Key]chan struct{}
}

// replace kills the agent and starts another in its place, with no memory.
func (h *host) replace() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnation++
	h.calls = &once.Table[*wire.CallReply]{Start: time.Now(), Epoch: onceEpoch, Max: 1000, Keep: onceKeep}
	h.done = make(map[once.Key]chan struct{})
}

func (h *host) endpoint() fleet.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fleet.Endpoint{Name: h.name, Address: h.name, Incarnation: h.incarnation, Epoch: h.calls.Now(time.Now())}
}

// shop is entries, agents and their records on a virtual clock.
type shop struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	hosts map[string]*host
	ran   map[string]int // by key
	// unclaimed drops the claims, to show what they are for.
	unclaimed bool
	// unsettled takes silence for a proof that a call did not run.
	unsettled bool
}

func (s *shop) pause() {
	s.mu.Lock()
	d := time.Duration(s.rnd.IntN(30)) * time.Millisecond
	if s.rnd.IntN(12) == 0 {
		d *= 60 // frozen for longer than a call may wait to start
	}
	s.mu.Unlock()
	time.Sleep(d)
}

func (s *shop) chance(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.IntN(n) == 0
}

// lostCall is a call without an answer.
type lostCall struct{}

func (lostCall) Error() string { return "no answer" }

// Enter implements runonce.Seats.
func (s *shop) Enter(context.Context, map[string]bool) (fleet.Endpoint, func(), *outcome.Report) {
	return s.host().endpoint(), func() {}, nil
}

// host returns any host.
func (s *shop) host() *host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[fmt.Sprintf("host-%d", s.rnd.IntN(onceAgents))]
}

// Send implements runonce.Agents. The call arrives late, or its answer is lost;
// it arrives even when its sender no longer waits.
func (s *shop) Send(_ context.Context, at fleet.Endpoint, c claim.Claim, _ string) (*wire.CallReply, error) {
	if s.chance(10) {
		return &wire.CallReply{Outcome: wire.CallReply_NOT_RUN}, nil
	}
	if s.chance(6) {
		go func() {
			s.pause()
			s.arrive(s.hosts[at.Name], c)
		}()
		return nil, lostCall{}
	}
	s.pause()
	reply := s.arrive(s.hosts[at.Name], c)
	s.pause()
	if s.chance(6) {
		return nil, lostCall{}
	}
	return reply, nil
}

func ticket(c claim.Claim) once.Ticket {
	key, _ := hex.DecodeString(c.Key)
	return once.Ticket{Key: once.Key(key), Claim: c.ID, Epoch: c.Epoch}
}

// arrive is a call at its agent.
func (s *shop) arrive(h *host, c claim.Claim) *wire.CallReply {
	h.mu.Lock()
	if h.incarnation != c.Incarnation {
		h.mu.Unlock()
		return &wire.CallReply{Outcome: wire.CallReply_NOT_RUN}
	}
	t, calls, done := ticket(c), h.calls, h.done
	verdict := calls.Begin(time.Now(), t)
	if verdict == once.Start {
		done[t.Key] = make(chan struct{})
	}
	wait := done[t.Key]
	h.mu.Unlock()
	if verdict == once.Barred {
		return &wire.CallReply{Outcome: wire.CallReply_NOT_RUN}
	}
	if verdict != once.Start {
		return h.reply(calls, t.Key, wait)
	}
	s.mu.Lock()
	s.ran[c.Key]++
	s.mu.Unlock()
	s.pause()
	h.mu.Lock()
	defer h.mu.Unlock()
	calls.Finish(time.Now(), t.Key, &wire.CallReply{Outcome: wire.CallReply_DONE})
	close(done[t.Key])
	return &wire.CallReply{Outcome: wire.CallReply_DONE}
}

func (h *host) reply(calls *once.Table[*wire.CallReply], key once.Key, wait chan struct{}) *wire.CallReply {
	if wait != nil {
		<-wait
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if reply, ok := calls.Reply(key); ok {
		return reply
	}
	return &wire.CallReply{}
}

// Settle implements runonce.Agents.
func (s *shop) Settle(_ context.Context, c claim.Claim) (*wire.CallReply, error) {
	s.pause()
	if s.unsettled {
		return &wire.CallReply{Outcome: wire.CallReply_NOT_RUN}, nil
	}
	if s.chance(8) {
		return nil, lostCall{}
	}
	h := s.hosts[c.Endpoint]
	h.mu.Lock()
	if h.incarnation != c.Incarnation {
		h.mu.Unlock()
		return &wire.CallReply{Outcome: wire.CallReply_UNKNOWN}, nil
	}
	t, calls := ticket(c), h.calls
	verdict := calls.Settle(time.Now(), t)
	wait := h.done[t.Key]
	h.mu.Unlock()
	switch verdict {
	case once.Barred:
		return &wire.CallReply{Outcome: wire.CallReply_NOT_RUN}, nil
	case once.Forgotten, once.Full:
		return &wire.CallReply{Outcome: wire.CallReply_UNKNOWN}, nil
	}
	return h.reply(calls, t.Key, wait), nil
}

// Claim implements runonce.Claimer for a shop without claims.
func (s *shop) Claim(claim.Claim) error { return nil }

// tally is the outcomes that the callers of a key were told.
type tally struct {
	done, notRun, open int
}

// runShop lets all entries ask for all keys, several times each.
func runShop(t *testing.T, seed uint64, set func(*shop)) (ran map[string]int, told map[string]*tally) {
	told = make(map[string]*tally)
	synctest.Test(t, func(*testing.T) {
		s := &shop{rnd: rand.New(rand.NewPCG(seed, 3)), hosts: make(map[string]*host), ran: make(map[string]int)}
		set(s)
		for i := range onceAgents {
			h := &host{name: fmt.Sprintf("host-%d", i)}
			h.replace()
			s.hosts[h.name] = h
		}
		store := &faulty{Store: new(platform.Store), rnd: rand.New(rand.NewPCG(seed, 4))}
		var mu sync.Mutex
		var group sync.WaitGroup
		for key := range onceKeys {
			told[keyName(key)] = new(tally)
		}
		for range onceEntries {
			log := &claimlog.Log{Store: store, Keep: time.Minute, Gather: time.Millisecond, Timeout: time.Second}
			var claims runonce.Claimer = log
			if s.unclaimed {
				claims = s
			}
			for key := range onceKeys {
				name := keyName(key)
				group.Go(func() {
					for range onceTries {
						s.pause()
						r := &runonce.Runner{
							Claims: claims, Agents: s, Seats: s, MayRetry: func() bool { return !s.chance(4) },
							Key: name, Digest: "d", Shared: true,
						}
						_, report := r.Run(context.Background())
						mu.Lock()
						told[name].count(report)
						mu.Unlock()
					}
				})
			}
		}
		for range 20 {
			time.Sleep(150 * time.Millisecond)
			s.host().replace()
		}
		group.Wait()
		time.Sleep(time.Minute) // what is still on its way arrives
		ran = s.ran
	})
	return ran, told
}

// keyName returns the hash of a key, for want of a real one.
func keyName(key int) string {
	return hex.EncodeToString(fmt.Appendf(nil, "key-%012d", key))
}

func (t *tally) count(report *outcome.Report) {
	switch {
	case report == nil:
		t.done++
	case report.Kind == outcome.NotRun:
		t.notRun++
	default:
		t.open++
	}
}

// onceViolation returns what is wrong with the outcomes, or nothing.
func onceViolation(ran map[string]int, told map[string]*tally) string {
	for key, t := range told {
		switch {
		case ran[key] > 1:
			return fmt.Sprintf("%s ran %d times", key, ran[key])
		case t.done > 0 && ran[key] == 0:
			return fmt.Sprintf("%s is said to be done and has not run", key)
		case t.done+t.open == 0 && ran[key] > 0:
			return fmt.Sprintf("%s is said not to have run and ran", key)
		}
	}
	return ""
}

func TestAtMostOnce(t *testing.T) {
	var sum tally
	for seed := range uint64(onceSeeds) {
		ran, told := runShop(t, seed, func(*shop) {})
		require.Empty(t, onceViolation(ran, told), "seed %d", seed)
		for _, k := range told {
			sum.done += k.done
			sum.notRun += k.notRun
			sum.open += k.open
		}
	}
	require.Positive(t, sum.done)
	require.Positive(t, sum.notRun)
	require.Positive(t, sum.open)
	t.Logf("%d histories: %d calls done, %d not run, %d in doubt", onceSeeds, sum.done, sum.notRun, sum.open)
}

func TestWithoutClaimsTheCheckFails(t *testing.T) {
	violations := 0
	for seed := range uint64(onceSeeds) {
		if onceViolation(runShop(t, seed, func(s *shop) { s.unclaimed = true })) != "" {
			violations++
		}
	}
	require.Positive(t, violations)
}

func TestWithoutSettlementTheCheckFails(t *testing.T) {
	violations := 0
	for seed := range uint64(onceSeeds / 6) {
		if onceViolation(runShop(t, seed, func(s *shop) { s.unsettled = true })) != "" {
			violations++
		}
	}
	require.Positive(t, violations)
}
