package main

import (
	"context"
	"fmt"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/grademill/grademill/adapter/cputime"
	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/decide/policy"
	"github.com/grademill/grademill/decide/view"
	"github.com/grademill/grademill/state/configreplica"
)

// meanCPUTime returns the mean processor time of n calls of f.
func meanCPUTime(n int, f func()) time.Duration {
	begin := cputime.Used()
	for range n {
		f()
	}
	return (cputime.Used() - begin) / time.Duration(n)
}

// processorTimes prints the processor time of snapshots, policy decisions,
// heartbeats and tokens.
func processorTimes(ctx context.Context, out *tabwriter.Writer) error {
	fmt.Fprintln(out, "processor time\t\t\t\teach")
	for _, n := range []int{80, 320, 1280} {
		built := viewOf(n).([]any)[0].(*view.View)
		took := meanCPUTime(20, func() { built.Snapshot(map[string]config.Object[config.Service]{}) })
		fmt.Fprintf(out, "rebuild of the snapshot\t%d endpoints\t\t\t%v\n", n, took)
	}
	set, err := policy.Compile(map[string]config.Object[config.Policy]{})
	if err != nil {
		return err
	}
	took := meanCPUTime(100_000, func() { set.Decide(policy.Request{Team: "team-7", Service: "assistant"}, true) })
	fmt.Fprintf(out, "decision with no policy\t\t\t\t%v\n", took)
	policies := policiesOf(20).(*configreplica.Config).Current().Policies
	took = meanCPUTime(5000, func() { policies.Decide(policy.Request{Team: "none", Service: "assistant"}, true) })
	fmt.Fprintf(out, "decision with 20 policies\t\t\t\t%v\n", took)
	if err := out.Flush(); err != nil {
		return err
	}
	return liveSlopes(ctx, out)
}

// liveSlopes prints the memory and processor time of labs of growing size, without
// load and then with load.
func liveSlopes(ctx context.Context, out *tabwriter.Writer) error {
	if err := memorySlopes(ctx, out); err != nil {
		return err
	}
	for _, n := range []int{9, 36, 99} {
		idle, err := idleCost(ctx, n)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "heartbeat, both sides\t%d agents\t\t\t%v\n", n, idle)
	}
	for _, inFlight := range []int{30, 120, 480} {
		cost, rate, err := tokenCost(ctx, inFlight)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "token over three stages, engines and all\t%d in flight\t%.0f tokens/s\t\t%v\n", inFlight, rate, cost)
	}
	return out.Flush()
}

// memoryInUse returns the bytes of heap and stacks in use after garbage collection.
func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// agentMemory returns the bytes that n agents add, including both ends of their
// connections.
func agentMemory(ctx context.Context, n int) (uint64, error) {
	before := memoryInUse()
	l := ramdin.small(n)
	if err := l.Start(ctx); err != nil {
		return 0, err
	}
	defer l.Close()
	time.Sleep(settleTime)
	return memoryInUse() - before, nil
}

// requestMemory returns the bytes that n requests in flight add, each at its entry,
// three agents and three engines.
func requestMemory(ctx context.Context, n int) (uint64, error) {
	s := ramdin
	s.answer = 1000
	l := s.small(9)
	l.MaxSessions = 2 * n
	if err := l.Start(ctx); err != nil {
		return 0, err
	}
	defer l.Close()
	before := memoryInUse()
	t := &trial{site: s, lab: l}
	loadCtx, cancel := endAfter(ctx, 2*settleTime)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		t.holdInFlight(loadCtx, n, 0)
		close(ended)
	}()
	time.Sleep(settleTime)
	used := memoryInUse() - before
	cancel()
	<-ended
	return used, nil
}

// settleTime is how long a lab may take to reach a steady state.
const settleTime = 2 * time.Second

// memorySlopes prints the memory that agents and requests in flight add to a process
// that runs all roles.
func memorySlopes(ctx context.Context, out *tabwriter.Writer) error {
	for _, kind := range []struct {
		name    string
		sizes   []int
		measure func(context.Context, int) (uint64, error)
	}{
		{"agent, with both ends of its connections", []int{9, 36, 99}, agentMemory},
		{"request in flight, all roles and engines", []int{50, 200, 800}, requestMemory},
	} {
		fmt.Fprint(out, kind.name)
		var used []uint64
		for _, n := range kind.sizes {
			bytes, err := kind.measure(ctx, n)
			if err != nil {
				return err
			}
			used = append(used, bytes)
			fmt.Fprintf(out, "\t%d: %d kB", n, bytes>>10)
		}
		fmt.Fprintf(out, "\t%.0f B each\n", (float64(used[2])-float64(used[0]))/float64(kind.sizes[2]-kind.sizes[0]))
	}
	return out.Flush()
}

// idleCost returns the processor time of one heartbeat in an idle lab with n
// agents and one entry.
func idleCost(ctx context.Context, n int) (time.Duration, error) {
	s := ramdin
	l := s.small(n)
	const beat = 50 * time.Millisecond
	l.Heartbeat = beat
	if err := l.Start(ctx); err != nil {
		return 0, err
	}
	defer l.Close()
	const span = 3 * time.Second
	begin := cputime.Used()
	time.Sleep(span)
	beats := n * int(span/beat)
	return (cputime.Used() - begin) / time.Duration(beats), nil
}

// tokenCost returns the processor time of one token, including that of the stand-in
// engines and of the load generator, and the tokens a second.
func tokenCost(ctx context.Context, inFlight int) (time.Duration, float64, error) {
	l := ramdin.small(9)
	if err := l.Start(ctx); err != nil {
		return 0, 0, err
	}
	defer l.Close()
	const span = 4 * time.Second
	t := &trial{site: ramdin, lab: l}
	loadCtx, cancel := endAfter(ctx, span)
	defer cancel()
	begin := cputime.Used()
	t.holdInFlight(loadCtx, inFlight, 0)
	used := cputime.Used() - begin
	tokens := max(len(t.deliveries), 1)
	return used / time.Duration(tokens), float64(tokens) / span.Seconds(), nil
}
